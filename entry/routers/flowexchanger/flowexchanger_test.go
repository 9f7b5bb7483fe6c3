package flowexchanger

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// fixture is an Exchanger of which the test is the follower, the replica, the source and the sink.
type fixture struct {
	*Exchanger
	t     *testing.T
	added chan struct{}

	mu sync.Mutex
	// epoch is that of the replica, which has the published flows; err is its answer if it is set.
	epoch     uint64
	err       error
	published []flowsharer.HeldFlow
	own, sunk []flowsharer.HeldFlow
}

func newFixture(t *testing.T, err error) *fixture {
	t.Helper()
	f := &fixture{t: t, added: make(chan struct{}, 1), epoch: 1, err: err}
	f.Exchanger = New(Options{
		Name: "entry-1", Follower: f, Caller: f, Source: f, Sink: f, Clock: timer.NewSystem(), Counters: reporter.NewCounters(), Logger: log.Discard(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

func (f *fixture) Followed() (netip.AddrPort, bool) {
	return netip.MustParseAddrPort("10.0.0.1:1"), true
}

func (f *fixture) HeldFlowsAdded() <-chan struct{} { return f.added }

func (f *fixture) TakeHeldFlows() []flowsharer.HeldFlow {
	f.mu.Lock()
	defer f.mu.Unlock()
	flows := f.own
	f.own = nil
	return flows
}

func (f *fixture) AddHeldFlows(flows []flowsharer.HeldFlow, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sunk = append(f.sunk, flows...)
}

func (f *fixture) Publish(_ context.Context, _ netip.AddrPort, req *flowsharer.PublishRequest) (*flowsharer.PublishResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	f.published = append(f.published, req.Flows...)
	return &flowsharer.PublishResponse{Epoch: f.epoch}, nil
}

func (f *fixture) Watch(_ context.Context, _ netip.AddrPort, req *flowsharer.WatchRequest) (*flowsharer.WatchResponse, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	response := &flowsharer.WatchResponse{UpTo: flowsharer.Position{Epoch: f.epoch, Sequence: uint64(len(f.published))}}
	if req.After != response.UpTo {
		response.Flows = f.published
	}
	return response, nil
}

// open adds a flow of the entry.
func (f *fixture) open(port uint16) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own = append(f.own, flowsharer.HeldFlow{
		Source: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Destination: netip.MustParseAddrPort("198.18.0.1:443"), Token: 5,
	})
	f.added <- struct{}{}
}

// set replaces the replica by another one without flows, or by one that does not answer.
func (f *fixture) set(epoch uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch, f.err, f.published = epoch, err, nil
}

func (f *fixture) requirePublished(count int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.published) == count && len(f.sunk) >= count
	}, 10*time.Second, time.Millisecond)
}

// Guards against flows that are lost with the replica that has got them, or because one does not answer.
func TestFlowsArePublishedAgain(t *testing.T) {
	t.Parallel()
	f := newFixture(t, status.Error(codes.Unavailable, "no answer"))
	f.open(1)
	require.Eventually(t, f.HasWatched, 10*time.Second, time.Millisecond)
	f.set(1, nil)
	f.requirePublished(1)
	f.open(2)
	f.requirePublished(2)
	f.set(2, nil)
	f.requirePublished(2)
}

// Guards against an outbox that grows, and against one that repeats flows that the replica has.
func TestOutbox(t *testing.T) {
	t.Parallel()
	var o outbox
	now := time.Unix(1000, 0)
	o.add(make([]flowsharer.HeldFlow, 3), now)
	o.recordPublished(len(o.next()), 1)
	require.Empty(t, o.next())
	o.add(make([]flowsharer.HeldFlow, 2), now)
	require.Len(t, o.next(), 2)
	require.True(t, o.recordEpoch(1))
	o.recordPublished(2, 2)
	require.Len(t, o.next(), 5, "another replica has only the last flows")
	o.recordPublished(5, 2)
	require.False(t, o.recordEpoch(2))
	require.True(t, o.recordEpoch(3))
	o.add(make([]flowsharer.HeldFlow, maxOutbox+100), now)
	require.Len(t, o.items, maxOutbox)
	require.Len(t, o.next(), flowsharer.MaxFlows, "a message has no more")
	o.add(nil, now.Add(flowsharer.MaxAge+time.Second))
	require.Empty(t, o.next())
}
