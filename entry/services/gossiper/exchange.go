package gossiper

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// maxItemsPerMessage keeps a message of an anti-entropy exchange below about 30 KB.
const maxItemsPerMessage = 256

// startSync starts an anti-entropy exchange of hashes with one random peer. In the
// steady state it takes one message, because equal hashes get no answer.
func (m *Machine) startSync() {
	if p := m.pickGossipPeer(); p != nil {
		m.counts.Syncs++
		m.sendRoots(p.Address)
	}
}

func (m *Machine) sendRoots(to netip.AddrPort) {
	members := m.memberBuckets()
	m.sendWithoutRumours(to, messenger.SyncRoots{
		Self: m.self, Members: rootHash(members[:]), Records: rootHash(m.records.buckets[:]),
	})
}

// memberBuckets returns the bucket hashes of the live members, including this entry.
func (m *Machine) memberBuckets() [memberBuckets]uint64 {
	buckets := m.hashes.buckets
	if !m.left {
		key := hasher.String(m.self.Name)
		buckets[key%memberBuckets] ^= memberValue(key, m.self.Incarnation)
	}
	return buckets
}

func rootHash(buckets []uint64) uint64 {
	buf := make([]byte, 0, 8*len(buckets))
	for _, b := range buckets {
		buf = binary.LittleEndian.AppendUint64(buf, b)
	}
	return xxhash.Sum64(buf)
}

func (m *Machine) answerRoots(msg messenger.SyncRoots) {
	if m.left || msg.Self.Region != m.self.Region {
		return
	}
	m.mergeMember(msg.Self)
	m.correctSender(msg.Self)
	members := m.memberBuckets()
	if rootHash(members[:]) == msg.Members && rootHash(m.records.buckets[:]) == msg.Records {
		return
	}
	m.sendWithoutRumours(msg.Self.Address, messenger.SyncBuckets{
		Self: m.self, Members: members[:],
		// Copied because the message is encoded after this step, when the buckets may
		// have changed.
		Records: slices.Clone(m.records.buckets[:]),
	})
}

// correctSender tells a peer that this entry considers it dead or leaving, so that the
// peer refutes this with a higher incarnation.
func (m *Machine) correctSender(sender messenger.Member) {
	if p := m.members[sender.Name]; p != nil && !p.isLive() {
		m.sendWithoutRumours(sender.Address, messenger.Rumours{Version: m.version, Members: []messenger.Member{p.rumour()}})
	}
}

func (m *Machine) answerBuckets(from string, msg messenger.SyncBuckets) {
	if len(msg.Members) != memberBuckets || len(msg.Records) != recordBuckets || msg.Self.Name != from || msg.Self.Region != m.self.Region {
		return
	}
	m.mergeMember(msg.Self)
	var pull messenger.SyncPull
	own := m.memberBuckets()
	for i, hash := range msg.Members {
		if hash != own[i] {
			pull.MemberBuckets = append(pull.MemberBuckets, uint8(i))
		}
	}
	for i, hash := range msg.Records {
		if hash != m.records.buckets[i] {
			pull.RecordBuckets = append(pull.RecordBuckets, uint8(i))
		}
	}
	pull.Members = m.memberDigests(pull.MemberBuckets)
	pull.Records = m.recordDigests(pull.RecordBuckets)
	m.sendWithoutRumours(msg.Self.Address, pull)
}

func (m *Machine) memberDigests(buckets []uint8) []messenger.ItemDigest {
	var digests []messenger.ItemDigest
	add := func(p messenger.Member) {
		key := hasher.String(p.Name)
		if slices.Contains(buckets, uint8(key%memberBuckets)) {
			digests = append(digests, messenger.ItemDigest{Key: key, Value: memberValue(key, p.Incarnation)})
		}
	}
	for _, p := range m.members {
		if p.isLive() {
			add(p.Member)
		}
	}
	if !m.left {
		add(m.self)
	}
	sortDigests(digests)
	return digests
}

func (m *Machine) recordDigests(buckets []uint8) []messenger.ItemDigest {
	var digests []messenger.ItemDigest
	for _, item := range m.records.items {
		if slices.Contains(buckets, uint8(item.key%recordBuckets)) {
			digests = append(digests, messenger.ItemDigest{Key: item.key, Value: item.value})
		}
	}
	sortDigests(digests)
	return digests
}

func sortDigests(digests []messenger.ItemDigest) {
	slices.SortFunc(digests, func(a, b messenger.ItemDigest) int { return cmp.Compare(a.Key, b.Key) })
}

