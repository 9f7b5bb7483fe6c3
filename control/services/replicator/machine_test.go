package replicator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

func newSettledWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld(7, 3, mutation{})
	require.True(t, w.settle(10*time.Second), w.describe())
	return w
}

// isolate cuts a replica off in the given directions.
func (w *world) isolate(n *node, in, out bool) {
	for _, other := range w.nodes {
		w.cuts[[2]string{n.name, other.name}] = out
		w.cuts[[2]string{other.name, n.name}] = in
	}
}

func (w *world) follower() *node {
	for _, n := range w.nodes {
		if n != w.leader() {
			return n
		}
	}
	return nil
}

// Guards against a replica that deposes the leader when it returns after a long
// partition in one or both directions, or after a long freeze.
func TestReturningReplicaDoesNotDisturb(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(*world, *node){
		"cut in both directions": func(w *world, n *node) { w.isolate(n, true, true) },
		"hears nothing":          func(w *world, n *node) { w.isolate(n, true, false) },
		"is not heard":           func(w *world, n *node) { w.isolate(n, false, true) },
		"frozen":                 func(_ *world, n *node) { n.frozen = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSettledWorld(t)
			lead := w.leader()
			term := lead.machine.term
			disturb(w, w.follower())
			w.addClients(2, 50)
			w.run(time.Minute)
			require.True(t, w.settle(10*time.Second), w.describe())
			w.run(10 * time.Second)
			require.Equal(t, lead.name, w.leader().name)
			require.Equal(t, term, w.leader().machine.term)
			require.Empty(t, w.problems)
		})
	}
}

// Guards against a leader that acknowledges commands or reads without a majority.
func TestIsolatedLeaderStops(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(t)
	lead := w.leader()
	w.isolate(lead, true, false)
	commit := lead.machine.commit
	out := lead.machine.Step(Propose{Now: w.clock(lead), ID: 1, Command: []byte("{}")}, Read{Now: w.clock(lead), ID: 2})
	lead.disk.save(out)
	require.IsType(t, SaveEntries{}, out[1])
	w.run(3 * time.Second)
	require.Equal(t, commit, lead.machine.commit)
	require.NotEqual(t, RoleLeader, lead.machine.role)
	require.NotEqual(t, lead.name, w.leader().name)
	refused := lead.machine.Step(Propose{Now: w.clock(lead), ID: 3})
	require.Len(t, refused, 1)
	require.True(t, IsErrNoQuorum(refused[0].(Refused).Err))
}

// Guards against a lost disk whose replica votes as before, and against a repair
// after which the loss of a second replica stops the cluster.
func TestLostDiskIsRepaired(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(t)
	n := w.follower()
	old := n.disk.id
	w.kill(n)
	n.disk = nil
	w.start(n)
	w.step(n, Receive{Now: w.clock(n), Envelope: Envelope{
		From: storer.Identity{1}, To: old, Message: &VoteRequest{Term: 100, LastIndex: 100, LastTerm: 100},
	}})
	require.Zero(t, n.disk.vote, "a vote asked of the old identity")
	require.True(t, w.settle(10*time.Second), w.describe())
	require.False(t, w.leader().machine.membership().IsVoter(old))
	w.kill(w.leader())
	w.run(5 * time.Second)
	require.NotNil(t, w.leader())
	require.Empty(t, w.problems)
}

// Guards against two clusters that are created side by side, and against one that
// is created again over a lost majority.
func TestFoundingNeedsAllEmpty(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(t)
	for _, n := range w.nodes[:2] {
		w.kill(n)
		n.disk = nil
		w.start(n)
	}
	w.run(time.Minute)
	require.Nil(t, w.leader())
	require.True(t, w.nodes[0].machine.isEmpty())
}

// Guards against a removal that leaves no majority, removes the leader, or is
// undone by the removed replica.
func TestRemove(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(t)
	lead, n := w.leader(), w.follower()
	remove := func(name string) Output {
		out := lead.machine.Step(Remove{Now: w.clock(lead), ID: 1, Name: name})
		lead.disk.save(out)
		return out[0]
	}
	require.Equal(t, ErrRemoveLeader{Name: lead.name}, remove(lead.name).(Refused).Err)
	require.Equal(t, ErrReplicaNotExist{Name: "x"}, remove("x").(Refused).Err)
	for _, other := range w.nodes {
		if other != lead && other != n {
			w.kill(other)
			w.run(2 * time.Second)
			require.True(t, IsErrNoQuorum(remove(n.name).(Refused).Err))
			w.heal()
		}
	}
	require.True(t, w.settle(10*time.Second), w.describe())
	w.run(time.Second) // the leader learns of the verification by the next answer
	lead = w.leader()
	n = w.follower()
	w.kill(n)
	out := remove(n.name)
	require.IsType(t, Accepted{}, out, "%v", out)
	w.run(time.Second)
	require.Equal(t, 2, lead.machine.membership().Voters())
	require.Empty(t, w.problems)
}

// Guards against replicas that wait for ever for entries of their floor which
// were never committed and whose only copy is lost (seed 4686 before the fix).
func TestFloorIsGivenUp(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(t)
	w.settings.TrustDiskAfter = 0
	for _, n := range w.nodes {
		w.kill(n)
		w.start(n)
		n.machine.verification = verification{done: true, startedAt: w.clock(n), floorIndex: 999, floorTerm: 999}
	}
	w.run(5 * time.Second)
	require.Nil(t, w.leader())
	require.True(t, w.settle(time.Minute), w.describe())
}

// Guards against answers that are answered for ever: while too much is on its way
// to a replica, an answer must not cause another request.
func TestFullWindowEndsExchange(t *testing.T) {
	t.Parallel()
	w := newSettledWorld(t)
	lead, n := w.leader(), w.follower()
	p := lead.machine.leading.progress[n.disk.id]
	for range maxInFlight + 10 {
		lead.machine.appendEntries([]storer.Entry{{Index: lead.machine.log.last() + 1, Term: lead.machine.term, Kind: storer.EntryEmpty}})
	}
	lead.machine.out = nil
	p.next = p.match + maxInFlight + 1
	resp := &AppendResponse{Term: lead.machine.term, Echo: Echo{Round: p.round, SentAt: p.sentAt, Session: p.session, Verified: true}, Success: true, Match: p.match}
	outputs := func() int {
		return len(lead.machine.Step(Receive{Now: w.clock(lead), Envelope: Envelope{From: n.disk.id, Message: resp}}))
	}
	require.Zero(t, outputs())
	resp.Match += 100
	require.Positive(t, outputs())
}
