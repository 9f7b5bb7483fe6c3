// Package follower keeps an entry's copy of the director's state up to date by
// long polls to one control replica at a time, and finds the replicas from a few
// addresses in the settings.
package follower

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
	// pollWait is how long a replica may hold a poll while nothing changes. A
	// silent connection is noticed after it and callGrace, well within the 3 s in
	// which a change must be in force.
	pollWait = 700 * time.Millisecond
	// callGrace is added to pollWait for the way there and back.
	callGrace = 600 * time.Millisecond
	// updateLines is the number of lines a second about changes of the view.
	updateLines = 5
	// maxAsked bounds the calls of a search that wait for answers; there are at most 7
	// replicas, and a few that were replaced.
	maxAsked = 16
	// askTimeout is how long a search waits for one replica before it asks another:
	// several round trips between data centres, and twice the time in which an entry
	// with 0.06 of a core connects.
	askTimeout = 100 * time.Millisecond
	// searchPause is the time between two calls while replicas refuse.
	searchPause = 40 * time.Millisecond
	// searchLimit bounds one call of a search. A connection may be silent for good.
	searchLimit = 600 * time.Millisecond
)

// ErrNotCurrent reports a replica that answers but may not know the newest state.
var ErrNotCurrent = errors.New("the replica is not current")

// Caller polls one replica.
type Caller interface {
	// Watch returns the changes after the request's index, or ErrNotCurrent from a
	// replica that cannot be sure of them.
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
	rng           *rand.Rand
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
		} else {
			f.search(ctx)
		}
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
	f.forgetUnlessRefused(replica, err)
	f.last, f.current = replica, netip.AddrPort{}
}

func (f *Follower) request(wait time.Duration) *director.WatchRequest {
	return &director.WatchRequest{Index: f.index, Wait: wait, DataCentre: f.dataCentre, Entry: f.name}
}

func (f *Follower) probe() *director.WatchRequest {
	return &director.WatchRequest{Index: f.index, Probe: true, DataCentre: f.dataCentre, Entry: f.name}
}

// found is the outcome of asking one replica.
type found struct {
	replica netip.AddrPort
	resp    *director.WatchResponse
	err     error
}

// search asks the replicas in turn whether they are current, and another one after
// askTimeout without an answer, as calls to VMs without power hang. It ends with the
// first that is and does not lag behind this entry, which becomes the current one.
func (f *Follower) search(ctx context.Context) {
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	// asked holds the replicas that have not answered; there is room for an answer of
	// each, so that no call outlives the search for long.
	asked := make(map[netip.AddrPort]bool)
	answers := make(chan found, maxAsked)
	var turn []netip.AddrPort
	for count := 0; ; {
		if len(turn) == 0 {
			turn = f.candidates()
		}
		if replica, rest, ok := nextIdle(turn, asked); ok && len(asked) < maxAsked {
			turn, count = rest, count+1
			asked[replica] = true
			go f.ask(calls, replica, f.probe(), answers)
		} else {
			turn = nil
		}
		if a := f.awaitTurn(ctx, asked, answers); a != nil {
			f.logger.Info("control replica followed", log.FieldReplica, a.replica, log.FieldIndex, a.resp.Index, "calls", count)
			f.current = a.replica
			f.forgetOthers()
			if a.resp.Index == f.index {
				f.take(a.resp)
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// nextIdle returns the first replica that is not asked, and those after it.
func nextIdle(turn []netip.AddrPort, asked map[netip.AddrPort]bool) (netip.AddrPort, []netip.AddrPort, bool) {
	for i, replica := range turn {
		if !asked[replica] {
			return replica, turn[i+1:], true
		}
	}
	return netip.AddrPort{}, nil, false
}

// ask makes one call of a search.
func (f *Follower) ask(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest, answers chan<- found) {
	ctx, cancel := context.WithTimeout(ctx, searchLimit)
	defer cancel()
	resp, err := f.caller.Watch(ctx, replica, req)
	answers <- found{replica: replica, resp: resp, err: err}
}

// awaitTurn waits until another replica may be asked: soon after one has refused, or
// when the last one has not answered in time. It returns the answer of a replica to
// follow, if one came.
func (f *Follower) awaitTurn(ctx context.Context, asked map[netip.AddrPort]bool, answers <-chan found) *found {
	timeout := f.clock.Subscribe("next replica of a search", askTimeout)
	defer timeout.Cancel()
	pause := f.clock.Subscribe("pause of a search", searchPause)
	defer pause.Cancel()
	mayAsk, isPaused := false, true
	for !mayAsk || isPaused {
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
			isPaused = false
		case <-timeout.C:
			mayAsk, isPaused = true, false
		case a := <-answers:
			delete(asked, a.replica)
			mayAsk = true
			switch {
			case a.err != nil:
				f.forgetUnlessRefused(a.replica, a.err)
				f.logger.Debug("control replica did not answer", log.FieldReplica, a.replica, "error", a.err)
			case a.resp.Index >= f.index:
				return &a
			}
		}
	}
	return nil
}

// forgetOthers closes the connections to the replicas that are not followed.
func (f *Follower) forgetOthers() {
	for _, replica := range f.candidates() {
		if replica != f.current {
			f.caller.Forget(replica)
		}
	}
}

// forgetUnlessRefused closes the connection to a replica that has not answered, as it
// may be silent for good.
func (f *Follower) forgetUnlessRefused(replica netip.AddrPort, err error) {
	if !errors.Is(err, ErrNotCurrent) {
		f.caller.Forget(replica)
	}
}

// take hands over an answer. A replica that lags behind this entry is ignored, so
// that the copy only moves forwards.
func (f *Follower) take(resp *director.WatchResponse) {
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
