package replicator

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (n *node) isCurrent() bool {
	status := n.machine.Status()
	status.AppliedIndex = n.applied
	return status.IsCurrent()
}

// requireCurrentOnlyWhenCaughtUp runs the simulation. It checks that the replica reports that it
// is current only after it has applied all entries up to committed, the index that was committed
// when the wait began, and that it does so in the end.
func requireCurrentOnlyWhenCaughtUp(t *testing.T, sim *simulation, n *node, committed uint64) {
	t.Helper()
	for range 100 {
		sim.run(tickPeriod)
		if n.isCurrent() {
			require.GreaterOrEqual(t, n.applied, committed)
		}
	}
	require.True(t, n.isCurrent(), sim.describe())
}

// Guards against a replica that reports its old state as current as soon as it has contact to a
// leader: entries that start would get outdated routes and backend servers.
func TestReplicaIsCurrentWhenCaughtUp(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]struct{ begin, end func(*simulation, *node) }{
		"restarted":       {begin: func(sim *simulation, n *node) { sim.kill(n) }, end: func(sim *simulation, n *node) { sim.start(n) }},
		"partitioned off": {begin: func(sim *simulation, n *node) { sim.isolate(n, true, true) }, end: func(sim *simulation, _ *node) { clear(sim.cuts) }},
		"lost its disk":   {begin: func(sim *simulation, n *node) { sim.kill(n); n.disk = nil }, end: func(sim *simulation, n *node) { sim.start(n) }},
		"paused for 3 s":  {begin: func(_ *simulation, n *node) { n.paused = true }, end: func(sim *simulation, n *node) { sim.resume(n) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newConvergedSimulation(t)
			n := sim.follower()
			fault.begin(sim, n)
			sim.addClients(2, 50)
			sim.run(3 * time.Second)
			committed := sim.leader().machine.commitIndex
			require.Greater(t, committed, n.applied)
			fault.end(sim, n)
			requireCurrentOnlyWhenCaughtUp(t, sim, n, committed)
			require.Empty(t, sim.violations)
		})
	}
	t.Run("all restarted", func(t *testing.T) {
		t.Parallel()
		sim := newConvergedSimulation(t)
		sim.addClients(2, 20)
		sim.run(3 * time.Second)
		committed := sim.leader().machine.commitIndex
		for _, n := range sim.nodes {
			sim.kill(n)
			sim.start(n)
		}
		for _, n := range sim.nodes {
			requireCurrentOnlyWhenCaughtUp(t, sim, n, committed)
		}
	})
}

// Guards against a restart that applies many large entries, and against a log that keeps them.
// Configurations of 400 routes have 80 KB, so 500 of them took 40 MB.
func TestSnapshotsBoundLogSize(t *testing.T) {
	t.Parallel()
	const command = 80 << 10
	sim := newSimulation(7, 3, mutation{})
	sim.settings.SnapshotEntries, sim.settings.KeepEntries, sim.settings.MaxAppendBytes = 2000, 500, 1<<20
	for _, n := range sim.nodes {
		sim.kill(n)
		sim.start(n)
	}
	require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
	for range 100 {
		lead := sim.leader()
		data := `{"Key":"a","Value":"` + strings.Repeat("a", command) + `"}`
		sim.step(lead, Propose{Now: sim.clock(lead), ID: 1 << 40, Command: []byte(data)})
		sim.run(2 * tickPeriod)
	}
	for _, n := range sim.nodes {
		size := sizeOf(n.disk.entries)
		require.LessOrEqual(t, size, 2*(sim.settings.SnapshotBytes+2*command), "entries kept on disk")
		require.LessOrEqual(t, n.machine.bytesSinceSnapshot, sim.settings.SnapshotBytes+2*command, "entries to apply after a start")
	}
	require.Empty(t, sim.violations)
}

// Guards against callers that wait long for a leader after all replicas start together: in half
// of the cases there must be one within 0.2 s. The round trips of an election take 50 ms of it.
func TestFirstElectionBeginsSoon(t *testing.T) {
	t.Parallel()
	inTime := 0
	const cases = 40
	for seed := range uint64(cases) {
		sim := newOpenMembershipSimulation(seed, 4)
		require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
		sim.settings.Bootstrap = false
		for _, n := range sim.nodes {
			sim.kill(n)
		}
		sim.run(time.Second)
		for _, n := range sim.nodes {
			sim.start(n)
		}
		sim.run(200 * time.Millisecond)
		if lead := sim.leader(); lead != nil && lead.machine.hasActiveQuorum() {
			inTime++
		}
	}
	require.GreaterOrEqual(t, inTime, cases/2)
}
