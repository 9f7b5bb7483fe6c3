package gossiper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

const (
	memberBuckets = 16
	recordBuckets = 64
)

// source tells how a record reached this entry.
type source int

const (
	sourceLocal source = iota
	sourceRumour
	sourceSync
	sourceJoin
)

type storedRecord struct {
	record announcer.Record
	// lapsedAt is when the record lapsed, zero if it has not lapsed.
	lapsedAt time.Time
	key      uint64
	value    uint64
}

func (s *storedRecord) message(now time.Time) messenger.Record {
	msg := messenger.Record{Record: s.record}
	if !s.lapsedAt.IsZero() {
		msg.Age = max(0, now.Sub(s.lapsedAt))
	}
	return msg
}

// recordStore holds the records and, for each bucket, the XOR of the hashes of their
// versions.
type recordStore struct {
	items   map[announcer.ID]*storedRecord
	buckets [recordBuckets]uint64
}

func newRecordStore() *recordStore {
	return &recordStore{items: make(map[announcer.ID]*storedRecord)}
}

func (s *recordStore) list() []announcer.Record {
	records := make([]announcer.Record, 0, len(s.items))
	for _, item := range s.items {
		records = append(records, item.record)
	}
	slices.SortFunc(records, func(a, b announcer.Record) int { return compareIDs(a.ID, b.ID) })
	return records
}

func (s *recordStore) put(record announcer.Record, lapsedAt time.Time) {
	s.drop(record.ID)
	key := hasher.String(record.String())
	item := &storedRecord{record: record, lapsedAt: lapsedAt, key: key, value: recordValue(key, record)}
	s.items[record.ID] = item
	s.buckets[key%recordBuckets] ^= item.value
}

func (s *recordStore) drop(id announcer.ID) {
	if item, ok := s.items[id]; ok {
		s.buckets[item.key%recordBuckets] ^= item.value
		delete(s.items, id)
	}
}

func (s *recordStore) expire(now time.Time) []announcer.ID {
	var expired []announcer.ID
	for id, item := range s.items {
		if !item.lapsedAt.IsZero() && now.Sub(item.lapsedAt) > retention {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, compareIDs)
	for _, id := range expired {
		s.drop(id)
	}
	return expired
}

func recordValue(key uint64, r announcer.Record) uint64 {
	buf := make([]byte, 0, 48)
	for _, field := range []uint64{key, r.Incarnation, r.Sequence, r.Epoch} {
		buf = binary.LittleEndian.AppendUint64(buf, field)
	}
	// Entries of earlier versions know no claims, or no terms.
	if r.Claim > 0 || r.Term > 0 {
		buf = binary.LittleEndian.AppendUint64(buf, r.Claim)
	}
	if r.Term > 0 {
		buf = binary.LittleEndian.AppendUint64(buf, r.Term)
	}
	return xxhash.Sum64(buf) ^ hasher.String(r.Holder)
}

func compareIDs(a, b announcer.ID) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
}

// maxSyncRumours is the length of the rumour queue from which items of an anti-entropy
// exchange are no longer queued as rumours. After a long network partition two sides
// may differ in thousands of items. Later exchanges spread the rest without using up
// the budget.
const maxSyncRumours = 64

// mergeRecord stores the record if it is greater than the known one by its Compare
// method, and reports whether it did.
func (m *Machine) mergeRecord(received messenger.Record, from source) bool {
	if known, ok := m.records.items[received.ID]; ok {
		switch order := received.Compare(known.record); {
		case order == 0:
			m.rumours.countReceived(recordKey(received.ID))
			return false
		case order < 0:
			return false
		}
	} else if received.Age > retention {
		return false
	}
	var lapsedAt time.Time
	if received.Lapsed {
		lapsedAt = m.now.Add(-received.Age)
	}
	m.records.put(received.Record, lapsedAt)
	if from == sourceLocal || from == sourceRumour {
		m.rumours.add(recordKey(received.ID), m.now)
	}
	if from != sourceLocal {
		m.emit(RecordUpdated{Record: received.Record})
	}
	return true
}

// memberHashes holds, for each bucket, the XOR of the hashes of the live members. Dead
// and leaving members are left out because peers forget them at different times.
type memberHashes struct {
	buckets [memberBuckets]uint64
}

func (h *memberHashes) toggle(p *member) {
	if p.Incarnation != 0 && p.isLive() {
		key := hasher.String(p.Name)
		h.buckets[key%memberBuckets] ^= memberValue(key, p.Incarnation)
	}
}

func memberValue(key, incarnation uint64) uint64 { return hasher.Pair(key, incarnation) }
