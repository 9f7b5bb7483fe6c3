package gossiper

import (
	"container/heap"
	"math"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// rumourKey names what a rumour is about: a member, a record or the version.
type rumourKey struct {
	member string
	record announcer.ID
}

var versionKey = rumourKey{}

func memberKey(name string) rumourKey     { return rumourKey{member: name} }
func recordKey(id announcer.ID) rumourKey { return rumourKey{record: id} }
func (k rumourKey) isVersion() bool       { return k == versionKey }
func (k rumourKey) isMember() bool        { return k.member != "" }

// item is a rumour in the queue.
type item struct {
	key   rumourKey
	sent  int
	order uint64
	// size is the encoded size, 0 until it was measured.
	size int
	// index is the place in the heap.
	index int
}

// rumourQueue holds the changes that are still to be sent, least sent and then
// newest first. A rumour that was sent or heard as often as the limit is dropped.
type rumourQueue struct {
	items map[rumourKey]*item
	heap  rumourHeap
	next  uint64
}

func newRumourQueue() rumourQueue { return rumourQueue{items: make(map[rumourKey]*item)} }

// add starts or restarts the rumour of key.
func (q *rumourQueue) add(key rumourKey) {
	q.remove(key)
	q.next++
	it := &item{key: key, order: q.next}
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

// heard counts a peer that already knows the rumour like one that was told: the
// further it has spread, the less often it is repeated.
func (q *rumourQueue) heard(key rumourKey) {
	if it := q.items[key]; it != nil {
		it.sent++
		heap.Fix(&q.heap, it.index)
	}
}

// pop takes the next rumour off the heap. It must be put back or removed.
func (q *rumourQueue) pop(limit int) *item {
	for len(q.heap) > 0 {
		it := heap.Pop(&q.heap).(*item) //nolint:forcetypeassert // the heap holds nothing else
		if it.sent < limit {
			return it
		}
		delete(q.items, it.key)
	}
	return nil
}

// putBack returns popped rumours to the heap.
func (q *rumourQueue) putBack(items []*item) {
	for _, it := range items {
		if q.items[it.key] == it {
			heap.Push(&q.heap, it)
		}
	}
}

// hasNext reports whether there is a rumour to send, and drops those that were
// sent often enough.
func (q *rumourQueue) hasNext(limit int) bool {
	it := q.pop(limit)
	if it == nil {
		return false
	}
	heap.Push(&q.heap, it)
	return true
}

type rumourHeap []*item

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
	it := x.(*item) //nolint:forcetypeassert // the heap holds nothing else
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

// limit returns how often a rumour is sent among n members.
func limit(n int) int { return int(math.Ceil(3 * math.Log2(float64(n+1)))) }

// collectRumours returns the rumours for a message to the named peer, which
// first are what the peer must know about itself, and their size.
func (m *Machine) collectRumours(to string) (messenger.Rumours, int) {
	rumours := messenger.Rumours{Version: m.version, AgeSeconds: m.sentAge()}
	room, size := m.budget.room(), 0
	if p := m.members[to]; p != nil && p.State != messenger.MemberAlive {
		// A member that is suspect or dead learns it first, to refute it. This
		// is sent even without budget.
		rumours.Members = append(rumours.Members, p.rumour())
		size += encodedSize(p.rumour())
	}
	if len(m.rumours.items) == 0 {
		return rumours, size
	}
	var popped []*item
	for len(popped) < maxConsidered && room-size >= minRumourSize {
		it := m.rumours.pop(limit(m.liveCount()))
		if it == nil {
			break
		}
		popped = append(popped, it)
		if it.key.isVersion() {
			it.sent++ // The version is in every message.
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

// minRumourSize is the least size of an encoded rumour of a member.
const minRumourSize = 16

// maxConsidered bounds the rumours that are looked at for one message. A message
// has room for about 40.
const maxConsidered = 64

// appendRumour adds the rumour if it fits into room.
func (m *Machine) appendRumour(rumours *messenger.Rumours, it *item, room int) bool {
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

// spreadRumours sends one message with rumours if there are any and the budget
// allows.
func (m *Machine) spreadRumours() {
	if len(m.rumours.items) == 0 {
		return
	}
	m.budget.refill(m.now)
	if !m.budget.mayGossip() || !m.rumours.hasNext(limit(m.liveCount())) {
		return
	}
	if p := m.pickGossipPeer(); p != nil {
		m.send(p.Name, p.Address)
	}
}

// send sends messages with as many rumours as the budget allows.
func (m *Machine) send(name string, to netip.AddrPort, messages ...messenger.Message) {
	m.budget.refill(m.now)
	rumours, size := m.collectRumours(name)
	m.counts.RumourBytesSent += uint64(size)
	m.post(to, size, append(messages, rumours))
}

// sendPlain sends messages without rumours. They are sent without regard to the
// budget, but leave less of it for rumours.
func (m *Machine) sendPlain(to netip.AddrPort, messages ...messenger.Message) {
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
		return MaxRumourBytes + 1 // Never fits, so it is never sent.
	}
	return len(data)
}
