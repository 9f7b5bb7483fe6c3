package scheduler

import (
	"container/heap"
	"time"
)

type event struct {
	due        time.Time
	sequence   uint64
	gateway    *gateway
	generation int
	action     func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].due.Equal(q[j].due) {
		return q[i].due.Before(q[j].due)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// schedule runs an action at a process after a delay. The action is postponed while the process
// is frozen and dropped if the process has been restarted. Actions without a process run in the
// network.
func (s *simulation) schedule(delay time.Duration, g *gateway, action func()) {
	s.lastSequence++
	e := &event{due: s.now.Add(delay), sequence: s.lastSequence, gateway: g, action: action}
	if g != nil {
		e.generation = g.generation
	}
	heap.Push(&s.events, e)
}

func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].due.Before(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.due
		if g := e.gateway; g != nil {
			if g.generation != e.generation {
				continue
			}
			if s.now.Before(g.frozenUntil) {
				e.due = g.frozenUntil
				heap.Push(&s.events, e)
				continue
			}
		}
		e.action()
	}
	s.now = end
}
