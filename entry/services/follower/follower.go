// Package follower keeps an entry's copy of the director's state up to date by
// long polls to one control replica at a time, and finds the replicas from a few
// addresses in the settings.
package follower

import (
	"context"
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
	// pollWait is how long a replica may hold a poll while nothing changes. A
	// silent connection is noticed after it and callGrace, well within the 3 s in
	// which a change must be in force.
	pollWait = 700 * time.Millisecond
	// callGrace is added to pollWait for the way there and back.
	callGrace = 600 * time.Millisecond
	// retryWait is the pause after a failed search; it doubles up to maxRetryWait.
	retryWait    = 50 * time.Millisecond
	maxRetryWait = 200 * time.Millisecond
	// updateLines is the number of lines a second about changes of the view.
	updateLines = 5
	// searchStagger is the time between the calls of a search. It covers a call
	// between data centres several times.
	searchStagger = 60 * time.Millisecond
	// searchLimit bounds a search. After it all connections are made anew, as an
	// attempt to connect is repeated only after a second.
	searchLimit = 500 * time.Millisecond
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
	name       string

	mu    sync.Mutex
	seeds []netip.AddrPort

	// replicas are those that the last answer named.
	replicas []netip.AddrPort
	// current is the replica that is followed, if any, and last the one before.
	current, last netip.AddrPort
	index         uint64
	// failures counts the searches since a replica was followed.
	failures int
	rng      *rand.Rand
	// updates limits the lines about changes of the view.
	updates *log.Gate
}

// New returns a Follower of the named entry that begins with the seeds.
func New(caller Caller, receiver Receiver, seeds []netip.AddrPort, name, dataCentre string, clock timer.Service, rng *rand.Rand, logger *slog.Logger) *Follower {
	return &Follower{caller: caller, receiver: receiver, seeds: seeds, name: name, dataCentre: dataCentre, clock: clock, rng: rng, logger: logger, updates: log.NewGate(updateLines)}
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
		if f.current.IsValid() {
			f.poll(ctx)
		} else if !f.search(ctx) {
			f.pause(ctx)
		}
	}
}

// pause waits before another search.
func (f *Follower) pause(ctx context.Context) {
	f.failures++
	wait := f.clock.Subscribe("retry of a search", min(retryWait<<min(f.failures, 4), maxRetryWait))
	defer wait.Cancel()
	select {
	case <-ctx.Done():
	case <-wait.C:
	}
}

// poll makes one long poll to the current replica.
func (f *Follower) poll(ctx context.Context) {
	replica := f.current
	call, cancel := context.WithTimeout(ctx, pollWait+callGrace)
	defer cancel()
	resp, err := f.caller.Watch(call, replica, f.request(pollWait))
	if err == nil {
		f.take(resp)
		return
	}
	if ctx.Err() != nil {
		return
	}
	f.logger.Warn("control replica lost", "replica", replica, "index", f.index, "error", err)
	f.caller.Forget(replica)
	f.last, f.current = replica, netip.AddrPort{}
}

func (f *Follower) request(wait time.Duration) *director.WatchRequest {
	return &director.WatchRequest{Index: f.index, Wait: wait, DataCentre: f.dataCentre, Entry: f.name}
}

// found is the outcome of asking one replica.
type found struct {
	replica netip.AddrPort
	resp    *director.WatchResponse
	err     error
}

// search asks the replicas one after the other without waiting for the answers of
// the earlier ones, as calls to VMs without power hang. The first that answers and
// does not lag behind this entry becomes the current one.
func (f *Follower) search(ctx context.Context) bool {
	replicas := f.candidates()
	ctx, cancel := context.WithTimeout(ctx, searchLimit)
	defer cancel()
	answers := make(chan found, len(replicas))
	req := f.request(0)
	stagger := f.clock.Subscribe("next replica of a search", searchStagger)
	defer stagger.Cancel()
	for asked, open := 0, 0; open > 0 || asked < len(replicas); {
		if asked < len(replicas) {
			replica := replicas[asked]
			asked, open = asked+1, open+1
			go func() {
				resp, err := f.caller.Watch(ctx, replica, req)
				answers <- found{replica: replica, resp: resp, err: err}
			}()
		}
		select {
		case <-ctx.Done():
			f.forget(replicas)
			return false
		case <-stagger.C:
		case a := <-answers:
			open--
			if a.err != nil {
				f.caller.Forget(a.replica)
				f.logger.Debug("control replica did not answer", "replica", a.replica, "error", a.err)
				continue
			}
			if a.resp.Index >= f.index {
				f.logger.Info("control replica followed", "replica", a.replica, "index", a.resp.Index, "searches", f.failures+1)
				f.current, f.failures = a.replica, 0
				f.take(a.resp)
				return true
			}
		}
	}
	return false
}

// forget closes the connections to replicas that have not answered, as they may
// be silent for good.
func (f *Follower) forget(replicas []netip.AddrPort) {
	for _, replica := range replicas {
		f.caller.Forget(replica)
	}
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
	if len(resp.Replicas) > 0 {
		f.replicas = resp.Replicas
	}
	if now := f.clock.Now(); len(changes) > 0 {
		if leftOut, ok := f.updates.Pass(now); ok {
			f.logger.Info("view changed", log.FieldReplica, f.current, "from", f.index, log.FieldIndex, resp.Index,
				"changes", len(changes), "complete", resp.Complete, log.FieldLeftOut, leftOut)
		}
	}
	f.index = resp.Index
	f.receiver.Update(resp.Index, changes, resp.Complete, f.clock.Now())
}

// candidates returns all replicas that are known, those that the last answer named
// before the seeds, and the one that was lost last at the end.
func (f *Follower) candidates() []netip.AddrPort {
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
