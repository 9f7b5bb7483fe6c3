package replicator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

func newConvergedSimulation(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(7, 3, mutation{})
	require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
	return sim
}

// isolate drops all messages to a replica (in) or from it (out).
func (sim *simulation) isolate(n *node, in, out bool) {
	for _, other := range sim.nodes {
		sim.cuts[[2]string{n.name, other.name}] = out
		sim.cuts[[2]string{other.name, n.name}] = in
	}
}

func (sim *simulation) follower() *node {
	for _, n := range sim.nodes {
		if n != sim.leader() {
			return n
		}
	}
	return nil
}

// Guards against a replica that deposes the leader when it returns after a long partition in
// one or both directions, or after a long pause of its process.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(*simulation, *node){
		"cut in both directions": func(sim *simulation, n *node) { sim.isolate(n, true, true) },
		"receives nothing":       func(sim *simulation, n *node) { sim.isolate(n, true, false) },
		"cannot send":            func(sim *simulation, n *node) { sim.isolate(n, false, true) },
		"paused":                 func(_ *simulation, n *node) { n.paused = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newConvergedSimulation(t)
			lead := sim.leader()
			term := lead.machine.term
			fault(sim, sim.follower())
			sim.addClients(2, 50)
			sim.run(time.Minute)
			require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
			sim.run(10 * time.Second)
			require.Equal(t, lead.name, sim.leader().name)
			require.Equal(t, term, sim.leader().machine.term)
			require.Empty(t, sim.violations)
		})
	}
}

// Guards against an isolated leader that acknowledges commands or reads without a majority.
func TestIsolatedLeaderStops(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t)
	lead := sim.leader()
	sim.isolate(lead, true, false)
	commit := lead.machine.commitIndex
	out := lead.machine.Step(Propose{Now: sim.clock(lead), ID: 1, Command: []byte("{}")}, Read{Now: sim.clock(lead), ID: 2})
	sim.handle(lead, out)
	require.IsType(t, SaveEntries{}, out[1])
	sim.run(3 * time.Second)
	require.Equal(t, commit, lead.machine.commitIndex)
	require.NotEqual(t, RoleLeader, lead.machine.role)
	require.NotEqual(t, lead.name, sim.leader().name)
	refused := lead.machine.Step(Propose{Now: sim.clock(lead), ID: 3})
	require.Len(t, refused, 1)
	require.True(t, IsErrNoQuorum(refused[0].(Refused).Err))
}

// Guards against a replica that lost its disk and still votes under its old identity, and
// against a repair after which the cluster does not survive the loss of another replica.
func TestLostDiskIsRepaired(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t)
	n := sim.follower()
	old := n.disk.id
	sim.kill(n)
	n.disk = nil
	sim.start(n)
	sim.step(n, Receive{Now: sim.clock(n), Envelope: Envelope{
		From: storer.Identity{1}, To: old, Message: &VoteRequest{Term: 100, LastIndex: 100, LastTerm: 100},
	}})
	require.Zero(t, n.disk.vote, "voted for a request to the old identity")
	require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
	require.False(t, sim.leader().machine.membership().IsVoter(old))
	sim.kill(sim.leader())
	sim.run(5 * time.Second)
	require.NotNil(t, sim.leader())
	require.Empty(t, sim.violations)
}

// Guards against replicas that create a second cluster: at the first start, or after a majority
// has lost its disks.
func TestBootstrapNeedsAllReplicasWithoutCluster(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t)
	for _, n := range sim.nodes[:2] {
		sim.kill(n)
		n.disk = nil
		sim.start(n)
	}
	sim.run(time.Minute)
	require.Nil(t, sim.leader())
	require.True(t, sim.nodes[0].machine.isUnbootstrapped())
}

// Guards against a removal that leaves no majority, removes the leader, or is reverted by the
// removed replica.
func TestRemove(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t)
	lead, n := sim.leader(), sim.follower()
	remove := func(name string) Output {
		out := lead.machine.Step(Remove{Now: sim.clock(lead), ID: 1, Name: name})
		sim.handle(lead, out)
		return out[0]
	}
	require.Equal(t, ErrRemoveLeader{Name: lead.name}, remove(lead.name).(Refused).Err)
	require.Equal(t, ErrReplicaNotExist{Name: "x"}, remove("x").(Refused).Err)
	for _, other := range sim.nodes {
		if other != lead && other != n {
			sim.kill(other)
			sim.run(2 * time.Second)
			require.True(t, IsErrNoQuorum(remove(n.name).(Refused).Err))
			sim.heal()
		}
	}
	require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
	sim.run(time.Second) // the leader learns of the verification from the next response
	lead = sim.leader()
	n = sim.follower()
	sim.kill(n)
	out := remove(n.name)
	require.IsType(t, Accepted{}, out, "%v", out)
	sim.run(time.Second)
	require.Equal(t, 2, lead.machine.membership().Voters())
	require.Empty(t, sim.violations)
}

// Guards against replicas that wait for ever to reach a minimum log position whose entries were
// never committed and whose only copy is lost (seed 4686 before the fix).
func TestUnreachableMinimumLogPositionIsDropped(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t)
	sim.settings.TrustDiskAfter = 0
	for _, n := range sim.nodes {
		sim.kill(n)
		sim.start(n)
		n.machine.verification = verification{done: true, phaseStartedAt: sim.clock(n), minLogIndex: 999, minLogTerm: 999}
	}
	sim.run(5 * time.Second)
	require.Nil(t, sim.leader())
	require.True(t, sim.waitForConvergence(time.Minute), sim.describe())
}

// Guards against an endless exchange of requests and responses: while the in-flight window of a
// replica is full, a response must not cause another request.
func TestFullWindowSendsNoRequest(t *testing.T) {
	t.Parallel()
	sim := newConvergedSimulation(t)
	lead, n := sim.leader(), sim.follower()
	p := lead.machine.leaderState.progress[n.disk.id]
	for range maxInFlight + 10 {
		lead.machine.appendEntries([]storer.Entry{{Index: lead.machine.log.last() + 1, Term: lead.machine.term, Kind: storer.EntryEmpty}})
	}
	lead.machine.out = nil
	lead.machine.saving.stored.index = lead.machine.log.last()
	p.nextIndex = p.matchIndex + maxInFlight + 1
	resp := &AppendResponse{Term: lead.machine.term, Echo: Echo{Round: p.round, SentAt: p.sentAt, Session: p.session, Verified: true}, Success: true, MatchIndex: p.matchIndex}
	outputs := func() int {
		return len(lead.machine.Step(Receive{Now: sim.clock(lead), Envelope: Envelope{From: n.disk.id, Message: resp}}))
	}
	require.Zero(t, outputs())
	resp.MatchIndex += 100
	require.Positive(t, outputs())
}
