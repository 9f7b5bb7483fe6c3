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
	passed      int
	leftOut     int
}

// NewRateLimiter returns a Gate that allows perSecond lines per second.
func NewRateLimiter(perSecond int) *RateLimiter { return &RateLimiter{perSecond: perSecond} }

// Allow reports whether a line may be written, and how many lines were suppressed
// since the last one that was allowed.
func (g *RateLimiter) Allow(now time.Time) (leftOut int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := now.Sub(g.windowStart); d < 0 || d >= time.Second {
		g.windowStart, g.passed = now, 0
	}
	if g.passed >= g.perSecond {
		g.leftOut++
		return 0, false
	}
	g.passed++
	leftOut, g.leftOut = g.leftOut, 0
	return leftOut, true
}
