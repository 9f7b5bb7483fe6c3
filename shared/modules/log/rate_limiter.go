package log

import (
	"sync"
	"time"
)

// RateLimiter limits the rate of log lines of one kind. It allows the first lines of each
// second and counts the others. Callers ask it before they format a line, so that
// suppressed lines cost little. It is safe for concurrent use.
type RateLimiter struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time
	allowed     int
	suppressed  int
}

// NewRateLimiter returns a RateLimiter that allows perSecond lines per second.
func NewRateLimiter(perSecond int) *RateLimiter { return &RateLimiter{perSecond: perSecond} }

// Allow reports whether a line may be written, and how many lines were suppressed
// since the last one that was allowed.
func (l *RateLimiter) Allow(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := now.Sub(l.windowStart); d < 0 || d >= time.Second {
		l.windowStart, l.allowed = now, 0
	}
	if l.allowed >= l.perSecond {
		l.suppressed++
		return 0, false
	}
	l.allowed++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
