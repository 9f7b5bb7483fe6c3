// Package queuer holds the requests of one service that wait for a slot: one bounded queue per
// client account, served round robin.
package queuer

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
)

// Settings limit the length of the queues.
type Settings struct {
	// PerClientAccount is the maximum number of waiting requests of one client account.
	PerClientAccount int
	// Total is the maximum number of waiting requests of the service.
	Total int
}

// Item is a waiting request.
type Item struct {
	Request       uint64
	ClientAccount string
	Deadline      time.Time
	// Arrived is when the request reached the gateway.
	Arrived time.Time
}

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	accounts map[string]*accountQueue
	// active lists the client accounts that have waiting requests, in round-robin order. The
	// first one is served next.
	active []*accountQueue
	total  int
	// startInterval is the moving average of the time between two starts while requests wait.
	startInterval time.Duration
	lastStart     time.Time
	// serviceTime is the moving average of the time that a request takes once it has started.
	serviceTime time.Duration
}

// serviceTimeMargin is the multiple of the average service time that must remain before the
// deadline when a request that has to wait is expected to start. With exponential service
// times, 1 in 20 requests takes longer. With a smaller margin, requests that start just before
// their deadline waste slots.
const serviceTimeMargin = 3

// serviceTimeWeight is the number of requests over which the service time is averaged.
const serviceTimeWeight = 64

type accountQueue struct {
	name  string
	items []Item
}

// New returns an empty Queue.
func New(settings Settings) *Queue {
	return &Queue{settings: settings, accounts: make(map[string]*accountQueue)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.total }

// Push adds a request. It returns the reason and false if the request is refused, because the
// queue is full or because the request is not expected to start early enough to complete before
// its deadline.
func (q *Queue) Push(now time.Time, item Item) (recorder.Reason, bool) {
	aq := q.accounts[item.ClientAccount]
	waiting := 0
	if aq != nil {
		waiting = len(aq.items)
	}
	if waiting >= q.settings.PerClientAccount || q.total >= q.settings.Total {
		return recorder.ReasonQueueFull, false
	}
	wait := q.ExpectedWait(item.ClientAccount)
	if wait > 0 {
		wait += min(serviceTimeMargin*q.serviceTime, item.Deadline.Sub(item.Arrived)/2)
	}
	if !now.Add(wait).Before(item.Deadline) {
		return recorder.ReasonDeadline, false
	}
	aq = q.getAccountQueue(item.ClientAccount)
	aq.items = append(aq.items, item)
	q.total++
	return "", true
}

// PushFront puts a request that was taken but could not start at the front of the queue of its
// client account, without checking the limits.
func (q *Queue) PushFront(item Item) {
	aq := q.getAccountQueue(item.ClientAccount)
	aq.items = append([]Item{item}, aq.items...)
	q.total++
}

func (q *Queue) getAccountQueue(name string) *accountQueue {
	aq := q.accounts[name]
	if aq == nil {
		aq = &accountQueue{name: name}
		q.accounts[name] = aq
		q.active = append(q.active, aq)
	}
	return aq
}

// ExpectedWait estimates the time until a new request of the client account starts. Between two
// starts of this client account, each other one gets at most one.
func (q *Queue) ExpectedWait(clientAccount string) time.Duration {
	own := 0
	if aq := q.accounts[clientAccount]; aq != nil {
		own = len(aq.items)
	}
	ahead := own
	for _, aq := range q.active {
		if aq.name != clientAccount {
			ahead += min(len(aq.items), own+1)
		}
	}
	return time.Duration(ahead) * q.startInterval
}

// ObserveServiceTime adds a measured service time to the moving average.
func (q *Queue) ObserveServiceTime(serviceTime time.Duration) {
	q.serviceTime += (serviceTime - q.serviceTime) / serviceTimeWeight
}

// isTooLate reports whether a request that starts now would most likely miss its deadline and
// waste the slot. The average service time covers all client accounts, so at most a quarter of
// the time that the caller allowed is required to remain.
func (q *Queue) isTooLate(now time.Time, item Item) bool {
	return !now.Add(min(q.serviceTime, item.Deadline.Sub(item.Arrived)/4)).Before(item.Deadline)
}

// Pop removes and returns the next request in round-robin order. Requests that are skipped
// because they are too late are returned as expired.
func (q *Queue) Pop(now time.Time) (item Item, expired []Item, ok bool) {
	for len(q.active) > 0 {
		aq := q.active[0]
		item = aq.items[0]
		q.removeFirst(aq)
		if q.isTooLate(now, item) {
			expired = append(expired, item)
			continue
		}
		q.observeStart(now)
		return item, expired, true
	}
	return Item{}, expired, false
}

// removeFirst removes the first request of aq, which must be the first active client account. It
// moves aq to the end of the order, or removes it if it is empty.
func (q *Queue) removeFirst(aq *accountQueue) {
	aq.items = aq.items[1:]
	q.total--
	q.active = q.active[1:]
	if len(aq.items) > 0 {
		q.active = append(q.active, aq)
		return
	}
	delete(q.accounts, aq.name)
}

func (q *Queue) observeStart(now time.Time) {
	if q.total > 0 && !q.lastStart.IsZero() {
		gap := min(now.Sub(q.lastStart), time.Second)
		q.startInterval += (gap - q.startInterval) / 16
	}
	if q.total == 0 {
		q.lastStart = time.Time{}
		return
	}
	q.lastStart = now
}

// Expire removes and returns the requests that are too late to start.
func (q *Queue) Expire(now time.Time) []Item {
	return q.remove(func(item Item) bool { return q.isTooLate(now, item) })
}

// Remove removes a request whose caller no longer waits. It reports whether the request was
// waiting.
func (q *Queue) Remove(request uint64) bool {
	return len(q.remove(func(item Item) bool { return item.Request == request })) > 0
}

func (q *Queue) remove(match func(Item) bool) []Item {
	var removed []Item
	active := q.active[:0:0]
	for _, aq := range q.active {
		kept := aq.items[:0:0]
		for _, item := range aq.items {
			if match(item) {
				removed = append(removed, item)
			} else {
				kept = append(kept, item)
			}
		}
		aq.items = kept
		if len(kept) == 0 {
			delete(q.accounts, aq.name)
			continue
		}
		active = append(active, aq)
	}
	q.active = active
	q.total -= len(removed)
	return removed
}
