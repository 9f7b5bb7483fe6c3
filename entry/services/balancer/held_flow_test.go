package balancer_test

import (
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

// Guards against exchanges for flows whose token is right, and against an exchange without a limit.
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
	t.Run("many flows at once", func(t *testing.T) {
		t.Parallel()
		b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 1000}, nil)
		b.Update(1, []director.Change{routeToOrders(), director.VersionChanged{Version: 1}, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady)}, true, start)
		for i := range 600 {
			for token := range director.Token(2) {
				p := balancer.Packet{Source: callerAddress(i), Destination: route, Token: 1 + token, Acknowledged: 1}
				b.Decide(p, start)
			}
		}
		require.Equal(t, 600, len(b.TakeHeldFlows())+b.HeldFlowsLeftOut())
		require.Greater(t, b.HeldFlowsLeftOut(), 500)
	})
}
