// Package flowexchanger publishes which backend servers hold the flows of an entry whose tokens may name another one,
// and hands on what other entries have published. Both go through the control replica that the entry follows.
package flowexchanger

import (
	"context"
	"expvar"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// publishTimeout bounds a call that publishes flows, and watchAllowance is added to the wait of a long poll.
	publishTimeout = 300 * time.Millisecond
	watchAllowance = 600 * time.Millisecond
	// pause is the time between two polls if there are flows, and before a call that has failed is repeated.
	// Two pauses and the calls fit into the time for which a stopping entry goes on.
	pause = 100 * time.Millisecond
	// publishPause is the time between two calls that publish flows, so that many which open at the same time take
	// few calls.
	publishPause = 20 * time.Millisecond
	// spreadTime is the time in which a flow that is published at one replica has reached all others.
	spreadTime = 5 * time.Second
	// unknownServicePause is the time until a replica of an earlier version is asked again.
	unknownServicePause = 5 * time.Second
	// failureLogPeriod is the time between two log lines about failures.
	failureLogPeriod = time.Minute
)

// Source has the flows of this entry.
type Source interface {
	// TakeHeldFlows returns flows that have not been returned before.
	TakeHeldFlows() []flowsharer.HeldFlow
	// HeldFlowsAdded delivers a value when there are flows to take.
	HeldFlowsAdded() <-chan struct{}
}

// Sink takes the flows of all entries.
type Sink interface {
	AddHeldFlows(flows []flowsharer.HeldFlow, now time.Time)
}

// Follower knows the replica that the entry follows. It is safe for concurrent use.
type Follower interface {
	Followed() (netip.AddrPort, bool)
}

// Options configure an Exchanger.
type Options struct {
	// Name is that of the entry.
	Name     string
	Follower Follower
	Caller   Caller
	Source   Source
	Sink     Sink
	Clock    timer.Service
	Counters *reporter.Counters
	Logger   *slog.Logger
}

// Exchanger exchanges held flows. Run must be called once.
type Exchanger struct {
	options Options
	outbox  outbox
	// republish delivers a value when a replica lacks flows that were published before.
	republish chan struct{}
	// hasWatched is set once a replica has answered, or has failed to.
	hasWatched atomic.Bool

	published, received, failed *expvar.Int

	// mu guards loggedAt, the time of the last log line about a failure.
	mu       sync.Mutex
	loggedAt time.Time
}

// New returns an Exchanger that does nothing until Run.
func New(options Options) *Exchanger {
	return &Exchanger{
		options: options, republish: make(chan struct{}, 1), published: options.Counters.Int("held_flows_published"),
		received: options.Counters.Int("held_flows_received"), failed: options.Counters.Int("held_flows_calls_failed"),
	}
}

// HasWatched reports whether the flows that were published before this entry started have arrived, or cannot be had.
func (e *Exchanger) HasWatched() bool { return e.hasWatched.Load() }

// Run exchanges flows until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { e.publishAll(ctx) })
	e.watch(ctx)
	running.Wait()
}

func (e *Exchanger) publishAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.options.Source.HeldFlowsAdded():
			e.outbox.add(e.options.Source.TakeHeldFlows(), e.options.Clock.Now())
		case <-e.republish:
		}
		for ctx.Err() == nil {
			flows := e.outbox.next()
			if len(flows) == 0 {
				break
			}
			if err := e.publish(ctx, flows); err != nil {
				e.wait(ctx, pauseAfter(err))
				continue
			}
			e.wait(ctx, publishPause)
		}
	}
}

// publish sends flows to the replica that the entry follows.
func (e *Exchanger) publish(ctx context.Context, flows []flowsharer.HeldFlow) error {
	replica, err := e.followed()
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	response, err := e.options.Caller.Publish(call, replica, &flowsharer.PublishRequest{Entry: e.options.Name, Flows: flows})
	if err != nil {
		e.recordFailure(ctx, replica, err)
		return err
	}
	e.published.Add(int64(len(flows)))
	e.outbox.recordPublished(len(flows), response.Epoch)
	return nil
}

// followed returns the replica that the entry follows, or an error if it searches one.
func (e *Exchanger) followed() (netip.AddrPort, error) {
	replica, ok := e.options.Follower.Followed()
	if !ok {
		return replica, status.Error(codes.Unavailable, "no control replica is followed")
	}
	return replica, nil
}

// watch hands on what the replicas have until ctx ends.
func (e *Exchanger) watch(ctx context.Context) {
	var reached flowsharer.Position
	var reachedAt time.Time
	for ctx.Err() == nil {
		replica, err := e.followed()
		if err != nil {
			e.wait(ctx, pause)
			continue
		}
		req := &flowsharer.WatchRequest{After: reached, Wait: flowsharer.MaxWait}
		if !reachedAt.IsZero() {
			req.Within = e.options.Clock.Now().Sub(reachedAt) + spreadTime
		}
		response, err := e.poll(ctx, replica, req)
		if err != nil || response.IsLast() {
			e.hasWatched.Store(true)
		}
		if err != nil {
			e.recordFailure(ctx, replica, err)
			e.wait(ctx, pauseAfter(err))
			continue
		}
		reached, reachedAt = response.UpTo, e.options.Clock.Now()
		if e.outbox.recordEpoch(reached.Epoch) {
			select {
			case e.republish <- struct{}{}:
			default:
			}
		}
		if len(response.Flows) > 0 {
			e.received.Add(int64(len(response.Flows)))
			e.options.Sink.AddHeldFlows(response.Flows, e.options.Clock.Now())
			e.wait(ctx, pause)
		}
	}
}

func (e *Exchanger) poll(ctx context.Context, replica netip.AddrPort, req *flowsharer.WatchRequest) (*flowsharer.WatchResponse, error) {
	call, cancel := context.WithTimeout(ctx, flowsharer.MaxWait+watchAllowance)
	defer cancel()
	response, err := e.options.Caller.Watch(call, replica, req)
	if err != nil {
		return nil, err
	}
	return response, response.Check()
}

func pauseAfter(err error) time.Duration {
	if status.Code(err) == codes.Unimplemented {
		return unknownServicePause
	}
	return pause
}

func (e *Exchanger) wait(ctx context.Context, d time.Duration) {
	end := e.options.Clock.Subscribe("pause of the flow exchange", d)
	defer end.Cancel()
	select {
	case <-ctx.Done():
	case <-end.C:
	}
}

// recordFailure counts a failed call and logs it at most once in failureLogPeriod.
func (e *Exchanger) recordFailure(ctx context.Context, replica netip.AddrPort, err error) {
	if ctx.Err() != nil {
		return
	}
	e.failed.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	if !e.loggedAt.IsZero() && now.Sub(e.loggedAt) < failureLogPeriod {
		return
	}
	e.loggedAt = now
	e.options.Logger.Warn("flow exchange failed; flows whose token names another backend server may be lost with this entry",
		log.FieldReplica, replica, log.FieldError, err)
}
