package subscriber

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
)

const (
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
