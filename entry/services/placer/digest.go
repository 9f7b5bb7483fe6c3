package placer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
)

// digestItem is a flow listed in a digest, or a former target of a contested bucket.
type digestItem struct {
	// key is the result of exceptionKey. For a former target it is the bucket.
	key            uint64
	target         uint32
	isUDP          bool
	isFormerTarget bool
}

// compare sorts items by the groups of a digest.
func (i digestItem) compare(other digestItem) int {
	if c := cmp.Compare(allocator.Bucket(i.key), allocator.Bucket(other.key)); c != 0 {
		return c
	}
	if i.isFormerTarget != other.isFormerTarget || i.isUDP != other.isUDP {
		return cmp.Compare(i.kind(), other.kind())
	}
	return cmp.Or(cmp.Compare(i.target, other.target), cmp.Compare(i.key, other.key))
}

func (i digestItem) kind() int {
	switch {
	case i.isFormerTarget:
		return 0
	case i.isUDP:
		return 1
	default:
		return 2
	}
}

func (i digestItem) isSameGroup(other digestItem) bool {
	return !i.isFormerTarget && !other.isFormerTarget && i.isUDP == other.isUDP && i.target == other.target &&
		allocator.Bucket(i.key) == allocator.Bucket(other.key)
}

const (
	groupHeaderBytes = 4
	// maxGroupFlows is the greatest value of the count byte of a group.
	maxGroupFlows = 255
	// maxPartBytes keeps a part under about 1,200 bytes on the wire.
	maxPartBytes = 1000
)

// makeParts encodes items as the parts of a digest. It returns at least one part.
func (m *Machine) makeParts(header messenger.Digest, items []digestItem) []messenger.Digest {
	slices.SortFunc(items, digestItem.compare)
	items = slices.Compact(items)
	parts, items := m.makeBitmapParts(header, items)
	var enc encoder
	finish := func() {
		part := header
		part.Part, part.Targets, part.Groups = uint16(len(parts)), enc.targets, enc.encoded
		parts = append(parts, part)
		enc = encoder{}
	}
	for i := 0; i < len(items); {
		if len(enc.encoded)+9*len(enc.targets) > maxPartBytes-groupHeaderBytes-9-4 {
			finish()
		}
		position, ok := enc.targetPosition(m.backends[items[i].target].hash)
		if !ok {
			finish()
			continue
		}
		i += enc.addGroup(position, items[i:])
	}
	finish()
	parts[len(parts)-1].IsLast = true
	return parts
}

// addGroup encodes the leading items that share a group and returns their number.
func (enc *encoder) addGroup(position byte, items []digestItem) int {
	first := items[0]
	enc.encoded = binary.BigEndian.AppendUint16(enc.encoded, allocator.Bucket(first.key))
	if first.isUDP {
		position |= udpBit
	}
	enc.encoded = append(enc.encoded, position, 0)
	if first.isFormerTarget {
		return 1
	}
	count, n := len(enc.encoded)-1, 0
	for n < len(items) && n < maxGroupFlows && len(enc.encoded) < maxPartBytes && items[n].isSameGroup(first) {
		enc.encoded = binary.BigEndian.AppendUint32(enc.encoded, uint32(items[n].key>>32))
		n++
	}
	enc.encoded[count] = byte(n)
	return n
}

// eachItem calls f for each item of a part. It stops at the first malformed group.
func (m *Machine) eachItem(part messenger.Digest, f func(digestItem)) {
	m.eachBitmapItem(part, f)
	groups := part.Groups
	for len(groups) >= groupHeaderBytes {
		bucket := binary.BigEndian.Uint16(groups)
		position, count := groups[2], int(groups[3])
		groups = groups[groupHeaderBytes:]
		i := int(position &^ udpBit)
		if i >= len(part.Targets) || bucket >= allocator.Buckets || len(groups) < 4*count {
			return
		}
		target, ok := m.internHash(part.Targets[i])
		if !ok {
			return
		}
		item := digestItem{
			key: uint64(bucket), target: target,
			isUDP: position&udpBit != 0, isFormerTarget: count == 0,
		}
		if item.isFormerTarget {
			f(item)
		}
		for ; count > 0; count-- {
			item.key = uint64(binary.BigEndian.Uint32(groups))<<32 | uint64(bucket)
			groups = groups[4:]
			f(item)
		}
	}
}

// outbox queues the digests for one peer, which are sent one part at a time.
type outbox struct {
	streams  []outgoingDigest
	part     int
	sentAt   time.Time
	attempts int
	isSent   bool
}

