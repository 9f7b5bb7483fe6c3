package replicator

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (n *node) isCurrent() bool {
	status := n.machine.Status()
	status.Applied = n.applied
	return status.IsCurrent()
}

// requireCurrentOnlyWhenCaughtUp runs the world and checks that the replica is current
// only with all that was committed when the wait began, and in the end.
func requireCurrentOnlyWhenCaughtUp(t *testing.T, w *world, n *node, committed uint64) {
	t.Helper()
	for range 100 {
		w.run(tickPeriod)
		if n.isCurrent() {
			require.GreaterOrEqual(t, n.applied, committed)
		}
	}
	require.True(t, n.isCurrent(), w.describe())
}

// Guards against a replica that takes its old state for the newest as soon as it hears
// a leader: entries that start would get routes and backend servers of the past.
func TestReplicaIsCurrentWhenCaughtUp(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]struct{ begin, end func(*world, *node) }{
		"started again":  {begin: func(w *world, n *node) { w.kill(n) }, end: func(w *world, n *node) { w.start(n) }},
		"was cut off":    {begin: func(w *world, n *node) { w.isolate(n, true, true) }, end: func(w *world, _ *node) { clear(w.cuts) }},
		"has lost disk":  {begin: func(w *world, n *node) { w.kill(n); n.disk = nil }, end: func(w *world, n *node) { w.start(n) }},
		"was frozen 3 s": {begin: func(_ *world, n *node) { n.frozen = true }, end: func(w *world, n *node) { w.thaw(n) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSettledWorld(t)
			n := w.follower()
			disturb.begin(w, n)
			w.addClients(2, 50)
			w.run(3 * time.Second)
			committed := w.leader().machine.commit
			require.Greater(t, committed, n.applied)
			disturb.end(w, n)
			requireCurrentOnlyWhenCaughtUp(t, w, n, committed)
			require.Empty(t, w.problems)
		})
	}
	t.Run("all started again", func(t *testing.T) {
		t.Parallel()
		w := newSettledWorld(t)
		w.addClients(2, 20)
		w.run(3 * time.Second)
		committed := w.leader().machine.commit
		for _, n := range w.nodes {
			w.kill(n)
			w.start(n)
		}
		for _, n := range w.nodes {
			requireCurrentOnlyWhenCaughtUp(t, w, n, committed)
		}
	})
}

// Guards against a restart that applies many large entries, and against a log that
// keeps them: as configurations of 400 routes have 80 KB, 500 of them took 40 MB.
func TestSnapshotsFollowSize(t *testing.T) {
	t.Parallel()
	const command = 80 << 10
	w := newWorld(7, 3, mutation{})
	w.settings.SnapshotEntries, w.settings.KeepEntries, w.settings.MaxAppendBytes = 2000, 500, 1<<20
	for _, n := range w.nodes {
		w.kill(n)
		w.start(n)
	}
	require.True(t, w.settle(10*time.Second), w.describe())
	for range 100 {
		lead := w.leader()
		data := `{"Key":"a","Value":"` + strings.Repeat("a", command) + `"}`
		w.step(lead, Propose{Now: w.clock(lead), ID: 1 << 40, Command: []byte(data)})
		w.run(2 * tickPeriod)
	}
	for _, n := range w.nodes {
		size := sizeOf(n.disk.entries)
		require.LessOrEqual(t, size, 2*(w.settings.SnapshotBytes+2*command), "entries kept on disk")
		require.LessOrEqual(t, n.machine.unsaved, w.settings.SnapshotBytes+2*command, "entries to apply after a start")
	}
	require.Empty(t, w.problems)
}

// Guards against callers that wait for a leader after a common start: in the middle it
// must be there within 0.2 s, of which the round trips of an election take 50 ms.
func TestFirstElectionBeginsSoon(t *testing.T) {
	t.Parallel()
	soon := 0
	const cases = 40
	for seed := range uint64(cases) {
		w := newOpenWorld(seed, 4)
		require.True(t, w.settle(20*time.Second), w.describe())
		w.settings.Bootstrap = false
		for _, n := range w.nodes {
			w.kill(n)
		}
		w.run(time.Second)
		for _, n := range w.nodes {
			w.start(n)
		}
		w.run(200 * time.Millisecond)
		if lead := w.leader(); lead != nil && lead.machine.hasFreshQuorum() {
			soon++
		}
	}
	require.GreaterOrEqual(t, soon, cases/2)
}
