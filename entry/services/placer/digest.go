package placer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/tabler"
)

// digestLine is a flow of a digest, or a former target of a contested bucket.
type digestLine struct {
	// key is as from exceptionKey.
	key      uint64
	target   uint32
	isUDP    bool
	isFormer bool
}

// compare orders lines into the groups of a digest.
func (l digestLine) compare(other digestLine) int {
	if c := cmp.Compare(tabler.Bucket(l.key), tabler.Bucket(other.key)); c != 0 {
		return c
	}
	if l.isFormer != other.isFormer || l.isUDP != other.isUDP {
		return cmp.Compare(l.kind(), other.kind())
	}
	return cmp.Or(cmp.Compare(l.target, other.target), cmp.Compare(l.key, other.key))
}

func (l digestLine) kind() int {
	switch {
	case l.isFormer:
		return 0
	case l.isUDP:
		return 1
	default:
		return 2
	}
}

func (l digestLine) isSameGroup(other digestLine) bool {
	return !l.isFormer && !other.isFormer && l.isUDP == other.isUDP && l.target == other.target &&
		tabler.Bucket(l.key) == tabler.Bucket(other.key)
}

const (
	groupHeader = 4
	// maxGroupLines is what the count byte can state.
	maxGroupLines = 255
	// partBytes keeps a part under about 1,200 bytes on the wire.
	partBytes = 1000
)

// makeParts packs lines into the parts of a digest. There is at least one.
func (m *Machine) makeParts(head messenger.Digest, lines []digestLine) []messenger.Digest {
	slices.SortFunc(lines, digestLine.compare)
	lines = slices.Compact(lines)
	var parts []messenger.Digest
	var p packer
	finish := func() {
		part := head
		part.Part, part.Targets, part.Groups = uint16(len(parts)), p.targets, p.lines
		parts = append(parts, part)
		p = packer{}
	}
	for i := 0; i < len(lines); {
		if len(p.lines)+9*len(p.targets) > partBytes-groupHeader-9-4 {
			finish()
		}
		position, ok := p.position(m.backends[lines[i].target].hash)
		if !ok {
			finish()
			continue
		}
		i += p.addGroup(position, lines[i:])
	}
	finish()
	parts[len(parts)-1].IsLast = true
	return parts
}

// addGroup packs the first lines that share a group and returns their number.
func (p *packer) addGroup(position byte, lines []digestLine) int {
	first := lines[0]
	p.lines = binary.BigEndian.AppendUint16(p.lines, tabler.Bucket(first.key))
	if first.isUDP {
		position |= udpBit
	}
	p.lines = append(p.lines, position, 0)
	if first.isFormer {
		return 1
	}
	count, n := len(p.lines)-1, 0
	for n < len(lines) && n < maxGroupLines && len(p.lines) < partBytes && lines[n].isSameGroup(first) {
		p.lines = binary.BigEndian.AppendUint32(p.lines, uint32(lines[n].key>>32))
		n++
	}
	p.lines[count] = byte(n)
	return n
}

// eachLine calls f for each line of a part. It stops at malformed groups.
func (m *Machine) eachLine(part messenger.Digest, f func(digestLine)) {
	groups := part.Groups
	for len(groups) >= groupHeader {
		bucket := binary.BigEndian.Uint16(groups)
		position, count := groups[2], int(groups[3])
		groups = groups[groupHeader:]
		i := int(position &^ udpBit)
		if i >= len(part.Targets) || bucket >= tabler.Buckets || len(groups) < 4*count {
			return
		}
		target, ok := m.internHash(part.Targets[i])
		if !ok {
			return
		}
		line := digestLine{
			key: uint64(bucket), target: target,
			isUDP: position&udpBit != 0, isFormer: count == 0,
		}
		if line.isFormer {
			f(line)
		}
		for ; count > 0; count-- {
			line.key = uint64(binary.BigEndian.Uint32(groups))<<32 | uint64(bucket)
			groups = groups[4:]
			f(line)
		}
	}
}

// outbox holds the digests on their way to one peer, one part at a time.
type outbox struct {
	streams []outgoing
	part    int
	sentAt  time.Time
	tries   int
	isSent  bool
}

