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

// leaveState is the progress of a planned stop.
type leaveState struct {
	deadline time.Time
	// localFlows are flows that other entries may not have seen, those with the fewest packets
	// first.
	localFlows []tracker.Flow
	// unacknowledged holds the hand-over messages that their receivers have not acknowledged, by
	// sequence.
	unacknowledged map[uint64]*handOverMessage
	nextSequence   uint64
}

// handOverMessage is a sent message with flows that only this entry may know.
type handOverMessage struct {
	to       uint16
	message  messenger.Placements
	sentAt   time.Time
	attempts int
}

const (
	// leaveTimeout bounds the hand-over of a leaving entry.
	leaveTimeout = 30 * time.Second
	// sharedFlowBits sets when other entries count as having seen a flow: when the probability that
	// all its packets reach the same entry is at most 2^-15 (3e-5).
	sharedFlowBits = 15
	// minSharedFlowPackets is the number of packets needed with 8 entries. It is the minimum for
	// more entries, too.
	minSharedFlowPackets = 6
	// handOverResendInterval is the time after which an unacknowledged message is sent again: a few
	// round trips between data centres.
	handOverResendInterval = 150 * time.Millisecond
	// maxHandOverAttempts bounds the messages to a receiver that never acknowledges, such as an
	// entry of an earlier version.
	maxHandOverAttempts = 8
)

// expectAck stores a message until its receiver acknowledges it, and returns its sequence.
func (l *leaveState) expectAck(to uint16, message messenger.Placements, now time.Time) uint64 {
	if l.unacknowledged == nil {
		l.unacknowledged = make(map[uint64]*handOverMessage)
	}
	l.nextSequence++
	message.Sequence = l.nextSequence
	l.unacknowledged[message.Sequence] = &handOverMessage{to: to, message: message, sentAt: now, attempts: 1}
	return message.Sequence
}

// sharedFlowPackets returns the number of packets seen here from which on other entries count as
// having seen the flow, too: 16 with 2 entries, 6 with 8.
func sharedFlowPackets(entries int) int {
	if entries < 2 {
		return 0
	}
	return max(minSharedFlowPackets, 1+int(math.Ceil(sharedFlowBits/math.Log2(float64(entries)))))
}

// countLive returns the number of live entries, including this one.
func (m *Machine) countLive() int {
	n := 0
	for i := range m.entries {
		if m.entries[i].isLive {
			n++
		}
	}
	return n
}

// leave begins to hand over the flows that only this entry may know.
func (m *Machine) leave() {
	if m.mode == modeLeaving {
		return
	}
	wasReady := m.mode == modeReady
	m.mode = modeLeaving
	m.announceReadiness(false)
	m.sendReadiness()
	m.updateAllOwners()
	m.leaving.deadline = m.now.Add(leaveTimeout)
	for i := range m.entries {
		m.entries[i].queuedAt = time.Time{}
	}
	if !wasReady {
		return
	}
	for _, svc := range m.services {
		listed := make(map[uint64]digestItem)
		m.eachUnreplicated(svc, func(item digestItem, _ exception) { listed[item.key] = item })
		m.eachDeviating(svc, func(item digestItem) { listed[item.key] = item })
		// A pending table will be active after this entry has gone. Unlike copies, these items are
		// acknowledged.
		m.eachDeviatingFrom(svc, svc.latest, func(item digestItem) { listed[item.key] = item })
		if len(listed) > 0 {
			m.publish(svc, svc.members, messenger.PhaseUnsolicited, toItems(listed))
		}
	}
	m.listLocalFlows()
}

// listLocalFlows lists the flows of which this entry has seen so few packets that no other entry
// may have seen one. If a table moved their buckets after this entry had left, no digest would list
// them.
func (m *Machine) listLocalFlows() {
	shared := sharedFlowPackets(m.countLive())
	m.cache.Each(m.sec, func(cached *tracker.Flow) {
		if int(cached.Packets) < shared && !cached.Has(tracker.FlagCopied|tracker.FlagClosed) && m.backends[cached.Target].isPresent {
			m.leaving.localFlows = append(m.leaving.localFlows, *cached)
		}
	})
	slices.SortFunc(m.leaving.localFlows, func(a, b tracker.Flow) int {
		return cmp.Or(cmp.Compare(a.Packets, b.Packets), cmp.Compare(a.LastSeen, b.LastSeen), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
}

// handOverFlows queues local flows for their owners, within the budget. A leaving entry publishes
// no further digests, so it may spend both budgets.
func (m *Machine) handOverFlows() {
	m.placementTokens.rate = float64(m.config.PlacementBudget + m.config.DigestBudget)
	for len(m.leaving.localFlows) > 0 && m.placementTokens.allows(m.now) {
		cached := m.leaving.localFlows[0]
		if !m.handOverFlow(m.services[m.backends[cached.Target].service], cached) {
			return
		}
		m.leaving.localFlows = m.leaving.localFlows[1:]
	}
}

// handOverFlow queues a flow for its owner. It returns false if the queue is full.
func (m *Machine) handOverFlow(svc *service, cached tracker.Flow) bool {
	owner := m.owner(svc, cached.Fingerprint)
	if owner == noEntry {
		return true
	}
	if len(m.entries[owner].copies) >= maxQueuedPlacements {
		return false
	}
	m.queue(&m.entries[owner].copies, owner, toPlacement(&cached))
	return true
}

// resendHandOvers retransmits the messages that were not acknowledged in time. Flows that were
// handed over to an entry that has since died go to their new owners.
func (m *Machine) resendHandOvers() {
	for _, sequence := range slices.Sorted(maps.Keys(m.leaving.unacknowledged)) {
		h := m.leaving.unacknowledged[sequence]
		switch {
		case !m.entries[h.to].isLive:
			delete(m.leaving.unacknowledged, sequence)
			m.decodePlacements(h.message.Targets, h.message.Flows, func(p placement) {
				m.leaving.localFlows = append(m.leaving.localFlows, m.toCachedFlow(p))
			})
		case m.now.Sub(h.sentAt) < handOverResendInterval:
		case h.attempts >= maxHandOverAttempts:
			delete(m.leaving.unacknowledged, sequence)
		case m.placementTokens.allows(m.now):
			h.sentAt = m.now
			h.attempts++
			m.placementTokens.spend(messageOverhead + 9*len(h.message.Targets) + len(h.message.Flows))
			m.send(h.to, h.message)
		}
	}
}

func (m *Machine) advanceLeave() {
	if m.mode != modeLeaving {
		return
	}
	// Flows still arrive until the process ends, even after the hand-over has completed.
	m.resendHandOvers()
	m.handOverFlows()
	if m.leaving.deadline.IsZero() {
		return
	}
	isDone := len(m.leaving.localFlows) == 0 && len(m.leaving.unacknowledged) == 0
	for i := range m.entries {
		e := &m.entries[i]
		if e.isLive && (len(e.outbox.streams) > 0 || len(e.copies) > 0) {
			isDone = false
		}
	}
	if isDone || !m.leaving.deadline.After(m.now) {
		m.leaving.deadline = time.Time{}
		m.emit(LeaveCompleted{})
	}
}
