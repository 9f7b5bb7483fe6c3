package balancer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

var (
	start  = time.Unix(1_000_000, 0)
	route  = netip.MustParseAddrPort("198.18.0.1:443")
	other  = netip.MustParseAddrPort("198.18.0.2:443")
	caller = netip.MustParseAddrPort("100.64.0.7:40001")
)

func server(token director.Token, service, dataCentre string) director.Server {
	return director.Server{
		Token: token, Host: "i-1", Service: service, DataCentre: dataCentre, Slots: 2, State: director.StateReady,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(token)}), 80),
	}
}

func routeToOrders() director.RouteChanged {
	return director.RouteChanged{Route: director.Route{Address: route, Shares: []director.Share{{Service: "orders", Weight: 1}}}}
}

// newBalancer returns an entry in data centre a with a route to service orders.
func newBalancer(t *testing.T, changes ...director.Change) *balancer.Balancer {
	t.Helper()
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 100}, rand.New(rand.NewPCG(1, 1)))
	b.Update(1, append([]director.Change{routeToOrders(), director.VersionChanged{Version: 1}}, changes...), true, start)
	return b
}

func opening(source netip.AddrPort, retransmissions uint32) balancer.Packet {
	return balancer.Packet{Source: source, Destination: route, IsOpening: true, Retransmissions: retransmissions}
}

func callerAddress(i int) netip.AddrPort { return netip.AddrPortFrom(caller.Addr(), uint16(1000+i)) }

func requireForwarded(t *testing.T, v balancer.Verdict, token director.Token) {
	t.Helper()
	require.Equal(t, balancer.ActionForward, v.Action, v.Reason.String())
	require.Equal(t, token, v.Server.Token)
}

func requireRefused(t *testing.T, v balancer.Verdict, action balancer.Action, reason balancer.Reason) {
	t.Helper()
	require.Equal(t, action, v.Action)
	require.Equal(t, reason.String(), v.Reason.String())
}

func TestDecide(t *testing.T) {
	t.Parallel()
	data := balancer.Packet{Source: caller, Destination: route, HasData: true}
	t.Run("an entry without a view drops packets", func(t *testing.T) {
		t.Parallel()
		b := balancer.New(balancer.Settings{}, rand.New(rand.NewPCG(1, 1)))
		requireRefused(t, b.Decide(opening(caller, 0), start), balancer.ActionDrop, balancer.ReasonNoView)
	})
	t.Run("an address without a route is reset", func(t *testing.T) {
		t.Parallel()
		p := opening(caller, 0)
		p.Destination = other
		requireRefused(t, newBalancer(t).Decide(p, start), balancer.ActionReset, balancer.ReasonNoRoute)
	})
	t.Run("an address without a route is not reset if the view is old", func(t *testing.T) {
		t.Parallel()
		p := opening(caller, 0)
		p.Destination = other
		requireRefused(t, newBalancer(t).Decide(p, start.Add(time.Minute)), balancer.ActionDrop, balancer.ReasonStaleView)
	})
	t.Run("an address without a route is not reset after the VM was suspended", func(t *testing.T) {
		t.Parallel()
		clock := timer.NewFake(start)
		b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 10, Clock: clock}, rand.New(rand.NewPCG(1, 1)))
		b.Update(1, []director.Change{director.VersionChanged{Version: 1}}, true, start)
		requireRefused(t, b.Decide(opening(caller, 0), start), balancer.ActionReset, balancer.ReasonNoRoute)
		clock.Advance(10 * time.Second)
		requireRefused(t, b.Decide(opening(caller, 0), start), balancer.ActionDrop, balancer.ReasonStaleView)
	})
	t.Run("an opening packet without a backend server is reset", func(t *testing.T) {
		t.Parallel()
		requireRefused(t, newBalancer(t).Decide(opening(caller, 0), start), balancer.ActionReset, balancer.ReasonNoServer)
	})
	t.Run("a packet with an unknown token is dropped", func(t *testing.T) {
		t.Parallel()
		p := data
		p.Token = 9
		requireRefused(t, newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a")}).Decide(p, start), balancer.ActionDrop, balancer.ReasonUnknownToken)
	})
	t.Run("a packet with a token of another service is dropped", func(t *testing.T) {
		t.Parallel()
		p := data
		p.Token = 1
		requireRefused(t, newBalancer(t, director.ServerChanged{Server: server(1, "manifests", "a")}).Decide(p, start), balancer.ActionDrop, balancer.ReasonOtherService)
	})
	t.Run("a flow stays at a backend server that is draining, lapsed or taken out", func(t *testing.T) {
		t.Parallel()
		for _, state := range []director.State{director.StateDraining, director.StateLapsed} {
			b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a").WithState(state)}, director.DataCentreChanged{Name: "a", TakenOut: true})
			p := data
			p.Token = 1
			requireForwarded(t, b.Decide(p, start), 1)
		}
	})
	t.Run("a flow at a backend server that is gone is reset", func(t *testing.T) {
		t.Parallel()
		p := data
		p.Token = 1
		b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a").WithState(director.StateGone)})
		requireRefused(t, b.Decide(p, start), balancer.ActionReset, balancer.ReasonServerGone)
		p.IsReset = true
		requireRefused(t, b.Decide(p, start), balancer.ActionDrop, balancer.ReasonServerGone)
	})
	t.Run("a flow stays when its route names another service", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a")})
		moved := director.Route{Address: route, Shares: []director.Share{{Service: "manifests", Weight: 1}}, FormerServices: []string{"orders"}}
		b.Update(2, []director.Change{director.RouteChanged{Route: moved}}, false, start)
		p := data
		p.Token = 1
		requireForwarded(t, b.Decide(p, start), 1)
		requireRefused(t, b.Decide(opening(callerAddress(1), 0), start), balancer.ActionReset, balancer.ReasonNoServer)
	})
}

