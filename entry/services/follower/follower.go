// Package follower keeps an entry's copy of the director's state up to date by
// long polls to one control replica at a time, and finds the replicas from a few
// addresses in the settings.
package follower

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// pollWait is how long a replica may hold a poll while nothing changes. A
	// silent connection is noticed after it and callGrace, well within the 3 s in
	// which a change must be in force.
	pollWait = 700 * time.Millisecond
	// callGrace is added to pollWait for the way there and back.
	callGrace = 600 * time.Millisecond
	// retryWait is the pause after a failed poll; it doubles up to maxRetryWait.
	retryWait    = 50 * time.Millisecond
	maxRetryWait = 400 * time.Millisecond
)

// Caller polls one replica.
type Caller interface {
	// Watch returns the changes after the request's index.
	Watch(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest) (*director.WatchResponse, error)
	// Forget closes the connection to a replica that does not answer.
	Forget(replica netip.AddrPort)
}

// Receiver takes the changes.
type Receiver interface {
	// Update carries out changes that lead to index. With complete, they replace
	// the whole state.
	Update(index uint64, changes []director.Change, complete bool, now time.Time)
}

// Follower polls control. Run must be called once.
type Follower struct {
	caller     Caller
	receiver   Receiver
	clock      timer.Service
	logger     *slog.Logger
	dataCentre string

	mu    sync.Mutex
	seeds []netip.AddrPort

	// replicas are those that the last answer named.
	replicas []netip.AddrPort
	current  netip.AddrPort
	index    uint64
	failures int
}

// New returns a Follower that begins with the seeds.
func New(caller Caller, receiver Receiver, seeds []netip.AddrPort, dataCentre string, clock timer.Service, logger *slog.Logger) *Follower {
	return &Follower{caller: caller, receiver: receiver, seeds: seeds, dataCentre: dataCentre, clock: clock, logger: logger}
}

// SetSeeds replaces the seeds.
func (f *Follower) SetSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = slices.Clone(seeds)
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.poll(ctx) {
			continue
		}
		wait := f.clock.Subscribe("retry of a poll", min(retryWait<<min(f.failures, 4), maxRetryWait))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
		wait.Cancel()
	}
}

// poll makes one call and reports whether it succeeded.
func (f *Follower) poll(ctx context.Context) bool {
	if !f.current.IsValid() {
		f.current = f.next()
	}
	replica := f.current
	call, cancel := context.WithTimeout(ctx, pollWait+callGrace)
	defer cancel()
	resp, err := f.caller.Watch(call, replica, &director.WatchRequest{Index: f.index, Wait: pollWait, DataCentre: f.dataCentre})
	if err != nil {
		if ctx.Err() == nil && f.failures == 0 {
			f.logger.Warn("control replica lost", "replica", replica, "index", f.index, "error", err)
		}
		f.caller.Forget(replica)
		f.failures++
		f.current = f.next()
		return false
	}
	if f.failures > 0 || f.index == 0 {
		f.logger.Info("control replica followed", "replica", replica, "index", resp.Index, "failures", f.failures)
	}
	f.failures = 0
	if len(resp.Replicas) > 0 {
		f.replicas = resp.Replicas
	}
	f.take(resp)
	return true
}

// take hands over an answer. A replica that lags behind this entry is ignored, so
// that the copy only moves forwards.
func (f *Follower) take(resp *director.WatchResponse) {
	if resp.Index < f.index {
		return
	}
	changes := make([]director.Change, 0, len(resp.Changes))
	for _, body := range resp.Changes {
		change := body.Unwrap()
		if change == nil {
			f.logger.Warn("change of an unknown kind ignored; control runs a newer version", "index", resp.Index)
			continue
		}
		changes = append(changes, change)
	}
	f.index = resp.Index
	f.receiver.Update(resp.Index, changes, resp.Complete, f.clock.Now())
}

// next returns the replica after the current one, among those known and the
// seeds.
func (f *Follower) next() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.Clone(f.replicas)
	for _, seed := range f.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	if len(all) == 0 {
		return netip.AddrPort{}
	}
	return all[(slices.Index(all, f.current)+1)%len(all)]
}
