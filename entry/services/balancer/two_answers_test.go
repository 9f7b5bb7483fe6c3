package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// host is a backend server that accepts flows. It holds a flow once a caller has acknowledged its
// sequence number.
type host struct {
	sequence uint32
	isOpen   bool
}

// answer is a packet from a backend server to a caller. It carries the token of its sender.
type answer struct {
	token    director.Token
	sequence uint32
	isReset  bool
}

// receive returns the answer to a packet of a caller, and false if there is none.
func (h *host) receive(token director.Token, p balancer.Packet) (answer, bool) {
	switch {
	case p.IsOpening:
		return answer{token: token, sequence: h.sequence}, true
	case !h.isOpen && p.Acknowledged != h.sequence+1:
		return answer{token: token, isReset: true}, true
	}
	h.isOpen = true
	return answer{}, false
}

// twoAnswers is a caller with two backend servers behind one entry, both of which answer its opening
// packet. It acknowledges the first answer and returns the token that it received last.
type twoAnswers struct {
	t       *testing.T
	entry   *balancer.Balancer
	hosts   map[director.Token]*host
	flow    answer
	token   director.Token
	isReset bool
}

func newTwoAnswers(t *testing.T) *twoAnswers {
	t.Helper()
	return &twoAnswers{
		t: t, entry: newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady)),
		hosts: map[director.Token]*host{1: {sequence: 1_000_000_000}, 2: {sequence: 3_000_000_000}},
	}
}

// send sends a packet through the entry and returns the answer, and false if there is none.
func (c *twoAnswers) send(p balancer.Packet, now time.Time) (answer, bool) {
	c.t.Helper()
	v := c.entry.Decide(p, now)
	require.Equal(c.t, balancer.ActionForward, v.Action, v.Reason.String())
	return c.hosts[v.Server.Token].receive(v.Server.Token, p)
}

func (c *twoAnswers) sendOpening(retransmissions uint32, now time.Time) answer {
	c.t.Helper()
	a, ok := c.send(opening(caller, retransmissions), now)
	require.True(c.t, ok)
	return a
}

// receive takes an answer to the caller and returns what it sends in turn.
func (c *twoAnswers) receive(a answer, now time.Time) {
	c.t.Helper()
	c.token = a.token
	if c.flow.token != 0 {
		return
	}
	c.flow = a
	c.sendData(0, now)
}

// sendData sends data on the open flow, which may be empty.
func (c *twoAnswers) sendData(size uint32, now time.Time) {
	c.t.Helper()
	a, ok := c.send(balancer.Packet{
		Source: caller, Destination: route, Token: c.token, Acknowledged: c.flow.sequence + 1, HasData: size > 0, Sequence: size,
	}, now)
	c.isReset = c.isReset || ok && a.isReset && a.token != c.flow.token
}

// Guards against a reset by a backend server that answered a copy of the opening packet but does not
// hold the flow.
func TestSecondAnswerMovesNoFlow(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"copies that are read together": time.Millisecond, "a copy after a late answer": firstRetransmission} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTwoAnswers(t)
			first, second := c.sendOpening(0, start), c.sendOpening(1, start.Add(delay))
			c.receive(first, start.Add(delay))
			c.receive(second, start.Add(delay))
			for i := range uint32(3) {
				c.sendData(1+i, start.Add(delay+time.Millisecond))
			}
			require.False(t, c.isReset, "the caller got a reset that its backend server did not send")
		})
	}
	t.Run("a late answer that the caller acknowledges", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		first := c.sendOpening(0, start)
		c.receive(c.sendOpening(1, start.Add(firstRetransmission)), start.Add(firstRetransmission))
		c.receive(first, start.Add(firstRetransmission))
		c.sendData(1, start.Add(time.Second))
		require.False(t, c.isReset, "the caller got a reset that its backend server did not send")
	})
	t.Run("a copy after the flow is open", func(t *testing.T) {
		t.Parallel()
		c := newTwoAnswers(t)
		c.receive(c.sendOpening(0, start), start)
		c.receive(c.sendOpening(1, start.Add(firstRetransmission)), start.Add(firstRetransmission))
		c.sendData(1, start.Add(time.Second))
		require.False(t, c.isReset, "the caller got a reset that its backend server did not send")
	})
}

// Guards against a reset or a loss of a flow because of the backend server that does not hold it.
func TestStateOfOtherServerIsIgnored(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]director.Change{
		"gone": serverChanged(2, director.StateGone), "forgotten": director.ServerRemoved{Token: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
			acknowledge(t, b, caller, 1, start)
			b.Update(2, []director.Change{change}, false, start)
			requireForwarded(t, b.Decide(balancer.Packet{Source: caller, Destination: route, Token: 2, Acknowledged: 500}, start), 1)
		})
	}
}

// Guards against a flow that is kept at a backend server that does not hold it.
func TestTokenDecidesWhereNothingElseIsKnown(t *testing.T) {
	t.Parallel()
	withToken := func(token director.Token, acknowledged uint32) balancer.Packet {
		return balancer.Packet{Source: caller, Destination: route, Token: token, Acknowledged: acknowledged}
	}
	for name, change := range map[string]director.Change{
		"another sequence than that of a server that is gone": serverChanged(1, director.StateGone),
		"another sequence than that of a draining server":     serverChanged(1, director.StateDraining),
		"another sequence than that of another service":       director.ServerChanged{Server: server(1, "manifests", "a")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
			requireForwarded(t, b.Decide(withToken(1, 1_000), start), 1)
			b.Update(2, []director.Change{change}, false, start)
			requireForwarded(t, b.Decide(withToken(2, 3_000_000_000), start), 2)
		})
	}
	t.Run("the sequence of a server that is gone", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, serverChanged(1, director.StateReady), serverChanged(2, director.StateReady))
		requireForwarded(t, b.Decide(withToken(1, 1_000), start), 1)
		b.Update(2, []director.Change{serverChanged(1, director.StateGone)}, false, start)
		requireForwarded(t, b.Decide(withToken(2, 1_000), start), 2)
	})
}
