package hedger

import (
	"net/netip"
	"time"
)

// Capacity is the number of openings that can wait at a time. At the longest delay it allows 1,700 new flows
// per second.
const Capacity = 256

// Ticket identifies a pending opening; 0 stands for none. Tickets are consecutive, so that the remainder of
// the division by Capacity is unique among pending openings.
type Ticket uint32

// Flow identifies a flow by the addresses of its caller and its route.
type Flow struct {
	Source, Destination netip.AddrPort
}

// Opening is an opening packet that has not been answered.
type Opening struct {
	Flow
	Ticket   Ticket
	OpenedAt time.Time
}

type queued struct {
	Opening
	isSettled bool
}

// queue holds the openings in the order of their time. Those that were answered stay until they are the
// oldest, which spares a search.
type queue struct {
	items [Capacity]queued
	// head is the ticket before the oldest item, tail that of the newest.
	head, tail Ticket
	// pending counts the items that are not settled.
	pending int
}

func (q *queue) at(t Ticket) *queued { return &q.items[t%Capacity] }

// push adds an opening and returns its ticket, or 0 if the queue is full.
func (q *queue) push(flow Flow, now time.Time) Ticket {
	q.dropSettled()
	if q.tail-q.head >= Capacity {
		return 0
	}
	q.tail++
	q.pending++
	*q.at(q.tail) = queued{Opening: Opening{Flow: flow, Ticket: q.tail, OpenedAt: now}}
	return q.tail
}

// settle reports whether the opening was pending, and ends that.
func (q *queue) settle(t Ticket) bool {
	item := q.at(t)
	if t == 0 || item.Ticket != t || item.isSettled {
		return false
	}
	item.isSettled = true
	q.pending--
	return true
}

// dropSettled drops the settled items before the oldest one that is not.
func (q *queue) dropSettled() {
	for q.head != q.tail && q.at(q.head+1).isSettled {
		q.head++
	}
}

// popBefore removes the oldest opening that is not settled, if it was opened at or before a time.
func (q *queue) popBefore(limit time.Time) (Opening, bool) {
	q.dropSettled()
	if q.head == q.tail {
		return Opening{}, false
	}
	oldest := q.at(q.head + 1)
	if oldest.OpenedAt.After(limit) {
		return Opening{}, false
	}
	q.settle(oldest.Ticket)
	q.head++
	return oldest.Opening, true
}
