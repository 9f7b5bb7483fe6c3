package replicator

import (
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
