// Package hedger decides which opening packets an entry sends to a second backend server, and when. It has
// no clock and sends nothing itself.
package hedger

import (
	"errors"
	"fmt"
	"time"
)

const (
	// DefaultAfter is the default of Settings.After.
	DefaultAfter = 60 * time.Millisecond
	// MaxShare limits Settings.Share.
	MaxShare = 0.1
	// minAfter and maxDelay limit how long an opening may take before a second one is sent. Callers send a
	// copy after 200 ms, so that a second opening later than maxDelay would save little.
	minAfter = 10 * time.Millisecond
	maxDelay = 150 * time.Millisecond
	// copyDelay is the time after which callers send a copy of an opening packet.
	copyDelay = 200 * time.Millisecond
	// maxTokens limits the second openings sent at once. It covers the openings that one silent backend
	// server of 14 gets within the delay at 1,000 new flows per second.
	maxTokens = 10.0
	// maxLateShare is the share of late openings above which they are taken for a sign of load.
	maxLateShare = 1.0 / 20
	// alwaysAllowedLate is the number of late openings in the period that are no sign of load. Without it an
	// entry with fewer than 20 new flows per second could never send a second opening.
	alwaysAllowedLate = 1
	// refusalHold is how long second openings are withheld after a new flow was refused because of load.
	refusalHold = time.Second
	// maxCheckGap is the longest time between two calls of Check while an opening is pending. After a longer
	// one the process was paused, and acknowledgements may still wait in its socket.
	maxCheckGap = 30 * time.Millisecond
)

// Settings are the limits of second openings.
type Settings struct {
	// Share is the limit on second openings, as a share of new flows from 0 to MaxShare; 0 switches them off.
	Share float64
	// After is the least time from an opening packet to the second one, 10 ms to 150 ms.
	After time.Duration
}

// IsEnabled reports whether second openings may be sent at all.
func (s Settings) IsEnabled() bool { return s.Share > 0 }

// Check returns an error that names every value out of range.
func (s Settings) Check() error {
	var errs []error
	if !(s.Share >= 0 && s.Share <= MaxShare) {
		errs = append(errs, fmt.Errorf("share of second openings %g must be 0 to %g", s.Share, MaxShare))
	}
	if s.After < minAfter || s.After > maxDelay {
		errs = append(errs, fmt.Errorf("delay of second openings %s must be %s to %s", s.After, minAfter, maxDelay))
	}
	return errors.Join(errs...)
}

// Hedger keeps the openings that have not been answered, and the limits of second openings. It is not safe
// for concurrent use.
type Hedger struct {
	settings Settings
	queue    queue
	delays   delayEstimator
	// openings and late count the openings that were answered, or became late, in the last second.
	openings, late slidingCount
	tokens         float64
	// refusalHoldEnd is when the hold after a refusal ends.
	refusalHoldEnd time.Time
	checkedAt      time.Time
}

// New returns a Hedger, or an error if a setting is out of range.
func New(settings Settings) (*Hedger, error) {
	if err := settings.Check(); err != nil {
		return nil, fmt.Errorf("check the limits of second openings: %w", err)
	}
	return &Hedger{settings: settings}, nil
}

// Open records a new flow, which adds to the limit. If mayRepeat is set, its opening packet may be sent a
// second time, and Open returns a ticket, or 0 if too many are pending.
func (h *Hedger) Open(flow Flow, mayRepeat bool, now time.Time) Ticket {
	h.tokens = min(h.tokens+h.settings.Share, maxTokens)
	if !mayRepeat {
		return 0
	}
	return h.queue.push(flow, now)
}

// RecordAnswer records that the caller has acknowledged the answer to an opening packet that was sent once,
// took after it was sent. The ticket is that of Open, which may be 0.
func (h *Hedger) RecordAnswer(ticket Ticket, took time.Duration, now time.Time) {
	h.delays.add(took)
	if !h.queue.settle(ticket) && ticket != 0 {
		return // counted by NextLate
	}
	h.openings.increment(now)
	if took > h.Delay() {
		h.late.increment(now)
	}
}

// Cancel ends the wait for an answer to an opening packet whose flow has ended. Tickets that are not pending
// are ignored.
func (h *Hedger) Cancel(ticket Ticket) { h.queue.settle(ticket) }

// HasPending reports whether an opening waits for an answer or for its second packet.
func (h *Hedger) HasPending() bool { return h.queue.pending > 0 }

// Delay returns the time after which an opening is late: the 99th percentile of the opening times, within
// the limits.
func (h *Hedger) Delay() time.Duration {
	return min(max(h.delays.percentile99, h.settings.After), maxDelay)
}

// Check reports whether the openings that NextLate returns are late. They are not known to be after a pause
// of the process; the next call decides.
func (h *Hedger) Check(now time.Time) bool {
	gap := now.Sub(h.checkedAt)
	h.checkedAt = now
	return gap <= maxCheckGap
}

// NextLate removes the oldest opening from the queue if it is late, and returns it.
func (h *Hedger) NextLate(now time.Time) (Opening, bool) {
	opening, ok := h.queue.popBefore(now.Add(-h.Delay()))
	if ok {
		h.openings.increment(now)
	}
	return opening, ok
}

// Withhold returns why no second packet of a late opening may be sent now, or ReasonNone. isRotating is set if
// flows may move to other entries. It records the opening as late.
func (h *Hedger) Withhold(opening Opening, isRotating bool, now time.Time) Reason {
	openings, late := h.openings.sum(now), h.late.sum(now)
	h.late.increment(now)
	switch {
	case now.Before(h.refusalHoldEnd):
		return ReasonRefusals
	case isRotating:
		return ReasonRotation
	case now.Sub(opening.OpenedAt) >= copyDelay:
		return ReasonOverdue
	case float64(late) > max(maxLateShare*float64(openings), alwaysAllowedLate):
		return ReasonLateOpenings
	case h.delays.percentile99 > maxDelay:
		return ReasonSlowOpenings
	case h.tokens < 1:
		return ReasonLimit
	}
	return ReasonNone
}

// Spend counts a second opening against the limit.
func (h *Hedger) Spend() { h.tokens-- }

// RecordRefusal records that a new flow was refused because of load.
func (h *Hedger) RecordRefusal(now time.Time) {
	h.refusalHoldEnd = now.Add(refusalHold)
}
