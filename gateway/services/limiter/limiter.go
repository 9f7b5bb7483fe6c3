// Package limiter decides how many slots of one backend server may be used. A
// backend server that has just started, sheds requests or answers slowly is
// treated as cold and gets one slot until it has answered often enough.
package limiter

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
)

const (
	// answersPerSlot is the number of answers in a row, per slot in use, after
	// which the limit rises. It spans several service times, so that a backend
	// server that fails under load is seen before the limit rises again.
	answersPerSlot = 8
	// coldFactor is the ratio to the usual latency of the service above which a
	// backend server counts as cold, and latencyWeight the number of answers
	// that its own latency is smoothed over. With exponential service times a
	// weight of 4 took a warm backend server for cold about once in 1000 answers.
	coldFactor    = 2.5
	latencyWeight = 8
	// Pauses after a shed request at a limit of one slot.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// Limiter holds the limit of one backend server. The zero value is not usable;
// see New.
type Limiter struct {
	slots   int
	limit   int
	streak  int
	latency time.Duration
	pause   time.Duration
	until   time.Time
}

// New returns a Limiter for a backend server that has just started.
func New(slots int) Limiter { return Limiter{slots: slots, limit: 1, pause: minPause} }

// Limit returns the number of slots that may be used now: 0 during a pause.
func (l *Limiter) Limit(now time.Time) int {
	if now.Before(l.until) {
		return 0
	}
	return min(l.limit, l.slots)
}

// Observe takes results into account. The usual latency is that of the whole
// service; 0 means unknown. A shed request or a failure weighs more than any
// number of answers in the same report.
func (l *Limiter) Observe(now time.Time, report messenger.Report, usual time.Duration) {
	if report.Sheds+report.Failures > 0 {
		l.lower(now, report.Answers == 0)
		return
	}
	if report.Answers == 0 {
		return
	}
	l.pause = minPause
	mean := report.Latency / time.Duration(report.Answers)
	if l.latency == 0 {
		l.latency = mean
	}
	l.latency += (mean - l.latency) / latencyWeight
	if usual > 0 && float64(l.latency) > coldFactor*float64(usual) {
		l.limit = max(1, l.limit/2)
		l.streak = 0
		return
	}
	l.streak += report.Answers
	if l.streak >= answersPerSlot*l.limit && l.limit < l.slots {
		l.limit = min(l.slots, l.limit+max(1, l.limit/2))
		l.streak = 0
	}
}

func (l *Limiter) lower(now time.Time, nothingAnswered bool) {
	wasOne := l.limit == 1
	l.limit = max(1, l.limit/2)
	l.streak = 0
	if wasOne && nothingAnswered {
		l.until = now.Add(l.pause)
		l.pause = min(2*l.pause, maxPause)
	}
}