func TestOpen(t *testing.T) {
	t.Parallel()
	twoServers := []director.Change{director.ServerChanged{Server: server(1, "orders", "a")}, director.ServerChanged{Server: server(2, "orders", "a")}}
	t.Run("flows are spread", func(t *testing.T) {
		t.Parallel()
		b, count := newBalancer(t, twoServers...), make(map[director.Token]int)
		for i := range 20 {
			count[b.Decide(opening(callerAddress(i), 0), start).Server.Token]++
		}
		require.Equal(t, map[director.Token]int{1: 10, 2: 10}, count)
	})
	t.Run("a repeated packet goes to the same backend server", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, twoServers...)
		first := b.Decide(opening(caller, 0), start)
		requireForwarded(t, b.Decide(opening(caller, 0), start), first.Server.Token)
	})
	t.Run("a retransmission goes to another backend server", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, twoServers...)
		first := b.Decide(opening(caller, 0), start)
		second := b.Decide(opening(caller, 1), start.Add(200*time.Millisecond))
		requireForwarded(t, second, 3-first.Server.Token)
	})
	t.Run("the local data centre is preferred until it is taken out", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a")}, director.ServerChanged{Server: server(2, "orders", "b")})
		for i := range 10 {
			requireForwarded(t, b.Decide(opening(callerAddress(i), 0), start), 1)
		}
		b.Update(2, []director.Change{director.DataCentreChanged{Name: "a", TakenOut: true}}, false, start)
		requireForwarded(t, b.Decide(opening(callerAddress(10), 0), start), 2)
	})
	t.Run("draining backend servers get no new flows", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, twoServers...)
		b.Update(2, []director.Change{director.ServerChanged{Server: server(1, "orders", "a").WithState(director.StateDraining)}}, false, start)
		for i := range 10 {
			requireForwarded(t, b.Decide(opening(callerAddress(i), 0), start), 2)
		}
	})
	t.Run("lapsed backend servers are used only if there are no others", func(t *testing.T) {
		t.Parallel()
		lapsed := director.ServerChanged{Server: server(1, "orders", "a").WithState(director.StateLapsed)}
		requireForwarded(t, newBalancer(t, lapsed).Decide(opening(caller, 0), start), 1)
		requireForwarded(t, newBalancer(t, twoServers[1], lapsed).Decide(opening(caller, 0), start), 2)
	})
}

// A backend server has failed, but its lease has not expired. Only a few callers may be sent to it.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	t.Parallel()
	const dead, flows = director.Token(1), 60
	b, delayed, now := newBalancer(t, director.ServerChanged{Server: server(dead, "orders", "a")}, director.ServerChanged{Server: server(2, "orders", "b")}), 0, start
	for i := range flows {
		now = now.Add(50 * time.Millisecond)
		if v := b.Decide(opening(callerAddress(i), 0), now); v.Server.Token == dead {
			delayed++
			requireForwarded(t, b.Decide(opening(callerAddress(i), 1), now.Add(200*time.Millisecond)), 2)
		} else {
			acknowledge(t, b, callerAddress(i), v.Server.Token, now)
		}
	}
	// Over 3 s, one flow may probe it at the start and after each backoff of 1 s and 2 s.
	require.LessOrEqual(t, delayed, 3, "callers sent to the failed backend server")
}

