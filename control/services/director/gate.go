package director

import (
	"context"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// announceTimeout bounds how long an announcement waits for the replica to become
	// current. An election and applying the log take 0.2 s to 0.4 s, and backend
	// servers try another replica after a second.
	announceTimeout = 500 * time.Millisecond
	// currentCheckPeriod is the time between two checks while announcements wait.
	currentCheckPeriod = 25 * time.Millisecond
)

// gate blocks calls until this replica is current. One goroutine checks on behalf of
// all of them.
type gate struct {
	clock timer.Service
	mu    sync.Mutex
	// becameCurrent is closed once the replica is current; nil while no call waits.
	becameCurrent chan struct{}
	// wake starts the checks of the goroutine in run.
	wake chan struct{}
}

func newGate(clock timer.Service) *gate {
	return &gate{clock: clock, wake: make(chan struct{}, 1)}
}

// wait returns nil once isCurrent returns true, ErrNoQuorum after announceTimeout, or
// the error of ctx.
func (g *gate) wait(ctx context.Context, isCurrent func() bool) error {
	if isCurrent() {
		return nil
	}
	current := g.subscribe()
	limit := g.clock.Subscribe("wait of an announcement", announceTimeout)
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

// subscribe starts the checks and returns a channel that is closed once the replica is current.
func (g *gate) subscribe() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.becameCurrent == nil {
		g.becameCurrent = make(chan struct{})
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return g.becameCurrent
}

// run checks whether the replica is current while calls wait. It returns when ctx ends.
func (g *gate) run(ctx context.Context, isCurrent func() bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
			g.openWhenCurrent(ctx, isCurrent)
		}
	}
}

// openWhenCurrent polls until the replica is current and then releases the waiting calls.
func (g *gate) openWhenCurrent(ctx context.Context, isCurrent func() bool) {
	ticks := g.clock.Subscribe("current replica", currentCheckPeriod)
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
	if g.becameCurrent != nil {
		close(g.becameCurrent)
		g.becameCurrent = nil
	}
}
