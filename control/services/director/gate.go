package director

import (
	"context"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// announceWait is how long an announcement waits for a replica to become
	// current: an election and the application of the log take 0.2 s to 0.4 s, and
	// backend servers turn to another replica after a second.
	announceWait = 500 * time.Millisecond
	// currentPeriod is the time between two checks while announcements wait.
	currentPeriod = 25 * time.Millisecond
)

// gate lets calls wait until this replica is current. One goroutine checks for all.
type gate struct {
	clock timer.Service
	mu    sync.Mutex
	// waiting is closed when the replica has become current; nil while nothing waits.
	waiting chan struct{}
	// wanted wakes the goroutine that checks.
	wanted chan struct{}
}

func newGate(clock timer.Service) *gate {
	return &gate{clock: clock, wanted: make(chan struct{}, 1)}
}

// await returns once isCurrent holds, or ErrNoQuorum after announceWait, or the error
// of ctx.
func (g *gate) await(ctx context.Context, isCurrent func() bool) error {
	if isCurrent() {
		return nil
	}
	current := g.join()
	limit := g.clock.Subscribe("wait of an announcement", announceWait)
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
func (g *gate) join() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting == nil {
		g.waiting = make(chan struct{})
	}
	select {
	case g.wanted <- struct{}{}:
	default:
	}
	return g.waiting
}

// run checks whether the replica is current while calls wait, until ctx ends.
func (g *gate) run(ctx context.Context, isCurrent func() bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wanted:
			g.open(ctx, isCurrent)
		}
	}
}

// open returns once the replica is current, and lets those that wait go on.
func (g *gate) open(ctx context.Context, isCurrent func() bool) {
	ticks := g.clock.Subscribe("current replica", currentPeriod)
	defer ticks.Cancel()
	for !isCurrent() {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting != nil {
		close(g.waiting)
		g.waiting = nil
	}
}
