package balancer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

func serverChanged(token director.Token, state director.State) director.ServerChanged {
	return director.ServerChanged{Server: server(token, "orders", "a").WithState(state)}
}

// Guards against a reset of a flow that opens at the backend server that got an earlier copy.
func TestCopyOfOpeningPacketIsNotReset(t *testing.T) {
	t.Parallel()
	later := start.Add(firstRetransmission)
	requireSilent := func(t *testing.T, b *balancer.Balancer, p balancer.Packet) {
		t.Helper()
		requireRefused(t, b.Decide(p, later), balancer.ActionDrop, balancer.ReasonNoServer)
	}
	t.Run("if another entry placed the first", func(t *testing.T) {
		t.Parallel()
		requireSilent(t, newBalancer(t), opening(caller, 1))
	})
	for name, changes := range map[string][]director.Change{
		"if the backend server drains meanwhile": {serverChanged(1, director.StateDraining)},
		"if its lease expires while its data centre is taken out": {
			serverChanged(1, director.StateLapsed), director.DataCentreChanged{Name: "a", TakenOut: true},
		},
	} {
		for copies, kind := range []string{"a duplicate", "a copy"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				b := newBalancer(t, serverChanged(1, director.StateReady))
				requireForwarded(t, b.Decide(opening(caller, 0), start), 1)
				b.Update(2, changes, false, start)
				requireSilent(t, b, opening(caller, uint32(copies)))
			})
		}
	}
	t.Run("if a duplicate of the first comes after a copy", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, serverChanged(1, director.StateReady))
		requireForwarded(t, b.Decide(opening(caller, 0), start), 1)
		b.Update(2, []director.Change{serverChanged(1, director.StateDraining)}, false, start)
		requireSilent(t, b, opening(caller, 1))
		requireSilent(t, b, opening(caller, 0))
	})
	t.Run("if the cold backend server may take no other flow now", func(t *testing.T) {
		t.Parallel()
		b := balancer.New(balancer.Settings{Name: "entry-1", DataCentre: "a", MaxFlows: 100}, rand.New(rand.NewPCG(1, 1)))
		b.Update(1, []director.Change{
			routeToOrders(),
			director.VersionChanged{Version: 1},
			director.EntryAdded{Name: "entry-1"},
			director.ServiceChanged{Name: "orders", ColdRate: 1},
			director.ServerChanged{Server: server(1, "orders", "a").WithColdStart(time.Minute)},
		}, true, start)
		requireForwarded(t, b.Decide(opening(caller, 0), start), 1)
		requireSilent(t, b, opening(caller, 1))
	})
}

// Guards against the reset of a flow that a copy has opened through another entry while the first opening packet
// waited in the socket of an entry that did not run.
func TestOpeningPacketThatWaitedIsNotReset(t *testing.T) {
	t.Parallel()
	requireVerdict := func(t *testing.T, b *balancer.Balancer, p balancer.Packet, want balancer.Reason) {
		t.Helper()
		requireRefused(t, b.Decide(p, start), balancer.ActionReset, want)
		p.Waited = firstRetransmission / 2
		v := b.Decide(p, start)
		requireRefused(t, v, balancer.ActionDrop, want)
		require.True(t, v.IsLate)
	}
	t.Run("without a backend server", func(t *testing.T) {
		t.Parallel()
		requireVerdict(t, newBalancer(t), opening(caller, 0), balancer.ReasonNoServer)
	})
	t.Run("to an unknown address", func(t *testing.T) {
		t.Parallel()
		p := opening(caller, 0)
		p.Destination = other
		requireVerdict(t, newBalancer(t), p, balancer.ReasonNoRoute)
	})
	t.Run("but forwarded if there is a backend server", func(t *testing.T) {
		t.Parallel()
		p := opening(caller, 0)
		p.Waited = time.Second
		requireForwarded(t, newBalancer(t, serverChanged(1, director.StateReady)).Decide(p, start), 1)
	})
}

func routeRemoved(address netip.AddrPort) director.RouteRemoved {
	return director.RouteRemoved{Address: address}
}

