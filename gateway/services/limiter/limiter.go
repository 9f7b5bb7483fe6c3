// Package limiter limits how many slots of one backend server may be used. A
// backend server that has just started is cold and gets one slot; the limit
// rises with its answers. It is halved, down to one slot, when the backend
// server sheds requests, fails or answers slowly.
package limiter

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
)

const (
	// answersPerSlotToRaise is the number of consecutive answers per slot of the
	// limit after which the limit rises. They take several service times, so that
	// a backend server that fails under load is detected before the limit rises
	// again.
	answersPerSlotToRaise = 8
	// coldFactor is the ratio of a backend server's latency to the usual latency
	// of the service above which the backend server counts as cold.
	// latencySmoothing is the number of answers that its latency is averaged
	// over. With exponential service times, a value of 4 misjudged a warm backend
	// server as cold about once in 1000 answers.
	coldFactor       = 2.5
	latencySmoothing = 8
	// The backoff is the time without slots after a report of shed or failed
	// requests, and no answers, at a limit of one slot. It doubles from minBackoff
	// to maxBackoff with each such report, until a report has only answers.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Limiter holds the limit of one backend server. The zero value is not usable;
// see New.
type Limiter struct {
	slots              int
	limit              int
	consecutiveAnswers int
	smoothedLatency    time.Duration
	// unanswered is the time of cancelled attempts since the last answer.
	unanswered   time.Duration
	backoff      time.Duration
	backoffUntil time.Time
}

// New returns a Limiter for a backend server that has just started.
func New(slots int) Limiter { return Limiter{slots: slots, limit: 1, backoff: minBackoff} }

// Limit returns the number of slots that may be used now: 0 during a backoff.
func (l *Limiter) Limit(now time.Time) int {
	if now.Before(l.backoffUntil) {
		return 0
	}
	return min(l.limit, l.slots)
}

// Observe adapts the limit to reported results. serviceLatency is the usual
// latency of the whole service; 0 means unknown. A shed request or a failure
// outweighs any number of answers in the same report.
func (l *Limiter) Observe(now time.Time, report messenger.Report, serviceLatency time.Duration) {
	if report.Sheds+report.Failures > 0 {
		l.decrease(now, report.Answers == 0)
		return
	}
	if report.Answers == 0 && report.Latency == 0 {
		return
	}
	smoothed := l.observeLatency(report)
	if serviceLatency > 0 && float64(smoothed) > coldFactor*float64(serviceLatency) {
		l.limit = max(1, l.limit/2)
		l.consecutiveAnswers = 0
		return
	}
	l.consecutiveAnswers += report.Answers
	if l.consecutiveAnswers >= answersPerSlotToRaise*l.limit && l.limit < l.slots {
		l.limit = min(l.slots, l.limit+max(1, l.limit/2))
		l.consecutiveAnswers = 0
	}
}

// observeLatency adds a report without failures to the average latency, and returns the average.
// The time of cancelled attempts counts towards the next answer: leaving it out would hide a slow
// backend server. While no answer arrives, the returned average includes it for the time being.
func (l *Limiter) observeLatency(report messenger.Report) time.Duration {
	l.unanswered += report.Latency
	mean := l.unanswered / time.Duration(max(1, report.Answers))
	smoothed := l.smoothedLatency + (mean-l.smoothedLatency)/latencySmoothing
	if l.smoothedLatency == 0 {
		smoothed = mean
	}
	if report.Answers > 0 {
		l.smoothedLatency, l.unanswered, l.backoff = smoothed, 0, minBackoff
	}
	return smoothed
}

func (l *Limiter) decrease(now time.Time, noAnswers bool) {
	wasAtMinimum := l.limit == 1
	l.limit = max(1, l.limit/2)
	l.consecutiveAnswers = 0
	if wasAtMinimum && noAnswers {
		l.backoffUntil = now.Add(l.backoff)
		l.backoff = min(2*l.backoff, maxBackoff)
	}
}
