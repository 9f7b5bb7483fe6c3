package placer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
)

// placement states which backend server a flow is on.
type placement struct {
	flow   uint64
	target uint32
	isUDP  bool
}

func toPlacement(line *tracker.Line) placement {
	return placement{flow: line.Fingerprint, target: line.Target, isUDP: line.Has(tracker.FlagUDP)}
}

const (
	// maxQueued bounds the placements that wait for one peer.
	maxQueued = 256
	// linesPerMessage keeps a message under about 1,200 bytes.
	linesPerMessage = 110
	lineBytes       = 9
	udpBit          = 0x80
	// maxTargets is the number of targets that the position byte of a line can name.
	maxTargets = 0x7F
	// placementDelay is the time that placements wait for others, so that the
	// overhead of a message is shared.
	placementDelay = 500 * time.Millisecond
	// messageOverhead estimates the bytes of an encoded message without its lists.
	messageOverhead = 24
)

// queue adds a placement for a peer unless it waits already.
func (m *Machine) queue(list *[]placement, to uint16, p placement) {
	if slices.Contains(*list, p) {
		return
	}
	if len(*list) >= maxQueued {
		m.counters.DroppedHints++
		return
	}
	if *list == nil {
		*list = make([]placement, 0, maxQueued)
	}
	e := &m.entries[to]
	if len(e.copies) == 0 && len(e.hints) == 0 {
		e.queuedAt = m.now
	}
	*list = append(*list, p)
}

// packer collects targets and lines of a message.
type packer struct {
	targets []uint64
	lines   []byte
}

// position returns the position of a target in the list of the message, and false
// if the list is full.
func (p *packer) position(target uint64) (byte, bool) {
	i := slices.Index(p.targets, target)
	if i < 0 {
		if i = len(p.targets); i >= maxTargets {
			return 0, false
		}
		p.targets = append(p.targets, target)
	}
	return byte(i), true
}

func (m *Machine) pack(p *packer, line placement) bool {
	position, ok := p.position(m.backends[line.target].hash)
	if !ok {
		return false
	}
	if line.isUDP {
		position |= udpBit
	}
	p.lines = append(binary.BigEndian.AppendUint64(p.lines, line.flow), position)
	return true
}

// unpack calls f for each line whose target is known.
func (m *Machine) unpack(targets []uint64, lines []byte, f func(placement)) {
	for ; len(lines) >= lineBytes; lines = lines[lineBytes:] {
		position := lines[8]
		i := int(position &^ udpBit)
		if i >= len(targets) {
			continue
		}
		if target, ok := m.backendByHash[targets[i]]; ok && m.backends[target].isPresent {
			f(placement{flow: binary.BigEndian.Uint64(lines), target: target, isUDP: position&udpBit != 0})
		}
	}
}

// sendPlacements sends the batches that are due, copies before hints.
func (m *Machine) sendPlacements() {
	m.sendReplaced()
	for range m.entries {
		m.nextPeer = (m.nextPeer + 1) % len(m.entries)
		i := uint16(m.nextPeer)
		e := &m.entries[i]
		delay := placementDelay
		if m.mode == modeLeaving {
			// The process may end soon.
			delay = 0
		}
		waiting := len(e.copies) + len(e.hints)
		if waiting == 0 || (waiting < linesPerMessage && m.now.Sub(e.queuedAt) < delay) {
			continue
		}
		if !m.placementTokens.has(m.now) {
			return
		}
		var p packer
		e.copies = m.packSome(&p, e.copies)
		e.hints = m.packSome(&p, e.hints)
		e.queuedAt = m.now
		m.sendPlacement(i, &p, false)
	}
}

// packSome moves placements into a message and returns those that remain.
func (m *Machine) packSome(p *packer, list []placement) []placement {
	n := 0
	for n < len(list) && len(p.lines) < linesPerMessage*lineBytes && m.pack(p, list[n]) {
		n++
	}
	return slices.Delete(list, 0, n)
}

func (m *Machine) sendPlacement(to uint16, p *packer, isReplacing bool) {
	m.placementTokens.spend(messageOverhead + 9*len(p.targets) + len(p.lines))
	message := messenger.Placements{Targets: p.targets, Lines: p.lines, IsReplacing: isReplacing}
	if m.mode == modeLeaving && !isReplacing {
		message.Sequence = m.leaving.expectAck(to, message, m.now)
	}
	m.send(to, message)
}

// sendReplaced tells all peers at once of the flows opened again elsewhere: the
// next packet of the caller follows within a round trip.
func (m *Machine) sendReplaced() {
	if len(m.replaced) == 0 {
		return
	}
	var p packer
	m.replaced = m.packSome(&p, m.replaced)
	for i := range m.entries {
		if uint16(i) != self && m.entries[i].isLive {
			m.sendPlacement(uint16(i), &p, true)
		}
	}
}

func (m *Machine) receivePlacements(from uint16, msg messenger.Placements) {
	if msg.Sequence != 0 {
		m.placementTokens.spend(messageOverhead)
		m.send(from, messenger.PlacementsAck{Sequence: msg.Sequence})
	}
	m.unpack(msg.Targets, msg.Lines, func(p placement) {
		if msg.IsReplacing {
			delete(m.services[m.backends[p.target].service].exceptions, exceptionKey(p.flow))
		} else if m.cache.Lookup(p.flow, m.sec) != nil {
			return
		}
		m.cache.Insert(m.toLine(p))
	})
}

func (m *Machine) toLine(p placement) tracker.Line {
	line := tracker.Line{Fingerprint: p.flow, Target: p.target, Seen: m.sec, Flags: tracker.FlagCopied}
	if p.isUDP {
		line.Flags |= tracker.FlagUDP
	}
	return line
}