// acknowledge acknowledges the answer to an opening packet.
func acknowledge(t *testing.T, b *balancer.Balancer, source netip.AddrPort, token director.Token, now time.Time) {
	t.Helper()
	requireForwarded(t, b.Decide(balancer.Packet{Source: source, Destination: route, Token: token, Acknowledged: 1}, now), token)
}

// Guards against a backend server that is still avoided after it has answered again.
func TestAnswerEndsAvoidance(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a")}, director.ServerChanged{Server: server(2, "orders", "b")})
	requireForwarded(t, b.Decide(opening(callerAddress(1), 0), start), 1)
	later := start.Add(200 * time.Millisecond)
	requireForwarded(t, b.Decide(opening(callerAddress(1), 1), later), 2)
	requireForwarded(t, b.Decide(opening(callerAddress(2), 0), later), 2)
	// The first packet of a flow that another entry carried before is no evidence of an answer.
	acknowledge(t, b, callerAddress(3), 1, later)
	requireForwarded(t, b.Decide(opening(callerAddress(4), 0), later), 2)
	requireForwarded(t, b.Decide(balancer.Packet{Source: callerAddress(3), Destination: route, Token: 1, Acknowledged: 2}, later), 1)
	requireForwarded(t, b.Decide(opening(callerAddress(5), 0), later), 1)
}

// Guards against a late update that replaces a newer view.
func TestLateUpdateIsIgnored(t *testing.T) {
	t.Parallel()
	b := newBalancer(t)
	b.Update(5, []director.Change{director.VersionChanged{Version: 5}}, false, start)
	b.Update(4, []director.Change{director.VersionChanged{Version: 4}}, true, start)
	require.Equal(t, uint64(5), b.Status(start).Version)
}

// Guards against memory that grows with flows whose callers vanish without closing them.
func TestSweepRemovesIdleFlows(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a")})
	for i := range 10 {
		requireForwarded(t, b.Decide(opening(callerAddress(i), 0), start), 1)
	}
	require.Equal(t, 10, b.Status(start).Flows)
	b.Sweep(start.Add(time.Hour))
	require.Zero(t, b.Status(start).Flows)
}

func BenchmarkDecide(b *testing.B) {
	lb := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 100_000}, rand.New(rand.NewPCG(1, 1)))
	lb.Update(1, []director.Change{
		routeToOrders(), director.VersionChanged{Version: 1}, director.ServerChanged{Server: server(1, "orders", "a")},
	}, true, start)
	p := balancer.Packet{Source: caller, Destination: route, Token: 1, HasData: true}
	b.ReportAllocs()
	for b.Loop() {
		p.Sequence++
		p.Acknowledged++
		lb.Decide(p, start)
	}
}

// Guards against an allocation for each packet of an established flow.
func TestDecideDoesNotAllocate(t *testing.T) {
	b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a")})
	p := balancer.Packet{Source: caller, Destination: route, Token: 1, HasData: true}
	b.Decide(p, start)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		p.Sequence++
		b.Decide(p, start)
	}))
}

// A burst in one data centre fills the slots of its backend servers, while those in another are
// free. Flows must overflow to the other one instead of queueing.
func TestBurstOverflowsToOtherDataCentre(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a")}, director.ServerChanged{Server: server(2, "orders", "b")})
	count := make(map[director.Token]int)
	for i := range 6 {
		v := b.Decide(opening(callerAddress(i), 0), start)
		count[v.Server.Token]++
		acknowledge(t, b, callerAddress(i), v.Server.Token, start)
		b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, Token: v.Server.Token, Acknowledged: 1, HasData: true, Sequence: 1}, start)
	}
	require.Equal(t, map[director.Token]int{1: 3, 2: 3}, count)
	// Once the local data centre has answered, it is used again.
	for i := range 6 {
		b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, Token: 1, Acknowledged: 9}, start)
	}
	requireForwarded(t, b.Decide(opening(callerAddress(9), 0), start), 1)
}
