package broadcaster

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/services/replicator"

	service "github.com/redwingledge/redwingledge/control/services/director"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// replica never commits anything.
type replica struct{ status replicator.Status }

func (r *replica) Propose(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (r *replica) ReadBarrier(context.Context) error { return nil }

func (r *replica) Status() replicator.Status { return r.status }

var current = replicator.Status{HasQuorum: true, CaughtUp: 5, Applied: 5}

func newBroadcaster(t *testing.T, status replicator.Status) *Broadcaster {
	t.Helper()
	machine := service.NewMachine()
	command, err := service.Encode(service.TakeOut{DataCentre: "kano-a", TakenOut: true})
	require.NoError(t, err)
	_, err = machine.Apply(5, command)
	require.NoError(t, err)
	s := service.NewService(service.Settings{}, &replica{status: status}, func() *service.Machine { return machine }, timer.NewSystem(), log.Discard())
	b := New(s, transporter.NewPool(nil), reporter.NewCounters())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return b
}

// Guards against entries that wait for their enlistment before they get the view: after
// a common start all are enlisted at once, which takes the leader a while.
func TestPollDoesNotWaitForEnlistment(t *testing.T) {
	t.Parallel()
	b := newBroadcaster(t, current)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	for range 2 * enlistCapacity {
		resp, err := b.watch(ctx, &director.WatchRequest{Entry: "entry-1"})
		require.NoError(t, err)
		require.Equal(t, uint64(5), resp.Index)
		require.True(t, resp.Complete)
	}
}

// Guards against whole views that are sent to an entry that only searches: over a link
// of 2.4 Mbit/s a few of them delay the one that it follows.
func TestProbeCarriesNoView(t *testing.T) {
	t.Parallel()
	resp, err := newBroadcaster(t, current).watch(t.Context(), &director.WatchRequest{Entry: "entry-1", Probe: true})
	require.NoError(t, err)
	require.Equal(t, uint64(5), resp.Index)
	require.Empty(t, resp.Changes)
}

// Guards against a view of the past: a replica that has just started hears the leader
// before it has applied its log.
func TestPollNeedsCurrentReplica(t *testing.T) {
	t.Parallel()
	for name, s := range map[string]replicator.Status{
		"no leader":                   {CaughtUp: 5, Applied: 5},
		"not known what is committed": {HasQuorum: true, Applied: 5},
		"log not applied":             {HasQuorum: true, CaughtUp: 6, Applied: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := newBroadcaster(t, s).watch(t.Context(), &director.WatchRequest{Entry: "entry-1"})
			require.Equal(t, codes.FailedPrecondition, status.Code(err), err)
		})
	}
}