type outgoingDigest struct {
	service uint16
	phase   messenger.Phase
	parts   []messenger.Digest
	// wasReady is set if the peer was ready when the digest was made.
	wasReady bool
}

func (o *outbox) pop() {
	o.streams = o.streams[1:]
	o.part, o.attempts, o.isSent = 0, 0, false
}

// publish queues a digest for each of the given peers.
func (m *Machine) publish(svc *service, to []uint16, phase messenger.Phase, items []digestItem) {
	m.nextStream++
	parts := m.makeParts(messenger.Digest{
		Service: svc.hash, Version: svc.round.version, Stream: m.nextStream, Phase: phase,
	}, items)
	for _, i := range to {
		e := &m.entries[i]
		e.outbox.streams = append(e.outbox.streams, outgoingDigest{
			service: svc.index, phase: phase, parts: parts, wasReady: e.isReady,
		})
	}
}

// cancelDigests removes the queued digests of a round that ends early. An entry that is starting
// still gets their items: they may be known to all other entries by now, and no later digest lists
// them again.
func (m *Machine) cancelDigests(svc *service) {
	for i := range m.entries {
		o := &m.entries[i].outbox
		kept := o.streams[:0:0]
		for n, s := range o.streams {
			isOfRound := s.service == svc.index && s.phase != messenger.PhaseTransfer && s.phase != messenger.PhaseUnsolicited
			if isOfRound && (s.wasReady || s.phase == messenger.PhaseComplete) {
				if n == 0 {
					o.part, o.attempts, o.isSent = 0, 0, false
				}
				continue
			}
			if isOfRound {
				s.phase = messenger.PhaseUnsolicited
			}
			kept = append(kept, s)
		}
		o.streams = kept
	}
}

const (
	// digestResendInterval doubles with each attempt, at most maxResendBackoffShift times.
	digestResendInterval  = time.Second
	maxResendBackoffShift = 3
)

// sendDigests sends the parts that are due, within the digest budget.
func (m *Machine) sendDigests() {
	for range m.entries {
		m.lastPeer = (m.lastPeer + 1) % len(m.entries)
		o := &m.entries[m.lastPeer].outbox
		if len(o.streams) == 0 ||
			(o.isSent && m.now.Sub(o.sentAt) < digestResendInterval<<min(o.attempts-1, maxResendBackoffShift)) {
			continue
		}
		if !m.digestTokens.allows(m.now) {
			// Start with this peer on the next call.
			m.lastPeer = (m.lastPeer + len(m.entries) - 1) % len(m.entries)
			return
		}
		part := o.streams[0].parts[o.part]
		part.Phase = o.streams[0].phase
		o.sentAt, o.isSent = m.now, true
		o.attempts++
		m.digestTokens.spend(messageOverhead + 25 + 9*len(part.Targets) + len(part.Groups) + len(part.Bitmaps))
		m.send(uint16(m.lastPeer), part)
	}
}

func (m *Machine) receiveDigestAck(from uint16, msg messenger.DigestAck) {
	o := &m.entries[from].outbox
	if len(o.streams) == 0 || o.streams[0].parts[0].Stream != msg.Stream || o.part != int(msg.Part) {
		return
	}
	o.part++
	o.attempts, o.isSent = 0, false
	if o.part == len(o.streams[0].parts) {
		o.pop()
	}
}

func (m *Machine) acknowledge(to uint16, part messenger.Digest) {
	m.digestTokens.spend(messageOverhead)
	m.send(to, messenger.DigestAck{Stream: part.Stream, Part: part.Part})
}

func (m *Machine) findService(hash uint64) *service {
	for _, svc := range m.services {
		if svc.hash == hash {
			return svc
		}
	}
	return nil
}

// receiveDigest applies the items of a part. The sender retransmits a part that is not
// acknowledged.
func (m *Machine) receiveDigest(from uint16, part messenger.Digest) {
	svc := m.findService(part.Service)
	if svc == nil || part.Phase >= messenger.Phases || !slices.Contains(svc.members, from) {
		return
	}
	switch {
	case part.Phase == messenger.PhaseUnsolicited:
		m.addItems(svc, part, 0)
	case part.Phase == messenger.PhaseTransfer:
		if m.mode == modeStarting && !m.start.hasRequestedTransfer {
			return
		}
		m.receiveTransfer(from, svc, part)
	case m.mode != modeReady:
		m.addItems(svc, part, 0)
	case !m.receiveRound(from, svc, part):
		return
	}
	m.acknowledge(from, part)
}

func (m *Machine) addItems(svc *service, part messenger.Digest, round uint32) {
	m.eachItem(part, func(item digestItem) {
		if !item.isFormerTarget {
			m.addException(svc, item, round)
		}
	})
}
