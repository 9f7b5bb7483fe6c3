package director

import (
	"context"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// announcePatience is how long an announcement waits for a replica to become
	// current: an election and the application of the log take 0.2 s to 0.4 s, and
	// backend servers turn to another replica after a second.
	announcePatience = 500 * time.Millisecond
	// currentPeriod is the time between two looks while announcements wait.
	currentPeriod = 25 * time.Millisecond
)

// patience lets calls wait until this replica is current, with one look for all.
type patience struct {
	clock timer.Service
	mu    sync.Mutex
	// waiting is closed when the replica has become current; nil while nothing waits.
	waiting chan struct{}
	// wanted wakes the duty that looks.
	wanted chan struct{}
}

func newPatience(clock timer.Service) *patience {
	return &patience{clock: clock, wanted: make(chan struct{}, 1)}
}

// await returns once isCurrent holds, or ErrNoQuorum after announcePatience, or the error
// of ctx.
func (p *patience) await(ctx context.Context, isCurrent func() bool) error {
	if isCurrent() {
		return nil
	}
	current := p.join()
	limit := p.clock.Subscribe("patience of an announcement", announcePatience)
	defer limit.Cancel()
	select {
	case <-current:
		return nil
	case <-limit.C:
		return replicator.ErrNoQuorum{Reason: "this replica hears no leader with a majority, or has not caught up with it"}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns a channel that is closed when the replica has become current.
func (p *patience) join() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(chan struct{})
	}
	select {
	case p.wanted <- struct{}{}:
	default:
	}
	return p.waiting
}

// run looks whether the replica is current while calls wait, until ctx ends.
func (p *patience) run(ctx context.Context, isCurrent func() bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wanted:
			p.look(ctx, isCurrent)
		}
	}
}

// look returns once the replica is current and those that wait are told.
func (p *patience) look(ctx context.Context, isCurrent func() bool) {
	ticks := p.clock.Subscribe("current replica", currentPeriod)
	defer ticks.Cancel()
	for !isCurrent() {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting != nil {
		close(p.waiting)
		p.waiting = nil
	}
}
