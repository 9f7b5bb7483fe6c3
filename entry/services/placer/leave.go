package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
)

// leaver is the progress of a planned stop.
type leaver struct {
	until time.Time
	// rare are flows that other entries may not have seen, the likeliest first.
	rare []tracker.Line
	// handOvers are the messages that their receivers have not acknowledged, by
	// sequence.
	handOvers    map[uint64]*handOver
	nextSequence uint64
}

// handOver is a message with flows that only this entry may know.
type handOver struct {
	to      uint16
	message messenger.Placements
	sentAt  time.Time
	tries   int
}

const (
	// leaveLimit bounds the hand-over of a leaving entry.
	leaveLimit = 30 * time.Second
	// rareBits is the improbability, as a power of two, at which other entries count as
	// having seen a flow: all its packets reach the same entry with 2^-15 or 3e-5.
	rareBits = 15
	// leastRarePackets is the number of packets at 8 entries, kept for more.
	leastRarePackets = 6
	// handOverResend is the time without an acknowledgement after which flows are handed
	// over again: a few round trips between data centres.
	handOverResend = 150 * time.Millisecond
	// handOverTries bounds the messages to a receiver that never acknowledges, such as one
	// of an earlier version.
	handOverTries = 8
)

// expectAck notes a message until its receiver acknowledges it, and returns its
// sequence.
func (l *leaver) expectAck(to uint16, message messenger.Placements, now time.Time) uint64 {
	if l.handOvers == nil {
		l.handOvers = make(map[uint64]*handOver)
	}
	l.nextSequence++
	message.Sequence = l.nextSequence
	l.handOvers[message.Sequence] = &handOver{to: to, message: message, sentAt: now, tries: 1}
	return message.Sequence
}

// rarePackets returns the number of packets seen here from which on other entries have
// seen the flow, too: 16 with 2 entries, 6 with 8.
func rarePackets(entries int) int {
	if entries < 2 {
		return 0
	}
	return max(leastRarePackets, 1+int(math.Ceil(rareBits/math.Log2(float64(entries)))))
}

// countLive returns the live entries with this one.
func (m *Machine) countLive() int {
	n := 0
	for i := range m.entries {
		if m.entries[i].isLive {
			n++
		}
	}
	return n
}

// leave hands the flows that only this entry may know over to the others.
func (m *Machine) leave() {
	if m.mode == modeLeaving {
		return
	}
	wasReady := m.mode == modeReady
	m.mode = modeLeaving
	m.announce(false)
	m.sendAnnouncement()
	m.changeAllOwners()
	m.leaving.until = m.now.Add(leaveLimit)
	for i := range m.entries {
		m.entries[i].queuedAt = time.Time{}
	}
	if !wasReady {
		return
	}
	for _, svc := range m.services {
		listed := make(map[uint64]digestLine)
		m.eachUncommon(svc, func(line digestLine, _ exception) { listed[line.key] = line })
		m.eachDeviating(svc, func(line digestLine) { listed[line.key] = line })
		// A pending table will be in force when this entry is gone. Unlike copies, these
		// lines are acknowledged.
		m.eachDeviatingFrom(svc, svc.latest, func(line digestLine) { listed[line.key] = line })
		if len(listed) > 0 {
			m.publish(svc, svc.members, messenger.PhaseFacts, toLines(listed))
		}
	}
	m.listRare()
}

// listRare lists the flows of which this entry has seen so few packets that no other
// entry may have seen one. If a table moves their buckets after this entry has left,
// no digest would name them.
func (m *Machine) listRare() {
	rare := rarePackets(m.countLive())
	m.cache.Each(m.sec, func(line *tracker.Line) {
		if int(line.Packets) < rare && !line.Has(tracker.FlagCopied|tracker.FlagClosed) && m.backends[line.Target].isPresent {
			m.leaving.rare = append(m.leaving.rare, *line)
		}
	})
	slices.SortFunc(m.leaving.rare, func(a, b tracker.Line) int {
		return cmp.Or(cmp.Compare(a.Packets, b.Packets), cmp.Compare(a.Seen, b.Seen), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
}

// handOver queues rare flows for their owners, as far as the budget allows. A
// leaving entry has no digests to send, so that it may spend both budgets.
func (m *Machine) handOver() {
	m.placementTokens.rate = float64(m.config.PlacementBudget + m.config.DigestBudget)
	for len(m.leaving.rare) > 0 && m.placementTokens.has(m.now) {
		line := m.leaving.rare[0]
		if !m.handOverLine(m.services[m.backends[line.Target].service], line) {
			return
		}
		m.leaving.rare = m.leaving.rare[1:]
	}
}

// handOverLine queues a flow for its owner. It returns false if the queue is full.
func (m *Machine) handOverLine(svc *service, line tracker.Line) bool {
	owner := m.owner(svc, line.Fingerprint)
	if owner == none {
		return true
	}
	if len(m.entries[owner].copies) >= maxQueued {
		return false
	}
	m.queue(&m.entries[owner].copies, owner, toPlacement(&line))
	return true
}

// resendHandOvers sends again what was not acknowledged in time. Flows that were handed to
// an entry that has died since go to their new owners.
func (m *Machine) resendHandOvers() {
	for _, sequence := range slices.Sorted(maps.Keys(m.leaving.handOvers)) {
		h := m.leaving.handOvers[sequence]
		switch {
		case !m.entries[h.to].isLive:
			delete(m.leaving.handOvers, sequence)
			m.unpack(h.message.Targets, h.message.Lines, func(p placement) {
				m.leaving.rare = append(m.leaving.rare, m.toLine(p))
			})
		case m.now.Sub(h.sentAt) < handOverResend:
		case h.tries >= handOverTries:
			delete(m.leaving.handOvers, sequence)
		case m.placementTokens.has(m.now):
			h.sentAt = m.now
			h.tries++
			m.placementTokens.spend(messageOverhead + 9*len(h.message.Targets) + len(h.message.Lines))
			m.send(h.to, h.message)
		}
	}
}

func (m *Machine) advanceLeave() {
	if m.mode != modeLeaving {
		return
	}
	// Flows still arrive until the process ends, also once the hand-over has completed.
	m.resendHandOvers()
	m.handOver()
	if m.leaving.until.IsZero() {
		return
	}
	isDone := len(m.leaving.rare) == 0 && len(m.leaving.handOvers) == 0
	for i := range m.entries {
		e := &m.entries[i]
		if e.isLive && (len(e.outbox.streams) > 0 || len(e.copies) > 0) {
			isDone = false
		}
	}
	if isDone || !m.leaving.until.After(m.now) {
		m.leaving.until = time.Time{}
		m.emit(LeaveCompleted{})
	}
}
