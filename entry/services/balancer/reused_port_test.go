package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// portUser is a caller that uses one port for one flow after the other.
type portUser struct {
	t     *testing.T
	entry *balancer.Balancer
	// sequence is that at which the latest flow starts, and copies the number of copies of its opening packet.
	sequence, copies uint32
	now              time.Time
}

func newPortUser(t *testing.T, b *balancer.Balancer) *portUser {
	t.Helper()
	return &portUser{t: t, entry: b, now: start}
}

// open sends the opening packet of a new flow.
func (u *portUser) open() balancer.Verdict {
	// Far enough to be no later position of the flow before.
	u.sequence, u.copies = u.sequence+1_000_000_007, 0
	return u.entry.Decide(u.packet(balancer.Packet{IsOpening: true}), u.now)
}

// sendCopy sends a copy of the opening packet.
func (u *portUser) sendCopy() balancer.Verdict {
	u.copies++
	return u.entry.Decide(u.packet(balancer.Packet{IsOpening: true, Retransmissions: u.copies}), u.now)
}

func (u *portUser) packet(p balancer.Packet) balancer.Packet {
	p.Source, p.Destination, p.Sequence, p.Acknowledged = caller, route, u.sequence, 7*u.sequence
	if !p.IsOpening {
		p.Sequence++
	}
	return p
}

// use opens a flow at a backend server and has a request answered.
func (u *portUser) use(token director.Token) {
	u.t.Helper()
	requireForwarded(u.t, u.open(), token)
	u.entry.Decide(u.packet(balancer.Packet{Token: token}), u.now)
	u.entry.Decide(u.packet(balancer.Packet{Token: token, HasData: true}), u.now)
}

// close sends the last packet, and the acknowledgement of that of the backend server.
func (u *portUser) close(token director.Token) {
	u.t.Helper()
	requireForwarded(u.t, u.entry.Decide(u.packet(balancer.Packet{Token: token, IsFinal: true}), u.now), token)
	requireForwarded(u.t, u.entry.Decide(u.packet(balancer.Packet{Token: token}), u.now), token)
	u.now = u.now.Add(time.Second)
}

// Guards against a new flow that goes where the last one from its port went, although it must not go there any more:
// callers behind an address translation use their ports in turn.
func TestReusedPortOpensNewFlow(t *testing.T) {
	t.Parallel()
	moved := director.RouteChanged{Route: director.Route{
		Address: route, Shares: []director.Share{{Service: "manifests", Weight: 1}}, FormerServices: []string{"orders"},
	}}
	cold := server(1, "orders", "a")
	cold.ColdStart = time.Minute
	for name, changes := range map[string][]director.Change{
		"its data centre is taken out":     {director.DataCentreChanged{Name: "a", TakenOut: true}},
		"its service has left the route":   {moved, director.ServerChanged{Server: server(2, "manifests", "b")}},
		"another entry opens flows there":  {director.ServiceChanged{Name: "orders", ColdRate: 1}, director.EntryAdded{Name: "entry-0"}, director.ServerChanged{Server: cold}},
		"another backend server is nearer": {director.ServerChanged{Server: server(1, "orders", "c")}, director.ServerChanged{Server: server(2, "orders", "a")}},
	} {
		for state, end := range map[string]func(u *portUser){
			"closed":   func(u *portUser) { u.close(1) },
			"given up": func(*portUser) {},
			"closed through another entry": func(u *portUser) {
				u.entry.Sweep(u.now.Add(time.Hour))
				u.entry.Decide(u.packet(balancer.Packet{Token: 1}), u.now)
			},
		} {
			t.Run(fmt.Sprintf("%s, %s", name, state), func(t *testing.T) {
				t.Parallel()
				b := balancer.New(balancer.Settings{Name: "entry-1", DataCentre: "a", MaxFlows: 10}, rand.New(rand.NewPCG(1, 1)))
				b.Update(1, []director.Change{
					routeToOrders(),
					director.VersionChanged{Version: 1},
					serverChanged(1, director.StateReady),
					director.ServerChanged{Server: server(2, "orders", "b")},
					director.EntryAdded{Name: "entry-1"},
				}, true, start)
				u := newPortUser(t, b)
				u.use(1)
				end(u)
				b.Update(2, changes, false, u.now)
				requireForwarded(t, u.open(), 2)
			})
		}
	}
	t.Run("above capacity", func(t *testing.T) {
		t.Parallel()
		e := newRefusingEntry()
		u := newPortUser(t, e.Balancer)
		u.now = e.now
		e.admitFlows()
		token := u.open().Server.Token
		require.NotZero(t, token)
		requireForwarded(t, u.entry.Decide(u.packet(balancer.Packet{Token: token}), u.now), token)
		requireForwarded(t, u.entry.Decide(u.packet(balancer.Packet{Token: token, IsFinal: true}), u.now), token)
		requireForwarded(t, u.entry.Decide(u.packet(balancer.Packet{Token: token}), u.now), token)
		e.SetSharedLoad(summary(50), e.now)
		requireRefused(t, u.open(), balancer.ActionReset, balancer.ReasonOverCapacity)
	})
}

