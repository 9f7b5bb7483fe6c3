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

	// mu guards seeds, and the writes of current, which Followed reads.
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
func (s *Subscriber) SetSeeds(seeds []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = slices.Clone(seeds)
}

// Followed returns the replica that is polled; false if a search is under way. It is safe for
// concurrent use.
func (s *Subscriber) Followed() (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.current.IsValid()
}

// setCurrent sets the replica that is polled. An invalid address starts a search.
func (s *Subscriber) setCurrent(replica netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = replica
}

// Run polls until ctx ends.
func (s *Subscriber) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.current.IsValid() {
			s.poll(ctx)
		} else {
			s.search(ctx)
		}
	}
}

// poll makes one long poll to the current replica.
func (s *Subscriber) poll(ctx context.Context) {
	replica := s.current
	call, cancel := context.WithTimeout(ctx, pollWait+roundTripAllowance)
	defer cancel()
	resp, err := s.caller.Watch(call, replica, s.request(pollWait))
	if err == nil {
		s.apply(resp)
		return
	}
	if ctx.Err() != nil {
		return
	}
	s.logger.Warn("control replica lost", "replica", replica, "index", s.index, "error", err)
	s.closeUnlessRefused(replica, err)
	s.last = replica
	s.setCurrent(netip.AddrPort{})
}

func (s *Subscriber) request(wait time.Duration) *director.WatchRequest {
	return &director.WatchRequest{Index: s.index, Wait: wait, DataCentre: s.dataCentre, Entry: s.name}
}

func (s *Subscriber) probe() *director.WatchRequest {
	return &director.WatchRequest{Index: s.index, Probe: true, DataCentre: s.dataCentre, Entry: s.name}
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
func (s *Subscriber) search(ctx context.Context) {
	searchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// pending holds the replicas that have not answered. The channel has room for an
	// answer from each, so that no call outlives the search for long.
	pending := make(map[netip.AddrPort]bool)
	answers := make(chan searchResult, maxPendingCalls)
	var queue []netip.AddrPort
	for calls := 0; ; {
		if len(queue) == 0 {
			queue = s.candidates()
		}
		if replica, rest, ok := nextNotPending(queue, pending); ok && len(pending) < maxPendingCalls {
			queue, calls = rest, calls+1
			pending[replica] = true
			go s.ask(searchCtx, replica, s.probe(), answers)
		} else {
			queue = nil
		}
		if a := s.awaitAnswer(ctx, pending, answers); a != nil {
			s.logger.Info("control replica followed", log.FieldReplica, a.replica, log.FieldIndex, a.resp.Index, "calls", calls)
			s.setCurrent(a.replica)
			s.closeOthers()
			if a.resp.Index == s.index {
				s.apply(a.resp)
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
func (s *Subscriber) ask(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest, answers chan<- searchResult) {
	ctx, cancel := context.WithTimeout(ctx, searchCallTimeout)
	defer cancel()
	resp, err := s.caller.Watch(ctx, replica, req)
	answers <- searchResult{replica: replica, resp: resp, err: err}
}

// awaitAnswer waits until another replica may be called: refusalBackoff after the last
// call if a call has ended, or else hedgeDelay after it. It returns the result of a
// replica to follow, if there is one.
func (s *Subscriber) awaitAnswer(ctx context.Context, pending map[netip.AddrPort]bool, answers <-chan searchResult) *searchResult {
	timeout := s.clock.Subscribe("next replica of a search", hedgeDelay)
	defer timeout.Cancel()
	backoff := s.clock.Subscribe("pause of a search", refusalBackoff)
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
				s.closeUnlessRefused(a.replica, a.err)
				s.logger.Debug("control replica did not answer", log.FieldReplica, a.replica, "error", a.err)
			case a.resp.Index >= s.index:
				return &a
			}
		}
	}
	return nil
}

// closeOthers closes the connections to all replicas except the current one.
func (s *Subscriber) closeOthers() {
	for _, replica := range s.candidates() {
		if replica != s.current {
			s.caller.Disconnect(replica)
		}
	}
}

// closeUnlessRefused closes the connection to a replica that has not answered, because
// it may stay silent forever.
func (s *Subscriber) closeUnlessRefused(replica netip.AddrPort, err error) {
	if !errors.Is(err, ErrNotCurrent) {
		s.caller.Disconnect(replica)
	}
}

// apply passes the changes of a response to the receiver. A response that lags behind
// this entry is ignored, so that the copy never goes back.
func (s *Subscriber) apply(resp *director.WatchResponse) {
	if resp.Index < s.index {
		return
	}
	changes, unknown, err := resp.Changes.Decode()
	if err != nil {
		s.logger.Error("answer of a replica cannot be read; asking another one", log.FieldReplica, s.current, log.FieldIndex, resp.Index, log.FieldError, err)
		s.last = s.current
		s.setCurrent(netip.AddrPort{})
		return
	}
	if unknown > 0 {
		s.logger.Warn("changes of an unknown kind ignored; control runs a newer version", "count", unknown, log.FieldIndex, resp.Index)
	}
	if len(resp.Replicas) > 0 {
		s.replicas = resp.Replicas
	}
	if now := s.clock.Now(); len(changes) > 0 {
		if leftOut, ok := s.updateLogs.Allow(now); ok {
			s.logger.Info("view changed", log.FieldReplica, s.current, "from", s.index, log.FieldIndex, resp.Index,
				"changes", len(changes), "complete", resp.Complete, log.FieldLeftOut, leftOut)
		}
	}
	s.index = resp.Index
	s.receiver.Update(resp.Index, changes, resp.Complete, s.clock.Now())
}

// candidates returns all known replicas and seeds in random order, with the replica
// that was lost last at the end.
func (s *Subscriber) candidates() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Clone(s.replicas)
	for _, seed := range s.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	if i := slices.Index(all, s.last); i >= 0 {
		all = append(slices.Delete(all, i, i+1), s.last)
	}
	return all
}
