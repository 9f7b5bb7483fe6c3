package gossiper

import (
	"container/heap"
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// rumourKey identifies the subject of a rumour: a member, a record or, if zero, the
// configuration version.
type rumourKey struct {
	member string
	record announcer.ID
}

var versionKey = rumourKey{}

func memberKey(name string) rumourKey     { return rumourKey{member: name} }
func recordKey(id announcer.ID) rumourKey { return rumourKey{record: id} }
func (k rumourKey) isVersion() bool       { return k == versionKey }
func (k rumourKey) isMember() bool        { return k.member != "" }

// rumourTTL is how long a rumour is retransmitted at most. After thousands of changes
// at once, the budget would make retransmissions last over 30 min although all members
// have the rumours after 1 min. Anti-entropy exchanges deliver what is still missing.
const rumourTTL = 2 * time.Minute

// queuedRumour is a rumour in a rumourQueue.
type queuedRumour struct {
	key   rumourKey
	sent  int
	order uint64
	// size is the encoded size in bytes, 0 until it is computed.
	size  int
	until time.Time
	// index is the position in the heap, -1 if it was taken off.
	index int
}

// rumourQueue holds the changes that are still to be sent, those sent least often first
// and then the newest first. A rumour is dropped once it has been sent or received as
// often as the retransmit limit.
type rumourQueue struct {
	items map[rumourKey]*queuedRumour
	heap  rumourHeap
	next  uint64
}

func newRumourQueue() rumourQueue { return rumourQueue{items: make(map[rumourKey]*queuedRumour)} }

// add queues the rumour of key. If it is queued already, it starts again.
func (q *rumourQueue) add(key rumourKey, now time.Time) {
	q.remove(key)
	q.next++
	it := &queuedRumour{key: key, order: q.next, until: now.Add(rumourTTL)}
	q.items[key] = it
	heap.Push(&q.heap, it)
}

func (q *rumourQueue) remove(key rumourKey) {
	if it := q.items[key]; it != nil {
		delete(q.items, key)
		if it.index >= 0 {
			heap.Remove(&q.heap, it.index)
		}
	}
}

// countReceived counts a rumour received from a peer like one sent: the more peers know
// it, the less often it is retransmitted.
func (q *rumourQueue) countReceived(key rumourKey) {
	if it := q.items[key]; it != nil {
		it.sent++
		heap.Fix(&q.heap, it.index)
	}
}

// pop takes the next rumour off the heap and drops those at the limit or past their
// TTL. The rumour must be put back or removed.
func (q *rumourQueue) pop(limit int, now time.Time) *queuedRumour {
	for len(q.heap) > 0 {
		it := heap.Pop(&q.heap).(*queuedRumour) //nolint:forcetypeassert // the heap holds nothing else
		if it.sent < limit && now.Before(it.until) {
			return it
		}
		delete(q.items, it.key)
	}
	return nil
}

// putBack returns popped rumours to the heap, unless they were removed or replaced.
func (q *rumourQueue) putBack(items []*queuedRumour) {
	for _, it := range items {
		if q.items[it.key] == it {
			heap.Push(&q.heap, it)
		}
	}
}

// hasNext reports whether there is a rumour to send. It drops those found at the limit
// or past their TTL.
func (q *rumourQueue) hasNext(limit int, now time.Time) bool {
	it := q.pop(limit, now)
	if it == nil {
		return false
	}
	heap.Push(&q.heap, it)
	return true
}

type rumourHeap []*queuedRumour

func (h rumourHeap) Len() int { return len(h) }
func (h rumourHeap) Less(i, j int) bool {
	return h[i].sent < h[j].sent || (h[i].sent == h[j].sent && h[i].order > h[j].order)
}

func (h rumourHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a rumour for container/heap.
func (h *rumourHeap) Push(x any) {
	it := x.(*queuedRumour) //nolint:forcetypeassert // the heap holds nothing else
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop removes the last rumour for container/heap.
func (h *rumourHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

// retransmitLimit returns how often a rumour is sent among n members.
func retransmitLimit(n int) int { return int(math.Ceil(3 * math.Log2(float64(n+1)))) }

// collectRumours returns the rumours for a message to the named peer, and their encoded
// size. What the peer must know about itself comes first.
func (m *Machine) collectRumours(to string) (messenger.Rumours, int) {
	rumours := messenger.Rumours{Version: m.version, AgeSeconds: m.confirmationAge()}
	room, size := m.budget.room(), 0
	if p := m.members[to]; p != nil && p.State != messenger.MemberAlive {
		// A peer that is suspect or dead is told so first, so that it can refute it.
		// This is sent even without budget.
		rumours.Members = append(rumours.Members, p.rumour())
		size += encodedSize(p.rumour())
	}
	if len(m.rumours.items) == 0 {
		return rumours, size
	}
	var popped []*queuedRumour
	for len(popped) < maxRumoursExamined && room-size >= minRumourSize {
		it := m.rumours.pop(retransmitLimit(m.liveCount()), m.now)
		if it == nil {
			break
		}
		popped = append(popped, it)
		if it.key.isVersion() {
			it.sent++ // Every message carries the version.
			continue
		}
		if (it.key.isMember() && it.key.member == to) || !m.appendRumour(&rumours, it, room-size) {
			continue
		}
		size += it.size
		it.sent++
		m.counts.RumoursSent++
	}
	m.rumours.putBack(popped)
	return rumours, size
}

// minRumourSize is the minimum encoded size of a rumour about a member.
const minRumourSize = 16

// maxRumoursExamined bounds the rumours examined for one message. A message has room
// for about 40.
const maxRumoursExamined = 64

// appendRumour adds the rumour if it fits into room.
func (m *Machine) appendRumour(rumours *messenger.Rumours, it *queuedRumour, room int) bool {
	if it.key.isMember() {
		rumour, ok := m.memberRumour(it.key.member)
		if !ok {
			m.rumours.remove(it.key)
			return false
		}
		if it.size == 0 {
			it.size = encodedSize(rumour)
		}
		if it.size > room {
			return false
		}
		rumours.Members = append(rumours.Members, rumour)
		return true
	}
	stored, ok := m.records.items[it.key.record]
	if !ok {
		m.rumours.remove(it.key)
		return false
	}
	record := stored.message(m.now)
	if it.size == 0 {
		it.size = encodedSize(record)
	}
	if it.size > room {
		return false
	}
	rumours.Records = append(rumours.Records, record)
	return true
}

func (m *Machine) memberRumour(name string) (messenger.Member, bool) {
	if name == m.self.Name {
		return m.self, true
	}
	p, ok := m.members[name]
	if !ok {
		return messenger.Member{}, false
	}
	return p.rumour(), true
}

// spreadRumours sends one message with rumours to a random peer, if there are rumours
// and the budget allows it.
func (m *Machine) spreadRumours() {
	if len(m.rumours.items) == 0 {
		return
	}
	m.budget.refill(m.now)
	if !m.budget.mayGossip() || !m.rumours.hasNext(retransmitLimit(m.liveCount()), m.now) {
		return
	}
	if p := m.pickGossipPeer(); p != nil {
		m.send(p.Name, p.Address)
	}
}

// send sends messages to the named peer, with as many rumours as the budget allows.
func (m *Machine) send(name string, to netip.AddrPort, messages ...messenger.Message) {
	m.budget.refill(m.now)
	rumours, size := m.collectRumours(name)
	m.counts.RumourBytesSent += uint64(size)
	m.post(to, size, append(messages, rumours))
}

// sendWithoutRumours sends messages without rumours. They are sent even without budget,
// but leave less of it for rumours.
func (m *Machine) sendWithoutRumours(to netip.AddrPort, messages ...messenger.Message) {
	size := 0
	for _, msg := range messages {
		switch msg := msg.(type) {
		case messenger.SyncBuckets, messenger.SyncPull, messenger.SyncItems:
			size += encodedSize(msg)
		}
	}
	m.budget.refill(m.now)
	m.post(to, size, messages)
}

func (m *Machine) post(to netip.AddrPort, size int, messages []messenger.Message) {
	m.budget.take(MessageOverhead + envelopeBytes + size)
	m.counts.MessagesSent++
	m.emit(Send{To: to, Envelope: messenger.Envelope{From: m.self.Name, Incarnation: m.self.Incarnation, Messages: messages}})
}

func encodedSize(v any) int {
	data, err := cbor.Marshal(v)
	if err != nil {
		return MaxRumourBytes + 1 // Too large for any message, so it is never sent.
	}
	return len(data)
}