// Guards against a copy of an opening packet that is taken for a new flow, which would open at two backend servers.
func TestCopyOpensNoNewFlow(t *testing.T) {
	t.Parallel()
	newEntry := func(t *testing.T, state director.State) *balancer.Balancer {
		t.Helper()
		return newBalancer(t, serverChanged(1, state), director.ServerChanged{Server: server(2, "orders", "b")})
	}
	t.Run("before an answer", func(t *testing.T) {
		u := newPortUser(t, newEntry(t, director.StateReady))
		requireForwarded(t, u.open(), 1)
		v := u.sendCopy()
		requireForwarded(t, v, 1)
		require.False(t, v.Placement.IsNew)
	})
	t.Run("after a time without an answer", func(t *testing.T) {
		u := newPortUser(t, newEntry(t, director.StateReady))
		token := u.open().Server.Token
		u.now = u.now.Add(firstRetransmission)
		v := u.sendCopy()
		requireForwarded(t, v, 3-token)
		require.Equal(t, token, v.Placement.Tried)
	})
	t.Run("of a flow that has opened elsewhere", func(t *testing.T) {
		u := newPortUser(t, newEntry(t, director.StateReady))
		requireForwarded(t, u.open(), 1)
		requireForwarded(t, u.entry.Decide(u.packet(balancer.Packet{Token: 2}), u.now), 2)
		u.entry.Update(2, []director.Change{director.DataCentreChanged{Name: "b", TakenOut: true}}, false, u.now)
		requireRefused(t, u.sendCopy(), balancer.ActionDrop, balancer.ReasonLateCopy)
	})
	t.Run("of an open flow", func(t *testing.T) {
		u := newPortUser(t, newEntry(t, director.StateReady))
		u.use(1)
		requireForwarded(t, u.sendCopy(), 1)
		u.entry.Update(2, []director.Change{director.DataCentreChanged{Name: "a", TakenOut: true}}, false, u.now)
		requireRefused(t, u.sendCopy(), balancer.ActionDrop, balancer.ReasonLateCopy)
	})
	t.Run("of an open flow of another entry", func(t *testing.T) {
		u := newPortUser(t, newEntry(t, director.StateDraining))
		u.sequence = 5
		requireForwarded(t, u.entry.Decide(u.packet(balancer.Packet{Token: 1, HasData: true}), u.now), 1)
		requireRefused(t, u.sendCopy(), balancer.ActionDrop, balancer.ReasonLateCopy)
	})
	t.Run("to a data centre that was taken out since", func(t *testing.T) {
		u := newPortUser(t, newEntry(t, director.StateReady))
		requireForwarded(t, u.open(), 1)
		u.entry.Update(2, []director.Change{director.DataCentreChanged{Name: "a", TakenOut: true}}, false, u.now)
		requireForwarded(t, u.sendCopy(), 2)
	})
}

// Guards against closed flows that count as load of their backend server until the idle timeout.
func TestClosedFlowIsNoLoad(t *testing.T) {
	t.Parallel()
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 100, Overload: &admitter.Settings{LowestShare: 0.1}}, rand.New(rand.NewPCG(1, 1)))
	b.Update(1, []director.Change{routeToOrders(), director.VersionChanged{Version: 1}, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady)}, true, start)
	u := newPortUser(t, b)
	v := u.open()
	u.entry.Decide(u.packet(balancer.Packet{Token: v.Server.Token}), u.now)
	u.close(v.Server.Token)
	require.Empty(t, b.LoadReport(true, u.now).Servers)
	for i := range 2 {
		require.Zero(t, b.Decide(opening(callerAddress(i), 0), u.now).Placement.Flows)
	}
}
