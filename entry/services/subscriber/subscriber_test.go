package subscriber_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/subscriber"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

var (
	replicaA = netip.MustParseAddrPort("10.0.0.1:1")
	replicaB = netip.MustParseAddrPort("10.0.0.2:1")
)

var errDown = errors.New("the replica is down")

// replicas is a Caller whose replicas answer with the functions in answer. It is safe
// for concurrent use.
type replicas struct {
	mu     sync.Mutex
	answer map[netip.AddrPort]func(ctx context.Context, req *director.WatchRequest) (*director.WatchResponse, error)
}

func (r *replicas) Watch(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest) (*director.WatchResponse, error) {
	r.mu.Lock()
	answer := r.answer[replica]
	r.mu.Unlock()
	return answer(ctx, req)
}

func (r *replicas) Disconnect(netip.AddrPort) {}

func (r *replicas) set(replica netip.AddrPort, answer func(ctx context.Context, req *director.WatchRequest) (*director.WatchResponse, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer[replica] = answer
}

// at returns a function that answers with an index: at once if the entry lacks it, and
// otherwise after the wait of the request.
func at(index uint64) func(ctx context.Context, req *director.WatchRequest) (*director.WatchResponse, error) {
	return func(ctx context.Context, req *director.WatchRequest) (*director.WatchResponse, error) {
		if req.Probe {
			return &director.WatchResponse{Index: index, Replicas: []netip.AddrPort{replicaA, replicaB}}, nil
		}
		if req.Index >= index {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(req.Wait):
			}
		}
		return &director.WatchResponse{Index: index, Complete: req.Index == 0, Replicas: []netip.AddrPort{replicaA, replicaB}}, nil
	}
}

func hang(ctx context.Context, _ *director.WatchRequest) (*director.WatchResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func refuse(context.Context, *director.WatchRequest) (*director.WatchResponse, error) {
	return nil, errDown
}

// view records the indexes of the updates.
type view struct {
	mu      sync.Mutex
	indexes []uint64
}

func (v *view) Update(index uint64, _ []director.Change, _ bool, _ time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.indexes = append(v.indexes, index)
}

func (v *view) last() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.indexes) == 0 {
		return 0
	}
	return v.indexes[len(v.indexes)-1]
}

func start(t *testing.T, r *replicas) *view {
	t.Helper()
	v, _ := startSubscriber(t, r)
	return v
}

func startSubscriber(t *testing.T, r *replicas) (*view, *subscriber.Subscriber) {
	t.Helper()
	v := new(view)
	f := subscriber.New(r, v, []netip.AddrPort{replicaA, replicaB}, "entry-1", "kano-a", timer.NewSystem(), rand.New(rand.NewPCG(1, 1)), log.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return v, f
}

func requireFollowed(t *testing.T, v *view, index uint64, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return v.last() >= index }, within, 5*time.Millisecond)
}

// Guards against an entry that waits for a VM that is switched off while another
// replica would answer. Whichever is called first, the view must arrive within 0.4 s.
func TestSearchDoesNotWaitForDeadReplica(t *testing.T) {
	t.Parallel()
	for _, dead := range []netip.AddrPort{replicaA, replicaB} {
		t.Run(dead.String(), func(t *testing.T) {
			t.Parallel()
			r := &replicas{answer: map[netip.AddrPort]func(context.Context, *director.WatchRequest) (*director.WatchResponse, error){replicaA: at(7), replicaB: at(7)}}
			r.set(dead, hang)
			requireFollowed(t, start(t, r), 7, 400*time.Millisecond)
		})
	}
}

// Guards against a change that is not in force within 3 s because the connection to the
// current replica has become silent.
func TestSilentReplicaIsReplacedInTime(t *testing.T) {
	t.Parallel()
	r := &replicas{answer: map[netip.AddrPort]func(context.Context, *director.WatchRequest) (*director.WatchResponse, error){replicaA: at(7), replicaB: refuse}}
	v := start(t, r)
	requireFollowed(t, v, 7, time.Second)
	r.set(replicaB, at(8))
	r.set(replicaA, hang)
	requireFollowed(t, v, 8, 3*time.Second)
}

// Guards against a view that goes back when an entry switches to a replica that lags.
func TestViewNeverGoesBack(t *testing.T) {
	t.Parallel()
	r := &replicas{answer: map[netip.AddrPort]func(context.Context, *director.WatchRequest) (*director.WatchResponse, error){replicaA: at(9), replicaB: refuse}}
	v := start(t, r)
	requireFollowed(t, v, 9, time.Second)
	r.set(replicaB, at(5))
	r.set(replicaA, refuse)
	time.Sleep(300 * time.Millisecond)
	r.set(replicaA, at(12))
	requireFollowed(t, v, 12, 2*time.Second)
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := 1; i < len(v.indexes); i++ {
		require.GreaterOrEqual(t, v.indexes[i], v.indexes[i-1])
	}
}

// Guards against a search that waits for all of its calls although none can succeed:
// all replicas restart, one refuses until there is a leader, and one hangs. The view
// must arrive within a few calls after a replica becomes current.
func TestSearchFindsReplicaSoonAfterElection(t *testing.T) {
	t.Parallel()
	r := &replicas{answer: map[netip.AddrPort]func(context.Context, *director.WatchRequest) (*director.WatchResponse, error){replicaA: hang, replicaB: refuse}}
	v := start(t, r)
	time.Sleep(150 * time.Millisecond)
	require.Zero(t, v.last())
	r.set(replicaB, at(7))
	requireFollowed(t, v, 7, 200*time.Millisecond)
}

// Guards against calls of other parts to a replica that the entry no longer follows. They ask while
// the subscriber runs, which the race detector checks.
func TestFollowedReplicaIsKnown(t *testing.T) {
	t.Parallel()
	r := &replicas{answer: map[netip.AddrPort]func(context.Context, *director.WatchRequest) (*director.WatchResponse, error){replicaA: at(7), replicaB: refuse}}
	_, s := startSubscriber(t, r)
	for _, expected := range []netip.AddrPort{replicaA, {}} {
		require.Eventually(t, func() bool {
			replica, ok := s.Followed()
			return replica == expected && ok == expected.IsValid()
		}, 3*time.Second, time.Millisecond)
		r.set(replicaA, refuse)
	}
}
