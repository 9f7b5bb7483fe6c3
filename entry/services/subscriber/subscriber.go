// Package subscriber keeps an entry's copy of the director's state up to date with long
// polls to one control replica at a time. It finds the replicas through seed addresses
// from the settings.
package subscriber

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// pollWait is how long a replica may hold a poll open while nothing changes. A
	// silent connection is detected after pollWait and roundTripAllowance, well within
	// the 3 s in which a change must be in force.
	pollWait = 700 * time.Millisecond
	// roundTripAllowance is added to pollWait for the network round trip.
	roundTripAllowance = 600 * time.Millisecond
	// updateLogsPerSecond limits the log lines about changes of the view.
	updateLogsPerSecond = 5
	// maxPendingCalls bounds the pending calls of a search. There are at most 7
	// replicas, and a few that were replaced.
	maxPendingCalls = 16
	// hedgeDelay is how long a search waits for one replica before it calls another one
	// as well: several round trips between data centres, and twice the time in which an
	// entry with 0.06 of a core connects.
	hedgeDelay = 100 * time.Millisecond
	// refusalBackoff is the time between two calls of a search while replicas refuse.
	refusalBackoff = 40 * time.Millisecond
	// searchCallTimeout bounds one call of a search, because a connection may stay
	// silent forever.
	searchCallTimeout = 600 * time.Millisecond
)

// ErrNotCurrent reports a replica that answers but may lack the newest state.
var ErrNotCurrent = errors.New("the replica is not current")

// Caller polls one replica.
type Caller interface {
	// Watch returns the changes after the request's index, or ErrNotCurrent from a
	// replica that cannot guarantee that it knows all of them.
	Watch(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest) (*director.WatchResponse, error)
	// Disconnect closes the connection to a replica that does not answer.
	Disconnect(replica netip.AddrPort)
}

// Receiver applies the changes of the state.
type Receiver interface {
	// Update applies the changes that lead to index. If complete is true, they replace
	// the whole state.
	Update(index uint64, changes []director.Change, complete bool, now time.Time)
}

// Subscriber polls control. Run must be called once.
type Subscriber struct {
	caller     Caller
	receiver   Receiver
	clock      timer.Service
	logger     *slog.Logger
	dataCentre string
	name       string

	mu    sync.Mutex
	seeds []netip.AddrPort

	// replicas are the addresses that the last response listed.
	replicas []netip.AddrPort
	// current is the replica that is polled, if any. last is the one that was polled
	// before.
	current, last netip.AddrPort
	index         uint64
	rng           *rand.Rand
	// updateLogs limits the log lines about changes of the view.
	updateLogs *log.RateLimiter
}

// New returns a Subscriber for the named entry that finds control through the seeds.
func New(caller Caller, receiver Receiver, seeds []netip.AddrPort, name, dataCentre string, clock timer.Service, rng *rand.Rand, logger *slog.Logger) *Subscriber {
	return &Subscriber{caller: caller, receiver: receiver, seeds: seeds, name: name, dataCentre: dataCentre, clock: clock, rng: rng, logger: logger, updateLogs: log.NewRateLimiter(updateLogsPerSecond)}
}

// SetSeeds replaces the seeds.
func (f *Subscriber) SetSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = slices.Clone(seeds)
}

// Run polls until ctx ends.
func (f *Subscriber) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.current.IsValid() {
			f.poll(ctx)
		} else {
			f.search(ctx)
		}
	}
}

// poll makes one long poll to the current replica.
func (f *Subscriber) poll(ctx context.Context) {
	replica := f.current
	call, cancel := context.WithTimeout(ctx, pollWait+roundTripAllowance)
	defer cancel()
	resp, err := f.caller.Watch(call, replica, f.request(pollWait))
	if err == nil {
		f.apply(resp)
		return
	}
	if ctx.Err() != nil {
		return
	}
	f.logger.Warn("control replica lost", "replica", replica, "index", f.index, "error", err)
	f.closeUnlessRefused(replica, err)
	f.last, f.current = replica, netip.AddrPort{}
}

func (f *Subscriber) request(wait time.Duration) *director.WatchRequest {
	return &director.WatchRequest{Index: f.index, Wait: wait, DataCentre: f.dataCentre, Entry: f.name}
}

func (f *Subscriber) probe() *director.WatchRequest {
	return &director.WatchRequest{Index: f.index, Probe: true, DataCentre: f.dataCentre, Entry: f.name}
}

// searchResult is the outcome of one call of a search.
type searchResult struct {
	replica netip.AddrPort
	resp    *director.WatchResponse
	err     error
}