// Guards against a reset by an entry whose view lags: it does not have a route yet on which other
// entries have placed flows.
func TestLaggingViewResetsNoOpenFlow(t *testing.T) {
	t.Parallel()
	data := balancer.Packet{Source: caller, Destination: route, Token: 1, HasData: true}
	lagging := func(t *testing.T) *balancer.Balancer {
		t.Helper()
		b := newBalancer(t, serverChanged(1, director.StateReady))
		b.Update(2, []director.Change{routeRemoved(route)}, false, start)
		return b
	}
	requireSilent := func(t *testing.T, b *balancer.Balancer, p balancer.Packet) {
		t.Helper()
		requireRefused(t, b.Decide(p, start), balancer.ActionDrop, balancer.ReasonNoRoute)
	}
	t.Run("an open flow", func(t *testing.T) {
		t.Parallel()
		p := data
		p.Destination = other
		requireSilent(t, newBalancer(t, serverChanged(1, director.StateReady)), p)
	})
	t.Run("a copy of an opening packet", func(t *testing.T) {
		t.Parallel()
		p := opening(caller, 1)
		p.Destination = other
		requireSilent(t, newBalancer(t), p)
	})
	t.Run("an open flow on a route that was removed and is back", func(t *testing.T) {
		t.Parallel()
		requireSilent(t, lagging(t), data)
	})
	t.Run("a copy of an opening packet on a route that was removed and is back", func(t *testing.T) {
		t.Parallel()
		requireSilent(t, lagging(t), opening(caller, 1))
	})
	t.Run("an open flow on an address whose earlier flow was at another backend server", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
		requireForwarded(t, b.Decide(data, start), 1)
		b.Update(2, []director.Change{routeRemoved(route)}, false, start)
		p := data
		p.Token = 2
		requireSilent(t, b, p)
	})
}

// Guards against callers that wait for the end of a flow whose route a configuration has removed.
func TestFlowOnRemovedRouteIsReset(t *testing.T) {
	t.Parallel()
	data := balancer.Packet{Source: caller, Destination: route, Token: 1, HasData: true}
	requireReset := func(t *testing.T, b *balancer.Balancer) {
		t.Helper()
		for range 2 {
			requireRefused(t, b.Decide(data, start), balancer.ActionReset, balancer.ReasonNoRoute)
		}
	}
	open := func(t *testing.T) *balancer.Balancer {
		t.Helper()
		b := newBalancer(t, serverChanged(1, director.StateReady))
		requireForwarded(t, b.Decide(opening(caller, 0), start), 1)
		requireForwarded(t, b.Decide(data, start), 1)
		return b
	}
	t.Run("by an increment", func(t *testing.T) {
		t.Parallel()
		b := open(t)
		b.Update(2, []director.Change{routeRemoved(route)}, false, start)
		requireReset(t, b)
	})
	t.Run("by a complete view", func(t *testing.T) {
		t.Parallel()
		b := open(t)
		b.Update(2, []director.Change{director.VersionChanged{Version: 2}}, true, start)
		requireReset(t, b)
	})
	t.Run("unless it comes back", func(t *testing.T) {
		t.Parallel()
		b := open(t)
		b.Update(2, []director.Change{routeRemoved(route)}, false, start)
		b.Update(3, []director.Change{routeToOrders()}, false, start)
		requireForwarded(t, b.Decide(data, start), 1)
	})
	t.Run("unless the view is old", func(t *testing.T) {
		t.Parallel()
		b := open(t)
		b.Update(2, []director.Change{routeRemoved(route)}, false, start)
		requireRefused(t, b.Decide(data, start.Add(time.Minute)), balancer.ActionDrop, balancer.ReasonStaleView)
	})
}

// Guards against a second backend server that answers a caller whose flow is open or about to open.
func TestCopyGoesToOneServer(t *testing.T) {
	t.Parallel()
	two := []director.Change{serverChanged(1, director.StateReady), serverChanged(2, director.StateReady)}
	t.Run("when copies are read together", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, two...)
		first := b.Decide(opening(caller, 0), start).Server.Token
		requireForwarded(t, b.Decide(opening(caller, 1), start.Add(time.Millisecond)), first)
		requireForwarded(t, b.Decide(opening(caller, 2), start.Add(2*time.Millisecond)), first)
	})
	t.Run("when it comes after the flow is established", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, two...)
		first := b.Decide(opening(caller, 0), start).Server.Token
		acknowledge(t, b, caller, first, start)
		requireForwarded(t, b.Decide(opening(caller, 1), start.Add(firstRetransmission)), first)
	})
	t.Run("not at all when its backend server drains", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, two...)
		first := b.Decide(opening(caller, 0), start).Server.Token
		acknowledge(t, b, caller, first, start)
		b.Update(2, []director.Change{serverChanged(first, director.StateDraining)}, false, start)
		require.Equal(t, balancer.ActionDrop, b.Decide(opening(caller, 1), start.Add(firstRetransmission)).Action)
	})
}
