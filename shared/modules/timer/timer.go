// Package timer provides a clock and periodic ticks. Services use a [Service]
// instead of the system clock, so that tests can control the time with a [Fake].
package timer

import (
	"sync"
	"time"
)

// Service is a clock with periodic subscriptions.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Subscribe starts a tick every period, which must be positive. A tick is dropped
	// if the subscriber has not yet received the previous one.
	Subscribe(name string, period time.Duration) *Subscription
}

// Subscription delivers ticks on C until Cancel is called.
type Subscription struct {
	// C delivers the time of each tick.
	C      <-chan time.Time
	cancel func()
}

// Cancel stops the ticks. It does not close C. Calling it again has no effect.
func (s *Subscription) Cancel() { s.cancel() }

// System is a Service on the clock of the operating system.
type System struct{}

var _ Service = System{}

// NewSystem returns a Service on the clock of the operating system.
func NewSystem() System { return System{} }

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Subscribe starts a tick every period.
func (System) Subscribe(_ string, period time.Duration) *Subscription {
	ticker := time.NewTicker(period)
	return &Subscription{C: ticker.C, cancel: ticker.Stop}
}

// Fake is a Service for tests. Its time changes only when Advance is called.
type Fake struct {
	mu   sync.Mutex
	now  time.Time
	subs map[*fakeSubscription]struct{}
}

var _ Service = (*Fake)(nil)

type fakeSubscription struct {
	ticks  chan time.Time
	period time.Duration
	next   time.Time
}

// NewFake returns a Fake whose current time is start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start, subs: make(map[*fakeSubscription]struct{})}
}

// Now returns the current fake time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Subscribe starts a tick every period of fake time.
func (f *Fake) Subscribe(_ string, period time.Duration) *Subscription {
	f.mu.Lock()
	defer f.mu.Unlock()
	sub := &fakeSubscription{ticks: make(chan time.Time, 1), period: period, next: f.now.Add(period)}
	f.subs[sub] = struct{}{}
	cancel := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subs, sub)
	}
	return &Subscription{C: sub.ticks, cancel: cancel}
}

// Advance advances the time by d and delivers the ticks that became due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for sub := range f.subs {
		for !sub.next.After(f.now) {
			select {
			case sub.ticks <- sub.next:
			default:
			}
			sub.next = sub.next.Add(sub.period)
		}
	}
}