type outgoing struct {
	service uint16
	phase   messenger.Phase
	parts   []messenger.Digest
	// wasReady is set if the peer was ready when the digest was made.
	wasReady bool
}

func (o *outbox) pop() {
	o.streams = o.streams[1:]
	o.part, o.tries, o.isSent = 0, 0, false
}

// publish sends a digest to a peer.
func (m *Machine) publish(svc *service, to []uint16, phase messenger.Phase, lines []digestLine) {
	m.nextStream++
	parts := m.makeParts(messenger.Digest{
		Service: svc.hash, Version: svc.round.version, Stream: m.nextStream, Phase: phase,
	}, lines)
	for _, i := range to {
		e := &m.entries[i]
		e.outbox.streams = append(e.outbox.streams, outgoing{
			service: svc.index, phase: phase, parts: parts, wasReady: e.isReady,
		})
	}
}

// withdraw takes back the digests of a round that ends early. A starting entry still
// gets the lines: they may be common knowledge by now, and are not listed again.
func (m *Machine) withdraw(svc *service) {
	for i := range m.entries {
		o := &m.entries[i].outbox
		kept := o.streams[:0:0]
		for n, s := range o.streams {
			isOfRound := s.service == svc.index && s.phase != messenger.PhaseTransfer && s.phase != messenger.PhaseFacts
			if isOfRound && (s.wasReady || s.phase == messenger.PhaseInformed) {
				if n == 0 {
					o.part, o.tries, o.isSent = 0, 0, false
				}
				continue
			}
			if isOfRound {
				s.phase = messenger.PhaseFacts
			}
			kept = append(kept, s)
		}
		o.streams = kept
	}
}

const (
	// resendAfter is doubled with each try up to maxResendShift times.
	resendAfter    = time.Second
	maxResendShift = 3
)

// sendDigests sends the parts that are due, as far as the budget allows.
func (m *Machine) sendDigests() {
	for range m.entries {
		m.nextPeer = (m.nextPeer + 1) % len(m.entries)
		o := &m.entries[m.nextPeer].outbox
		if len(o.streams) == 0 ||
			(o.isSent && m.now.Sub(o.sentAt) < resendAfter<<min(o.tries-1, maxResendShift)) {
			continue
		}
		if !m.digestTokens.has(m.now) {
			// This peer is first next time.
			m.nextPeer = (m.nextPeer + len(m.entries) - 1) % len(m.entries)
			return
		}
		part := o.streams[0].parts[o.part]
		part.Phase = o.streams[0].phase
		o.sentAt, o.isSent = m.now, true
		o.tries++
		m.digestTokens.spend(messageOverhead + 25 + 9*len(part.Targets) + len(part.Groups))
		m.send(uint16(m.nextPeer), part)
	}
}

func (m *Machine) receiveAck(from uint16, msg messenger.DigestAck) {
	o := &m.entries[from].outbox
	if len(o.streams) == 0 || o.streams[0].parts[0].Stream != msg.Stream || o.part != int(msg.Part) {
		return
	}
	o.part++
	o.tries, o.isSent = 0, false
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

// receiveDigest takes over the lines of a part. Without an acknowledgement the
// sender repeats the part later.
func (m *Machine) receiveDigest(from uint16, part messenger.Digest) {
	svc := m.findService(part.Service)
	if svc == nil || part.Phase >= messenger.Phases || !slices.Contains(svc.members, from) {
		return
	}
	switch {
	case part.Phase == messenger.PhaseFacts:
		m.addLines(svc, part, 0)
	case part.Phase == messenger.PhaseTransfer:
		if m.mode == modeStarting && !m.start.isRequested {
			return
		}
		m.receiveTransfer(from, svc, part)
	case m.mode != modeReady:
		m.addLines(svc, part, 0)
	case !m.receiveRound(from, svc, part):
		return
	}
	m.acknowledge(from, part)
}

func (m *Machine) addLines(svc *service, part messenger.Digest, round uint32) {
	m.eachLine(part, func(line digestLine) {
		if !line.isFormer {
			m.addException(svc, line, round)
		}
	})
}
