// Package queuer holds the requests of one service that wait for a slot: one
// bounded queue per member, served round robin.
package queuer

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
)

// Settings bound the queues.
type Settings struct {
	// PerMember is the greatest number of waiting requests of one member.
	PerMember int
	// Total is the greatest number of waiting requests of the service.
	Total int
}

// Item is a waiting request.
type Item struct {
	Request  uint64
	Member   string
	Deadline time.Time
	// Arrived is when the request reached the gateway.
	Arrived time.Time
}

// Queue holds the waiting requests of one service. It is not safe for
// concurrent use.
type Queue struct {
	settings Settings
	members  map[string]*memberQueue
	// ring has the members with waiting requests, next the first.
	ring  []*memberQueue
	total int
	// interval is the smoothed time between two starts while requests waited.
	interval  time.Duration
	lastStart time.Time
	// run is the smoothed time that a request takes once it has started.
	run time.Duration
}

// runWeight is the number of requests that the time of a run is smoothed over.
const runWeight = 64

type memberQueue struct {
	name  string
	items []Item
}

// New returns an empty Queue.
func New(settings Settings) *Queue {
	return &Queue{settings: settings, members: make(map[string]*memberQueue)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.total }

// Push adds a request. It returns a reason if the request is refused: its queue
// is full, or it is not expected to start before its deadline.
func (q *Queue) Push(now time.Time, item Item) (recorder.Reason, bool) {
	m := q.members[item.Member]
	waiting := 0
	if m != nil {
		waiting = len(m.items)
	}
	if waiting >= q.settings.PerMember || q.total >= q.settings.Total {
		return recorder.ReasonQueueFull, false
	}
	if !now.Add(q.ExpectedWait(item.Member) + q.run).Before(item.Deadline) {
		return recorder.ReasonDeadline, false
	}
	m = q.member(item.Member)
	m.items = append(m.items, item)
	q.total++
	return "", true
}

// PushFront returns a request that was taken but could not start.
func (q *Queue) PushFront(item Item) {
	m := q.member(item.Member)
	m.items = append([]Item{item}, m.items...)
	q.total++
}

func (q *Queue) member(name string) *memberQueue {
	m := q.members[name]
	if m == nil {
		m = &memberQueue{name: name}
		q.members[name] = m
		q.ring = append(q.ring, m)
	}
	return m
}

// ExpectedWait estimates the time until a new request of the member starts. The
// other members get at most one start each between two of this member.
func (q *Queue) ExpectedWait(member string) time.Duration {
	own := 0
	if m := q.members[member]; m != nil {
		own = len(m.items)
	}
	ahead := own
	for _, m := range q.ring {
		if m.name != member {
			ahead += min(len(m.items), own+1)
		}
	}
	return time.Duration(ahead) * q.interval
}

// ObserveRun takes the time that a request took once started into account.
func (q *Queue) ObserveRun(run time.Duration) { q.run += (run - q.run) / runWeight }

// isLate reports whether a request that starts now would most likely not
// complete before its deadline; it would waste a slot.
func (q *Queue) isLate(now time.Time, item Item) bool { return !now.Add(q.run).Before(item.Deadline) }

// Pop takes the next request in turn. Requests that are too late are returned
// as expired.
func (q *Queue) Pop(now time.Time) (item Item, expired []Item, ok bool) {
	for len(q.ring) > 0 {
		m := q.ring[0]
		item = m.items[0]
		q.removeFirst(m)
		if q.isLate(now, item) {
			expired = append(expired, item)
			continue
		}
		q.observeStart(now)
		return item, expired, true
	}
	return Item{}, expired, false
}

// removeFirst removes the first request of the first member and ends its turn.
func (q *Queue) removeFirst(m *memberQueue) {
	m.items = m.items[1:]
	q.total--
	q.ring = q.ring[1:]
	if len(m.items) > 0 {
		q.ring = append(q.ring, m)
		return
	}
	delete(q.members, m.name)
}

func (q *Queue) observeStart(now time.Time) {
	if q.total > 0 && !q.lastStart.IsZero() {
		gap := min(now.Sub(q.lastStart), time.Second)
		q.interval += (gap - q.interval) / 16
	}
	if q.total == 0 {
		q.lastStart = time.Time{}
		return
	}
	q.lastStart = now
}

// Expire removes the requests that are too late.
func (q *Queue) Expire(now time.Time) []Item {
	return q.remove(func(item Item) bool { return q.isLate(now, item) })
}

// Remove removes a request whose caller has gone. It reports whether the
// request was waiting.
func (q *Queue) Remove(request uint64) bool {
	return len(q.remove(func(item Item) bool { return item.Request == request })) > 0
}

func (q *Queue) remove(match func(Item) bool) []Item {
	var removed []Item
	ring := q.ring[:0:0]
	for _, m := range q.ring {
		kept := m.items[:0:0]
		for _, item := range m.items {
			if match(item) {
				removed = append(removed, item)
			} else {
				kept = append(kept, item)
			}
		}
		m.items = kept
		if len(kept) == 0 {
			delete(q.members, m.name)
			continue
		}
		ring = append(ring, m)
	}
	q.ring = ring
	q.total -= len(removed)
	return removed
}
