package driver

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// pausable is a clock that a test moves on as a pause of the process does: no tick comes
// meanwhile.
type pausable struct {
	timer.System
	paused atomic.Int64
}

func (p *pausable) Now() time.Time { return p.System.Now().Add(time.Duration(p.paused.Load())) }

// Guards against a replica that answers for a majority which it has not heard during a pause
// of seconds. A call may be handled before the replica takes its first step after the pause.
func TestPermissionRunsOutDuringPause(t *testing.T) {
	t.Parallel()
	store, state, err := storer.Open(storer.Settings{Folder: t.TempDir()})
	require.NoError(t, err)
	clock := new(pausable)
	d, err := New(Options{
		Settings: settingsOf(newPeers(t, 1), 0), Store: store, State: state, Applier: new(counter),
		Timer: clock, Counters: reporter.NewCounters(), Logger: log.Discard(),
	})
	require.NoError(t, err)
	d.Start()
	t.Cleanup(func() { _ = store.Close() })
	require.Eventually(t, func() bool { return d.Status().IsCurrent() }, 10*time.Second, time.Millisecond)
	require.Equal(t, replicator.RoleLeader, d.Status().Role)
	// Nothing takes a step any more.
	d.ticks.Cancel()
	d.Stop()
	require.True(t, d.Status().IsCurrent(), "right after the last step")
	clock.paused.Store(int64(2 * time.Second))
	require.False(t, d.Status().IsCurrent(), "after a pause")
}
