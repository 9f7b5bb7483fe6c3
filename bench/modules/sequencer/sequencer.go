// Package sequencer runs events in the order of their virtual times.
package sequencer

import (
	"container/heap"
	"time"
)

// Sequencer runs events. Events of equal time run in the order in which they were
// added, so that equal seeds give equal runs.
type Sequencer struct {
	now    time.Time
	events events
	order  int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

// New returns a Sequencer without events. Its time starts in November 2023.
func New() *Sequencer { return &Sequencer{now: time.Unix(1_700_000_000, 0)} }

// Now returns the virtual time.
func (s *Sequencer) Now() time.Time { return s.now }

// After adds an event that runs once the virtual time has advanced by d.
func (s *Sequencer) After(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, run: run})
}

// Run advances the time by d and runs the events due by then, including those that they add.
func (s *Sequencer) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event) //nolint:forcetypeassert // the heap holds nothing else
		s.now = e.at
		e.run()
	}
	s.now = end
}

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time, and events of equal time in the order in which they were added.
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) } //nolint:forcetypeassert // see Pop

// Pop removes the last event for container/heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
