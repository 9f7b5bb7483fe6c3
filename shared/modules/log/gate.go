package log

import (
	"sync"
	"time"
)

// Gate limits the lines of one kind. It keeps the first ones of each second and
// counts the others, so that a caller builds no line that is left out. It is safe
// for concurrent use.
type Gate struct {
	perSecond int

	mu      sync.Mutex
	since   time.Time
	passed  int
	leftOut int
}

// NewGate returns a Gate for a number of lines a second.
func NewGate(perSecond int) *Gate { return &Gate{perSecond: perSecond} }

// Pass reports whether a line may be written, and how many were left out since the
// last one.
func (g *Gate) Pass(now time.Time) (leftOut int, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := now.Sub(g.since); d < 0 || d >= time.Second {
		g.since, g.passed = now, 0
	}
	if g.passed >= g.perSecond {
		g.leftOut++
		return 0, false
	}
	g.passed++
	leftOut, g.leftOut = g.leftOut, 0
	return leftOut, true
}
