package gossiper

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

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
func (q *rumourQueue) remove(k rumourKey) { delete(q.items, k) }

type item struct {
	key   rumourKey
	sent  int
	order uint64
	// size is the encoded size, 0 until it was measured.
	size int
}

// rumourQueue holds the changes that are still to be sent. A rumour that was
// sent or heard as often as the limit is dropped.
type rumourQueue struct {
	items map[rumourKey]*item
	next  uint64
}

func newRumourQueue() rumourQueue { return rumourQueue{items: make(map[rumourKey]*item)} }

// add starts or restarts the rumour of key.
func (q *rumourQueue) add(key rumourKey) {
	q.next++
	q.items[key] = &item{key: key, order: q.next}
}

// heard counts a peer that already knows the rumour like one that was told: the
// further it has spread, the less often it is repeated.
func (q *rumourQueue) heard(key rumourKey) {
	if it := q.items[key]; it != nil {
		it.sent++
	}
}

// limit returns how often a rumour is sent among n members.
func limit(n int) int { return int(math.Ceil(3 * math.Log2(float64(n+1)))) }

// pick returns the rumours to send next, least sent and then newest first.
func (q *rumourQueue) pick(limit int) []*item {
	picked := make([]*item, 0, len(q.items))
	for key, it := range q.items {
		if it.sent >= limit {
			delete(q.items, key)
			continue
		}
		picked = append(picked, it)
	}
	slices.SortFunc(picked, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.order, a.order))
	})
	return picked
}

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
	for _, it := range m.rumours.pick(limit(m.liveCount())) {
		if it.key.isVersion() {
			it.sent++
			continue
		}
		if it.key.isMember() && it.key.member == to {
			continue
		}
		if room-size < minRumourSize {
			break
		}
		if !m.appendRumour(&rumours, it, room-size) {
			continue
		}
		size += it.size
		it.sent++
		m.counts.RumoursSent++
	}
	return rumours, size
}

// minRumourSize is the least size of an encoded rumour of a member.
const minRumourSize = 16

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
	if !m.budget.mayGossip() || len(m.rumours.pick(limit(m.liveCount()))) == 0 {
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
	m.budget.take(MessageOverhead + size)
	m.counts.RumourBytesSent += uint64(size)
	m.sendPlain(to, append(messages, rumours)...)
}

// sendPlain sends messages without rumours and outside the budget.
func (m *Machine) sendPlain(to netip.AddrPort, messages ...messenger.Message) {
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
