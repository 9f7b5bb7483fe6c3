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
