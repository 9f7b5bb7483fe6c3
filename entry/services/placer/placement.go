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

func toPlacement(cached *tracker.Flow) placement {
	return placement{flow: cached.Fingerprint, target: cached.Target, isUDP: cached.Has(tracker.FlagUDP)}
}

const (
	// maxQueuedPlacements bounds the copies, and the hints, that wait for one peer.
	maxQueuedPlacements = 256
	// placementsPerMessage keeps a message under about 1,200 bytes.
	placementsPerMessage = 110
	placementBytes       = 9
	udpBit               = 0x80
	// maxTargets is the number of targets that a position byte can address.
	maxTargets = 0x7F
	// placementDelay is the time for which placements are batched, to share the overhead of a
	// message.
	placementDelay = 500 * time.Millisecond
	// messageOverhead is an estimate of the bytes of an encoded message without its lists.
	messageOverhead = 24
)

// queue adds a placement to the list of a peer, unless the list contains it or is full.
func (m *Machine) queue(list *[]placement, to uint16, p placement) {
	if slices.Contains(*list, p) {
		return
	}
	if len(*list) >= maxQueuedPlacements {
		m.counters.DroppedPlacements++
		return
	}
	if *list == nil {
		*list = make([]placement, 0, maxQueuedPlacements)
	}
	e := &m.entries[to]
	if len(e.copies) == 0 && len(e.hints) == 0 {
		e.queuedAt = m.now
	}
	*list = append(*list, p)
}

// encoder collects the targets and the encoded placements or groups of a message.
type encoder struct {
	targets []uint64
	encoded []byte
}

// targetPosition returns the position of a target in the target list of the message. It returns
// false if the list is full.
func (enc *encoder) targetPosition(target uint64) (byte, bool) {
	i := slices.Index(enc.targets, target)
	if i < 0 {
		if i = len(enc.targets); i >= maxTargets {
			return 0, false
		}
		enc.targets = append(enc.targets, target)
	}
	return byte(i), true
}

func (m *Machine) encodePlacement(enc *encoder, placed placement) bool {
	position, ok := enc.targetPosition(m.backends[placed.target].hash)
	if !ok {
		return false
	}
	if placed.isUDP {
		position |= udpBit
	}
	enc.encoded = append(binary.BigEndian.AppendUint64(enc.encoded, placed.flow), position)
	return true
}

// decodePlacements calls f for each placement whose target has a record.
func (m *Machine) decodePlacements(targets []uint64, encoded []byte, f func(placement)) {
	for ; len(encoded) >= placementBytes; encoded = encoded[placementBytes:] {
		position := encoded[8]
		i := int(position &^ udpBit)
		if i >= len(targets) {
			continue
		}
		if target, ok := m.backendByHash[targets[i]]; ok && m.backends[target].isPresent {
			f(placement{flow: binary.BigEndian.Uint64(encoded), target: target, isUDP: position&udpBit != 0})
		}
	}
}

// sendPlacements sends the batches that are due, copies before hints.
func (m *Machine) sendPlacements() {
	m.sendReplaced()
	for range m.entries {
		m.lastPeer = (m.lastPeer + 1) % len(m.entries)
		i := uint16(m.lastPeer)
		e := &m.entries[i]
		delay := placementDelay
		if m.mode == modeLeaving {
			// The process may end soon.
			delay = 0
		}
		queued := len(e.copies) + len(e.hints)
		if queued == 0 || (queued < placementsPerMessage && m.now.Sub(e.queuedAt) < delay) {
			continue
		}
		if !m.placementTokens.allows(m.now) {
			return
		}
		var enc encoder
		e.copies = m.encodeQueued(&enc, e.copies)
		e.hints = m.encodeQueued(&enc, e.hints)
		e.queuedAt = m.now
		m.sendPlacement(i, &enc, false)
	}
}

// encodeQueued moves placements from a queue into a message and returns those that remain.
func (m *Machine) encodeQueued(enc *encoder, queued []placement) []placement {
	n := 0
	for n < len(queued) && len(enc.encoded) < placementsPerMessage*placementBytes && m.encodePlacement(enc, queued[n]) {
		n++
	}
	return slices.Delete(queued, 0, n)
}

func (m *Machine) sendPlacement(to uint16, enc *encoder, isReplacing bool) {
	m.placementTokens.spend(messageOverhead + 9*len(enc.targets) + len(enc.encoded))
	message := messenger.Placements{Targets: enc.targets, Flows: enc.encoded, IsReplacing: isReplacing}
	if m.mode == modeLeaving && !isReplacing {
		message.Sequence = m.leaving.expectAck(to, message, m.now)
	}
	m.send(to, message)
}

// sendReplaced reports reopened flows to all peers at once, because the next packet from the caller
// follows within a round trip.
func (m *Machine) sendReplaced() {
	if len(m.replaced) == 0 {
		return
	}
	var enc encoder
	m.replaced = m.encodeQueued(&enc, m.replaced)
	for i := range m.entries {
		if uint16(i) != self && m.entries[i].isLive {
			m.sendPlacement(uint16(i), &enc, true)
		}
	}
}

func (m *Machine) receivePlacements(from uint16, msg messenger.Placements) {
	if msg.Sequence != 0 {
		m.placementTokens.spend(messageOverhead)
		m.send(from, messenger.PlacementsAck{Sequence: msg.Sequence})
	}
	m.decodePlacements(msg.Targets, msg.Flows, func(p placement) {
		if msg.IsReplacing {
			delete(m.services[m.backends[p.target].service].exceptions, exceptionKey(p.flow))
		} else if m.cache.Lookup(p.flow, m.sec) != nil {
			return
		}
		m.cache.Insert(m.toCachedFlow(p))
	})
}

func (m *Machine) toCachedFlow(p placement) tracker.Flow {
	cached := tracker.Flow{Fingerprint: p.flow, Target: p.target, LastSeen: m.sec, Flags: tracker.FlagCopied}
	if p.isUDP {
		cached.Flags |= tracker.FlagUDP
	}
	return cached
}
