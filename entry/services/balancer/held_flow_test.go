package balancer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
)

// publish tells another entry with the same backend servers what the entry has published, and returns that entry.
func (c *twoAnswers) publish(now time.Time) *balancer.Balancer {
	c.t.Helper()
	receiver := newBalancer(c.t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
	receiver.AddHeldFlows(c.entry.TakeHeldFlows(), now)
	return receiver
}

// openWithLateAnswer opens a flow at the second backend server, which has got a copy of the opening packet. The answer
// of the first one arrives after that.
func (c *twoAnswers) openWithLateAnswer() {
	c.t.Helper()
	first := c.sendOpening(0, start)
	c.receive(c.sendOpening(1, start.Add(firstRetransmission)), start.Add(firstRetransmission))
	c.receive(first, start.Add(firstRetransmission))
	require.NotEqual(c.t, c.flow.token, c.token)
}

// Guards against a reset by a backend server that does not hold the flow, after another entry has taken the flow over.
func TestOtherEntryKeepsFlow(t *testing.T) {
	t.Parallel()
	later := start.Add(time.Second)
	requireKept := func(t *testing.T, c *twoAnswers) {
		t.Helper()
		c.entry = c.publish(later)
		for i := range uint32(3) {
			c.sendData(1+i, later)
		}
		require.False(t, c.isReset, "the caller got a reset that its backend server did not send")
	}
	t.Run("a late answer", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		c.openWithLateAnswer()
		requireKept(t, c)
	})
	t.Run("a copy of an opening packet that another entry has forwarded", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		copied := c.sendOpening(1, start)
		c.receive(copied, start)
		c.token = 3 - copied.token
		requireKept(t, c)
	})
	t.Run("an answer to the packet that another entry has forwarded", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		forwarded := c.sendOpening(0, start)
		holder := 3 - forwarded.token
		c.receive(answer{token: holder, sequence: c.hosts[holder].sequence}, start)
		c.receive(forwarded, start)
		requireKept(t, c)
	})
	t.Run("an entry that has carried an earlier flow between the same addresses", func(t *testing.T) {
		t.Parallel()
		for name, end := range map[string]balancer.Packet{"closed": {IsFinal: true}, "given up": {HasData: true}} {
			c := newTwoAnswers(t)
			c.openWithLateAnswer()
			receiver := c.publish(start)
			earlier := end
			earlier.Source, earlier.Destination, earlier.Token, earlier.Acknowledged = caller, route, c.flow.token, c.flow.sequence+1<<30
			requireForwarded(t, receiver.Decide(earlier, start), c.flow.token)
			c.entry = receiver
			c.sendData(1, later)
			require.False(t, c.isReset, "%s: the caller got a reset that its backend server did not send", name)
		}
	})
	t.Run("an entry that has sent an opening packet to the other backend server itself", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		c.openWithLateAnswer()
		receiver := newBalancer(t, serverChanged(c.token, director.StateReady))
		requireForwarded(t, receiver.Decide(opening(caller, 0), start), c.token)
		receiver.Update(2, []director.Change{serverChanged(c.flow.token, director.StateReady)}, false, start)
		receiver.AddHeldFlows(c.entry.TakeHeldFlows(), start)
		c.entry = receiver
		c.sendData(1, later)
		require.False(t, c.isReset, "the caller got a reset that its backend server did not send")
	})
}

// Guards against flows that are kept at a backend server that no longer holds them.
func TestPublishedHolderIsChecked(t *testing.T) {
	t.Parallel()
	c := newTwoAnswers(t)
	c.openWithLateAnswer()
	receiver := c.publish(start)
	p := balancer.Packet{Source: caller, Destination: route, Token: c.token, Acknowledged: c.flow.sequence + 1, HasData: true}
	t.Run("a later flow between the same addresses", func(t *testing.T) {
		later := p
		later.Acknowledged += 1 << 30
		v := receiver.Decide(later, start)
		requireForwarded(t, v, c.token)
		require.False(t, v.IsKept)
	})
	for name, change := range map[string]director.Change{
		"gone": serverChanged(c.flow.token, director.StateGone), "forgotten": director.ServerRemoved{Token: c.flow.token},
		"of another service": director.ServerChanged{Server: server(c.flow.token, "manifests", "a")},
	} {
		t.Run("a backend server that is "+name, func(t *testing.T) {
			b := newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
			b.AddHeldFlows([]flowsharer.HeldFlow{{Source: caller, Destination: route, Token: c.flow.token, Acknowledged: p.Acknowledged}}, start)
			b.Update(2, []director.Change{change}, false, start)
			requireForwarded(t, b.Decide(p, start), c.token)
		})
	}
	t.Run("a flow that was published long ago", func(t *testing.T) {
		b := newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
		b.AddHeldFlows([]flowsharer.HeldFlow{{Source: caller, Destination: route, Token: c.flow.token, Acknowledged: p.Acknowledged}}, start)
		b.Sweep(start.Add(flowsharer.MaxAge + time.Second))
		requireForwarded(t, b.Decide(p, start), c.token)
	})
}

// Guards against exchanges for flows whose token is right.
func TestFewFlowsArePublished(t *testing.T) {
	t.Parallel()
	t.Run("flows with one opening packet", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		c.receive(c.sendOpening(0, start), start)
		c.sendData(1, start.Add(time.Second))
		require.Empty(t, c.entry.TakeHeldFlows())
	})
	t.Run("copies to the same backend server", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		c.sendOpening(0, start)
		c.receive(c.sendOpening(1, start.Add(time.Millisecond)), start)
		require.Empty(t, c.entry.TakeHeldFlows())
	})
	t.Run("each flow once", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		c.openWithLateAnswer()
		c.sendData(1, start.Add(time.Second))
		<-c.entry.HeldFlowsAdded()
		require.Equal(t, []flowsharer.HeldFlow{{Source: caller, Destination: route, Token: c.flow.token, Acknowledged: c.flow.sequence + 1}}, c.entry.TakeHeldFlows())
		require.Empty(t, c.entry.TakeHeldFlows())
	})
}