// answerPull sends the items of the buckets that the peer lacks or holds in another
// version, and requests those that this entry lacks or holds in another version. On
// each side the merge order decides which version is kept.
func (m *Machine) answerPull(from string, msg messenger.SyncPull) {
	peer := m.members[from]
	if peer == nil {
		return
	}
	memberKeys, wantedMembers := compareDigests(m.memberDigests(msg.MemberBuckets), msg.Members)
	recordKeys, wantedRecords := compareDigests(m.recordDigests(msg.RecordBuckets), msg.Records)
	m.sendItems(peer.Address, m.selectMembers(memberKeys), m.selectRecords(recordKeys),
		messenger.SyncItems{WantedMembers: wantedMembers, WantedRecords: wantedRecords})
}

// compareDigests returns the keys that only own has or whose values differ, and the
// keys to request from the peer.
func compareDigests(own, theirs []messenger.ItemDigest) (send map[uint64]bool, want []uint64) {
	values := make(map[uint64]uint64, len(own))
	send = make(map[uint64]bool)
	for _, d := range own {
		values[d.Key] = d.Value
		send[d.Key] = true
	}
	for _, d := range theirs {
		if value, ok := values[d.Key]; ok && value == d.Value {
			delete(send, d.Key)
		} else {
			want = append(want, d.Key)
		}
	}
	return send, want
}

func (m *Machine) selectMembers(keys map[uint64]bool) []messenger.Member {
	var selected []messenger.Member
	for _, p := range m.members {
		// The keys may select dead or leaving members. Peers that did not know them
		// alive ignore them.
		if keys[hasher.String(p.Name)] {
			selected = append(selected, p.full())
		}
	}
	if keys[hasher.String(m.self.Name)] {
		selected = append(selected, m.self)
	}
	slices.SortFunc(selected, func(a, b messenger.Member) int { return cmp.Compare(a.Name, b.Name) })
	return selected
}

func (m *Machine) selectRecords(keys map[uint64]bool) []messenger.Record {
	var selected []messenger.Record
	for _, item := range m.records.items {
		if keys[item.key] {
			selected = append(selected, item.message(m.now))
		}
	}
	sortRecords(selected)
	return selected
}

func sortRecords(records []messenger.Record) {
	slices.SortFunc(records, func(a, b messenger.Record) int { return compareIDs(a.ID, b.ID) })
}

// sendItems sends members and records in messages of bounded size. The last message
// also carries the other fields of last.
func (m *Machine) sendItems(to netip.AddrPort, members []messenger.Member, records []messenger.Record, last messenger.SyncItems) {
	m.counts.SyncItemsSent += uint64(len(members) + len(records))
	for len(members) > maxItemsPerMessage {
		m.sendWithoutRumours(to, messenger.SyncItems{Members: members[:maxItemsPerMessage]})
		members = members[maxItemsPerMessage:]
	}
	for len(records) > maxItemsPerMessage {
		m.sendWithoutRumours(to, messenger.SyncItems{Records: records[:maxItemsPerMessage]})
		records = records[maxItemsPerMessage:]
	}
	last.Members, last.Records = members, records
	if len(members)+len(records)+len(last.WantedMembers)+len(last.WantedRecords) > 0 || last.JoinDone {
		m.sendWithoutRumours(to, last)
	}
}

func (m *Machine) acceptItems(from string, msg messenger.SyncItems) {
	for _, received := range msg.Members {
		before := len(m.rumours.items)
		if m.mergeMember(received) && (!m.joined || before >= maxSyncRumours) {
			m.rumours.remove(memberKey(received.Name))
		}
		m.correctStaleMember(from, received)
	}
	for _, record := range msg.Records {
		if m.mergeRecord(record, sourceSync) && m.joined && len(m.rumours.items) < maxSyncRumours {
			m.rumours.add(recordKey(record.ID), m.now)
		}
	}
	if msg.JoinDone {
		m.finishJoin()
	}
	m.sendWanted(from, msg)
}

// correctStaleMember tells the peer of a member's death or departure that it has
// missed.
func (m *Machine) correctStaleMember(from string, received messenger.Member) {
	known, peer := m.members[received.Name], m.members[from]
	if known == nil || peer == nil || known.isLive() || received.State >= known.State || received.Incarnation > known.Incarnation {
		return
	}
	m.sendWithoutRumours(peer.Address, messenger.Rumours{Version: m.version, Members: []messenger.Member{known.rumour()}})
}

func (m *Machine) sendWanted(from string, msg messenger.SyncItems) {
	peer := m.members[from]
	if peer == nil || len(msg.WantedMembers)+len(msg.WantedRecords) == 0 {
		return
	}
	m.sendItems(peer.Address, m.selectMembers(keySet(msg.WantedMembers)), m.selectRecords(keySet(msg.WantedRecords)), messenger.SyncItems{})
}

func keySet(keys []uint64) map[uint64]bool {
	set := make(map[uint64]bool, len(keys))
	for _, k := range keys {
		set[k] = true
	}
	return set
}
