package driver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/recoverer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// panickingApplier is an Applier that some commands make panic.
type panickingApplier struct{ counter }

func (p *panickingApplier) Apply(index uint64, command []byte) ([]byte, error) {
	if string(command) == "poison" {
		panic("cannot apply")
	}
	return p.counter.Apply(index, command)
}

// Guards against a command that crashes every replica, and again after each restart.
func TestPoisonousCommandIsRefused(t *testing.T) {
	t.Parallel()
	settings := settingsOf(newPeers(t, 1), 0)
	r := startWith(t, settings, storer.Settings{Folder: t.TempDir()}, new(panickingApplier))
	require.Eventually(t, func() bool { return r.Status().Role == replicator.RoleLeader && r.Status().HasQuorum }, 10*time.Second, 5*time.Millisecond)
	_, err := r.Propose(t.Context(), []byte("poison"))
	require.ErrorAs(t, err, new(recoverer.ErrPanic))
	_, err = r.Propose(t.Context(), []byte("good"))
	require.NoError(t, err)
}

// Guards against a panic of the replicated log that ends the process: the replica must stop
// and report the cause, so that it can be reopened.
func TestPanicStopsOnlyTheReplica(t *testing.T) {
	t.Parallel()
	store, state, err := storer.Open(storer.Settings{Folder: t.TempDir()})
	require.NoError(t, err)
	d, err := New(Options{
		Settings: settingsOf(newPeers(t, 1), 0), Store: store, State: state, Applier: new(counter),
		Timer: timer.NewSystem(), Counters: reporter.NewCounters(), Logger: log.Discard(),
	})
	require.NoError(t, err)
	d.machine = nil
	d.Start()
	t.Cleanup(func() {
		d.Stop()
		_ = store.Close()
	})
	require.Eventually(t, func() bool { return d.Status().Failed != nil }, 5*time.Second, 5*time.Millisecond)
	require.ErrorContains(t, d.Status().Failed, "panic")
}
