package log

import (
	"sync"
	"time"
)

// Gate limits the rate of log lines of one kind. It allows the first lines of each
// second and counts the others. Callers ask it before they format a line, so that
// suppressed lines cost little. It is safe for concurrent use.
type Gate struct {
	perSecond int

	mu          sync.Mutex
	windowStart time.Time
	passed      int
	leftOut     int
}

// NewGate returns a Gate that allows perSecond lines per second.
func NewGate(perSecond int) *Gate { return &Gate{perSecond: perSecond} }

// Pass reports whether a line may be written, and how many lines were suppressed
// since the last one that was allowed.
func (g *Gate) Pass(now time.Time) (leftOut int, ok bool) {
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
