package director

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// restart returns a commandLog whose Machine was restored from a snapshot, as after the restart
// of a replica.
func (l *commandLog) restart() *commandLog {
	l.t.Helper()
	data, err := l.machine.Snapshot()
	require.NoError(l.t, err)
	restored := &commandLog{t: l.t, machine: NewMachine(), index: l.index}
	require.NoError(l.t, restored.machine.Restore(data))
	return restored
}

// Guards against a stopped or draining backend server that is used again after a restart of
// the replica, and against entries that are not told of its state.
func TestRestartKeepsStoppedServers(t *testing.T) {
	t.Parallel()
	before := newCommandLog(t)
	before.mustApply(declaration(1, route(routeA, "orders")))
	before.mustApply(announce("withdrawn", addressA, 100, 1, false))
	before.mustApply(announce("draining", addressB, 100, 1, false))
	before.mustApply(Withdraw{Host: "withdrawn", Incarnation: 100})
	before.mustApply(announce("draining", addressB, 100, 7, true))
	before.mustApply(TakeOut{DataCentre: "b", TakenOut: true})
	after := before.restart().restart()

	want := map[string]director.State{"withdrawn": director.StateDraining, "draining": director.StateDraining}
	after.requireStates(want)
	require.True(t, IsErrStaleAnnouncement(after.apply(announce("withdrawn", addressA, 100, 2, false))))
	require.True(t, IsErrStaleAnnouncement(after.apply(announce("draining", addressB, 100, 6, false))))
	after.requireStates(want)

	// An entry without any state gets the whole state.
	changes, _, isComplete := after.machine.ChangesSince(0)
	require.True(t, isComplete)
	entry := director.NewDirectory()
	for _, change := range changes {
		entry.Apply(change)
	}
	require.True(t, entry.IsTakenOut("b"))
	for _, server := range entry.Servers() {
		require.Equal(t, want[server.Host], server.State, server.Host)
	}
}