// search calls the replicas one after another and makes the first one current that
// answers as current and does not lag behind this entry. It calls another replica after
// hedgeDelay without an answer, because calls to VMs that are switched off hang.
func (f *Subscriber) search(ctx context.Context) {
	searchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// pending holds the replicas that have not answered. The channel has room for an
	// answer from each, so that no call outlives the search for long.
	pending := make(map[netip.AddrPort]bool)
	answers := make(chan searchResult, maxPendingCalls)
	var queue []netip.AddrPort
	for calls := 0; ; {
		if len(queue) == 0 {
			queue = f.candidates()
		}
		if replica, rest, ok := nextNotPending(queue, pending); ok && len(pending) < maxPendingCalls {
			queue, calls = rest, calls+1
			pending[replica] = true
			go f.ask(searchCtx, replica, f.probe(), answers)
		} else {
			queue = nil
		}
		if a := f.awaitAnswer(ctx, pending, answers); a != nil {
			f.logger.Info("control replica followed", log.FieldReplica, a.replica, log.FieldIndex, a.resp.Index, "calls", calls)
			f.current = a.replica
			f.closeOthers()
			if a.resp.Index == f.index {
				f.apply(a.resp)
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// nextNotPending returns the first replica without a pending call, and those after it.
func nextNotPending(queue []netip.AddrPort, pending map[netip.AddrPort]bool) (netip.AddrPort, []netip.AddrPort, bool) {
	for i, replica := range queue {
		if !pending[replica] {
			return replica, queue[i+1:], true
		}
	}
	return netip.AddrPort{}, nil, false
}

// ask makes one call of a search and sends the result to answers.
func (f *Subscriber) ask(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest, answers chan<- searchResult) {
	ctx, cancel := context.WithTimeout(ctx, searchCallTimeout)
	defer cancel()
	resp, err := f.caller.Watch(ctx, replica, req)
	answers <- searchResult{replica: replica, resp: resp, err: err}
}

// awaitAnswer waits until another replica may be called: refusalBackoff after the last
// call if a call has ended, or else hedgeDelay after it. It returns the result of a
// replica to follow, if there is one.
func (f *Subscriber) awaitAnswer(ctx context.Context, pending map[netip.AddrPort]bool, answers <-chan searchResult) *searchResult {
	timeout := f.clock.Subscribe("next replica of a search", hedgeDelay)
	defer timeout.Cancel()
	backoff := f.clock.Subscribe("pause of a search", refusalBackoff)
	defer backoff.Cancel()
	mayCallNext, isBackingOff := false, true
	for !mayCallNext || isBackingOff {
		select {
		case <-ctx.Done():
			return nil
		case <-backoff.C:
			isBackingOff = false
		case <-timeout.C:
			mayCallNext, isBackingOff = true, false
		case a := <-answers:
			delete(pending, a.replica)
			mayCallNext = true
			switch {
			case a.err != nil:
				f.closeUnlessRefused(a.replica, a.err)
				f.logger.Debug("control replica did not answer", log.FieldReplica, a.replica, "error", a.err)
			case a.resp.Index >= f.index:
				return &a
			}
		}
	}
	return nil
}

// closeOthers closes the connections to all replicas except the current one.
func (f *Subscriber) closeOthers() {
	for _, replica := range f.candidates() {
		if replica != f.current {
			f.caller.Disconnect(replica)
		}
	}
}

// closeUnlessRefused closes the connection to a replica that has not answered, because
// it may stay silent forever.
func (f *Subscriber) closeUnlessRefused(replica netip.AddrPort, err error) {
	if !errors.Is(err, ErrNotCurrent) {
		f.caller.Disconnect(replica)
	}
}

// apply passes the changes of a response to the receiver. A response that lags behind
// this entry is ignored, so that the copy never goes back.
func (f *Subscriber) apply(resp *director.WatchResponse) {
	if resp.Index < f.index {
		return
	}
	changes, unknown, err := resp.Changes.Decode()
	if err != nil {
		f.logger.Error("answer of a replica cannot be read; asking another one", log.FieldReplica, f.current, log.FieldIndex, resp.Index, log.FieldError, err)
		f.last, f.current = f.current, netip.AddrPort{}
		return
	}
	if unknown > 0 {
		f.logger.Warn("changes of an unknown kind ignored; control runs a newer version", "count", unknown, log.FieldIndex, resp.Index)
	}
	if len(resp.Replicas) > 0 {
		f.replicas = resp.Replicas
	}
	if now := f.clock.Now(); len(changes) > 0 {
		if leftOut, ok := f.updateLogs.Allow(now); ok {
			f.logger.Info("view changed", log.FieldReplica, f.current, "from", f.index, log.FieldIndex, resp.Index,
				"changes", len(changes), "complete", resp.Complete, log.FieldLeftOut, leftOut)
		}
	}
	f.index = resp.Index
	f.receiver.Update(resp.Index, changes, resp.Complete, f.clock.Now())
}

// candidates returns all known replicas and seeds in random order, with the replica
// that was lost last at the end.
func (f *Subscriber) candidates() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.Clone(f.replicas)
	for _, seed := range f.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	f.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, f.last); i >= 0 {
		all = append(slices.Delete(all, i, i+1), f.last)
	}
	return all
}
