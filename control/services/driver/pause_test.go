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

// pausableClock is a clock that a test advances as a pause of the process does, without any
// ticks.
type pausableClock struct {
	timer.System
	paused atomic.Int64
}

func (p *pausableClock) Now() time.Time { return p.System.Now().Add(time.Duration(p.paused.Load())) }

// Guards against a replica that still claims a quorum after a pause of seconds, in which it had
// no contact with a majority. A call may be handled before the first step after the pause.
func TestQuorumExpiresDuringPause(t *testing.T) {
	t.Parallel()
	store, state, err := storer.Open(storer.Settings{Folder: t.TempDir()})
	require.NoError(t, err)
	clock := new(pausableClock)
	d, err := New(Options{
		Settings: settingsOf(newPeers(t, 1), 0), Store: store, State: state, Applier: new(counter),
		Timer: clock, Counters: reporter.NewCounters(), Logger: log.Discard(),
	})
	require.NoError(t, err)
	d.Start()
	t.Cleanup(func() { _ = store.Close() })
	require.Eventually(t, func() bool { return d.Status().IsCurrent() }, 10*time.Second, time.Millisecond)
	require.Equal(t, replicator.RoleLeader, d.Status().Role)
	// After Stop, no further steps update the status.
	d.ticks.Cancel()
	d.Stop()
	require.True(t, d.Status().IsCurrent(), "right after the last step")
	clock.paused.Store(int64(2 * time.Second))
	require.False(t, d.Status().IsCurrent(), "after a pause")
}