// openAmbiguousFlows returns an entry behind a link with a rate in bytes per second, through which flows are open that
// several backend servers may hold.
func openAmbiguousFlows(t *testing.T, linkRate float64, count int) *balancer.Balancer {
	t.Helper()
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 10_000, LinkRate: linkRate}, nil)
	b.Update(1, []director.Change{routeToOrders(), director.VersionChanged{Version: 1}, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady)}, true, start)
	for i := range count {
		sendOnAmbiguousFlow(b, i, start)
	}
	return b
}

// sendOnAmbiguousFlow sends packets of a flow with the tokens of two backend servers. The first one holds it.
func sendOnAmbiguousFlow(b *balancer.Balancer, i int, now time.Time) {
	for token := range director.Token(2) {
		b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, Token: 1 + token, Acknowledged: 1}, now)
	}
}

func requireTaken(t *testing.T, b *balancer.Balancer, sources ...int) {
	t.Helper()
	var taken []netip.AddrPort
	for _, f := range b.TakeHeldFlows() {
		require.Equal(t, director.Token(1), f.Token)
		taken = append(taken, f.Source)
	}
	expected := make([]netip.AddrPort, 0, len(sources))
	for _, i := range sources {
		expected = append(expected, callerAddress(i))
	}
	require.ElementsMatch(t, expected, taken)
}

// Guards against an exchange that takes more of the links than the limits allow, and against flows beyond them that are
// never published.
func TestPublishedFlowsAreLimited(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		linkRate    float64
		atOnce, per int
	}{
		"a link whose rate is not known": {0, 32, 2},
		"a link of 2 Mbit/s":             {250e3, 32, 2},
		"a link of 10 Mbit/s":            {1.25e6, 164, 10},
		"a link of 1000 Mbit/s":          {125e6, 512, 32},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := openAmbiguousFlows(t, c.linkRate, 600)
			require.Len(t, b.TakeHeldFlows(), c.atOnce)
			require.Equal(t, 600-c.atOnce, b.HeldFlowsWaiting())
			b.Sweep(start.Add(time.Second))
			require.Len(t, b.TakeHeldFlows(), c.per)
			b.Sweep(start.Add(time.Second))
			require.Empty(t, b.TakeHeldFlows())
			require.Zero(t, b.HeldFlowsLeftOut())
		})
	}
	t.Run("the newest first", func(t *testing.T) {
		t.Parallel()
		b := openAmbiguousFlows(t, 0, 100)
		b.TakeHeldFlows()
		b.Sweep(start.Add(time.Second))
		requireTaken(t, b, 99, 98)
	})
	t.Run("not those that have ended", func(t *testing.T) {
		t.Parallel()
		b := openAmbiguousFlows(t, 0, 100)
		b.TakeHeldFlows()
		b.Decide(balancer.Packet{Source: callerAddress(99), Destination: route, Token: 1, Acknowledged: 1, IsFinal: true}, start)
		b.Decide(balancer.Packet{Source: callerAddress(98), Destination: route, Token: 1, Acknowledged: 1, IsReset: true}, start)
		b.Sweep(start.Add(time.Second))
		requireTaken(t, b, 97, 96)
	})
	t.Run("more than can wait", func(t *testing.T) {
		t.Parallel()
		b := openAmbiguousFlows(t, 0, 5000)
		require.Equal(t, 5000, len(b.TakeHeldFlows())+b.HeldFlowsWaiting()+b.HeldFlowsLeftOut())
		require.LessOrEqual(t, b.HeldFlowsWaiting(), 4096)
	})
}

// Guards against a reset of open flows at a planned stop of their entry, if it carries more flows with a second answer
// than it may publish at once.
func TestStoppingEntryPublishesAllHeldFlows(t *testing.T) {
	t.Parallel()
	b := openAmbiguousFlows(t, 0, 600)
	published := b.TakeHeldFlows()
	b.LeaveRotation(start)
	<-b.HeldFlowsAdded()
	published = append(published, b.TakeHeldFlows()...)
	sendOnAmbiguousFlow(b, 600, start)
	published = append(published, b.TakeHeldFlows()...)
	require.Len(t, published, 601)
	require.Zero(t, b.HeldFlowsWaiting()+b.HeldFlowsLeftOut())
	receiver := newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
	receiver.AddHeldFlows(published, start)
	for i := range 601 {
		v := receiver.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, Token: 2, Acknowledged: 1, HasData: true}, start)
		requireForwarded(t, v, 1)
	}
}

// Guards against new flows of other entries that are not remembered because there are too many old ones, and against
// memory that grows.
func TestNewestHeldFlowsAreRemembered(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
	const count = 10_000
	for i := range count {
		b.AddHeldFlows([]flowsharer.HeldFlow{{Source: callerAddress(i), Destination: route, Token: 1, Acknowledged: 1}}, start.Add(time.Duration(i)))
	}
	for i, holder := range map[int]director.Token{0: 2, count - 8193: 2, count - 8192: 1, count - 1: 1} {
		v := b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, Token: 2, Acknowledged: 1, HasData: true}, start)
		requireForwarded(t, v, holder)
	}
}
