package broadcaster

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	service "github.com/redwingledge/redwingledge/control/services/director"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// replica is a stub that never commits a proposal.
type replica struct{ status replicator.Status }

func (r *replica) Propose(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (r *replica) ReadBarrier(context.Context) error { return nil }

func (r *replica) Status() replicator.Status { return r.status }

// silentLeader is a leader that never answers a registration.
type silentLeader struct{}

func (silentLeader) Register(ctx context.Context, _ netip.AddrPort, _ *service.Registration) (*service.RegistrationResult, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

var currentStatus = replicator.Status{HasQuorum: true, CaughtUpIndex: 5, AppliedIndex: 5, LeaderAddress: netip.MustParseAddrPort("10.0.0.2:7720")}

type fixture struct {
	*Broadcaster
	t        *testing.T
	machine  *service.Machine
	index    uint64
	counters *reporter.Counters
	clock    *timer.Fake
}

func newFixture(t *testing.T, status replicator.Status) *fixture {
	t.Helper()
	f := &fixture{t: t, machine: service.NewMachine(), index: 4, counters: reporter.NewCounters(), clock: timer.NewFake(time.Unix(1000, 0))}
	f.apply(service.TakeOut{DataCentre: "kano-a", TakenOut: true})
	s := service.NewService(service.Settings{}, &replica{status: status}, f.machine, silentLeader{}, timer.NewSystem(), log.Discard())
	f.Broadcaster = New(s, f.clock, f.counters)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.RunForwarding(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *fixture) apply(command service.Command) {
	f.t.Helper()
	data, err := service.Encode(command)
	require.NoError(f.t, err)
	f.index++
	_, err = f.machine.Apply(f.index, data)
	require.NoError(f.t, err)
}

// requireChanges polls from an index, and checks the index and the number of changes of
// the answer.
func (f *fixture) requireChanges(from, reached uint64, count int) {
	f.t.Helper()
	resp, err := f.watch(f.t.Context(), &director.WatchRequest{Index: from})
	require.NoError(f.t, err)
	require.Equal(f.t, reached, resp.Index)
	changes, _, err := resp.Changes.Decode()
	require.NoError(f.t, err)
	require.Len(f.t, changes, count)
}

// Guards against entries that get no view until they are enlisted. When all entries start
// together, the leader needs some time to enlist them all.
func TestPollDoesNotWaitForEnlistment(t *testing.T) {
	t.Parallel()
	f := newFixture(t, currentStatus)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	for range 200 {
		resp, err := f.watch(ctx, &director.WatchRequest{Entry: "entry-1"})
		require.NoError(t, err)
		require.Equal(t, uint64(5), resp.Index)
		require.True(t, resp.Complete)
	}
}

// Guards against a full view in the answer to a probe, which an entry sends when it only
// searches for a replica. Over a link of 2.4 Mbit/s a few full views delay the one from the
// replica that the entry follows.
func TestProbeCarriesNoView(t *testing.T) {
	t.Parallel()
	resp, err := newFixture(t, currentStatus).watch(t.Context(), &director.WatchRequest{Entry: "entry-1", Probe: true})
	require.NoError(t, err)
	require.Equal(t, uint64(5), resp.Index)
	require.Empty(t, resp.Changes.Data)
}

// Guards against an outdated view: a replica that has just started has contact with the
// leader before it has applied its log.
func TestPollNeedsCurrentReplica(t *testing.T) {
	t.Parallel()
	for name, s := range map[string]replicator.Status{
		"no leader":                   {CaughtUpIndex: 5, AppliedIndex: 5},
		"not known what is committed": {HasQuorum: true, AppliedIndex: 5},
		"log not applied":             {HasQuorum: true, CaughtUpIndex: 6, AppliedIndex: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := newFixture(t, s).watch(t.Context(), &director.WatchRequest{Entry: "entry-1"})
			require.Equal(t, codes.FailedPrecondition, status.Code(err), err)
		})
	}
}

// Guards against one encoding for each entry when all entries of a deployment poll for the
// same changes at once. Each answer must be encoded once, and no cached answer may be served
// after the state has changed.
func TestAnswersAreEncodedOnce(t *testing.T) {
	t.Parallel()
	const entries = 500
	f := newFixture(t, currentStatus)
	for range entries {
		f.requireChanges(0, 5, 2)
	}
	require.Equal(t, int64(entries-1), f.counters.Int("answers_encoded_before").Value())
	f.apply(service.TakeOut{DataCentre: "kano-b", TakenOut: true})
	for range 3 {
		f.requireChanges(0, 6, 3)
		f.requireChanges(5, 6, 1)
	}
	f.apply(service.TakeOut{DataCentre: "kano-a", TakenOut: false})
	f.requireChanges(5, 7, 2)
	f.requireChanges(6, 7, 1)
}

// Guards against changes that count as in force before the next poll of the entry confirms
// them.
func TestPropagationEndsWithTheNextPoll(t *testing.T) {
	t.Parallel()
	f := newFixture(t, currentStatus)
	poll := func(index uint64) {
		_, err := f.watch(t.Context(), &director.WatchRequest{Entry: "entry-1", Index: index})
		require.NoError(t, err)
	}
	poll(0)
	f.clock.Advance(20 * time.Millisecond)
	require.Contains(t, f.counters.Text(), "propagation_time.count 0\n")
	poll(5)
	require.Contains(t, f.counters.Text(), "propagation_time.count 1\n")
	require.Contains(t, f.counters.Text(), "propagation_time.max_ms 20")
}
