package placer

import (
	"math"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
)

// Decide returns what to do with a packet from a caller. It does not allocate.
func (m *Machine) Decide(now time.Time, packet Packet) Decision {
	m.advanceClock(now)
	decision := m.decide(packet)
	m.count(decision)
	return decision
}

func (m *Machine) count(decision Decision) {
	switch decision.Action {
	case ActionForward:
		m.counters.Forwarded++
	case ActionRelay:
		m.counters.Relayed++
	case ActionHold:
		m.counters.Held++
	case ActionDrop:
		m.counters.Dropped++
	}
}

func (m *Machine) decide(packet Packet) Decision {
	if int(packet.Service) >= len(m.services) {
		return m.decideUnknownService(packet)
	}
	svc := m.services[packet.Service]
	if !svc.isConfigured {
		return m.decideUnknownService(packet)
	}
	if m.mode == modeStarting && packet.RelayedBy == 0 {
		// The cache is not used either, because it may be stale after a freeze of the process.
		if to := m.ownerExcept(svc, packet.Flow, self); to != noEntry {
			return relayInTime(packet, to)
		}
		return drop(ReasonNoView)
	}
	if cached := m.cache.Lookup(packet.Flow, m.sec); cached != nil {
		if decision, ok := m.decideHit(svc, cached, packet); ok {
			return decision
		}
	}
	return m.decideMiss(svc, packet)
}

// relayInTime relays a packet to another entry. A late opening packet is dropped: the other entry may have
// placed its flow for a copy, and seen it end.
func relayInTime(packet Packet, to uint16) Decision {
	if packet.isLateSYN() {
		return drop(ReasonLateOpening)
	}
	return relay(to)
}

func (m *Machine) decideUnknownService(packet Packet) Decision {
	if m.mode == modeStarting && packet.RelayedBy == 0 {
		return drop(ReasonNoView)
	}
	return drop(ReasonServiceNotExist)
}

// decideHit handles a packet of a cached flow. It returns false if the cached target must not be
// used.
func (m *Machine) decideHit(svc *service, cached *tracker.Flow, packet Packet) (Decision, bool) {
	b := &m.backends[cached.Target]
	if !b.isPresent || b.service != svc.index {
		return Decision{}, false
	}
	if packet.isSYN() && m.isReopened(svc, cached, b) && !isCopy(cached, packet) {
		return m.reopen(svc, packet)
	}
	if b.isTakenOut {
		return drop(ReasonTakenOut), true
	}
	m.touch(cached, packet)
	if packet.RelayedBy != 0 {
		m.queueHint(packet.RelayedBy, toPlacement(cached))
	}
	return forward(cached.Target), true
}

// isReopened reports whether a SYN on a cached flow starts a new flow on another backend server.
// That is the case if the old flow was closed here, or was established and then closed at another
// entry, and its backend server takes no new flows. While the backend server still takes new flows,
// the flow stays there, because the entries that saw no FIN keep it there as well.
func (m *Machine) isReopened(svc *service, cached *tracker.Flow, b *backend) bool {
	if b.weight > 0 && !b.isTakenOut {
		return false
	}
	isSettled := svc.buckets[allocator.Bucket(cached.Fingerprint)].state == settled
	return cached.Has(tracker.FlagClosed) || b.isTakenOut || (isSettled && !cached.Has(tracker.FlagOnlySYN))
}

// isCopy reports whether an opening packet is a copy of the newest one of a cached flow.
func isCopy(cached *tracker.Flow, packet Packet) bool {
	return packet.Sequence != 0 && cached.Opening == packet.Sequence
}

// reopen places a flow again and notifies all peers, which may have cached the old target. A late opening
// packet is dropped, since it may belong to the old flow.
func (m *Machine) reopen(svc *service, packet Packet) (Decision, bool) {
	if packet.isLateSYN() {
		return drop(ReasonLateOpening), true
	}
	bucket := allocator.Bucket(packet.Flow)
	delete(svc.exceptions, exceptionKey(packet.Flow))
	target := m.target(svc, bucket)
	if target == 0 {
		return drop(ReasonNoBackend), true
	}
	if m.backends[target].weight == 0 {
		target = svc.latest[bucket]
		if !m.isUsable(target, svc.index) {
			return drop(ReasonNoBackend), true
		}
	}
	cached := m.cacheFlow(svc, packet, target)
	m.replaced = append(m.replaced, toPlacement(cached))
	return forward(target), true
}

// touch updates a cached flow for a packet from the caller.
func (m *Machine) touch(cached *tracker.Flow, packet Packet) {
	cached.LastSeen = m.sec
	if cached.Packets < math.MaxUint16 {
		cached.Packets++
	}
	cached.Flags &^= tracker.FlagCopied
	switch {
	case packet.isSYN():
		if !isCopy(cached, packet) {
			cached.Flags &^= tracker.FlagClosed
		}
		cached.Opening = packet.Sequence
	case packet.isClosing():
		cached.Flags |= tracker.FlagClosed
		cached.Flags &^= tracker.FlagOnlySYN
	default:
		cached.Flags &^= tracker.FlagOnlySYN
	}
}

// cacheFlow adds a flow with its target to the cache.
func (m *Machine) cacheFlow(svc *service, packet Packet, target uint32) *tracker.Flow {
	cached := tracker.Flow{
		Fingerprint: packet.Flow, Target: target, Packets: 1, LastSeen: m.sec,
	}
	switch {
	case packet.Protocol == ProtocolUDP:
		cached.Flags = tracker.FlagUDP
	case packet.isSYN():
		cached.Flags = tracker.FlagOnlySYN
		cached.Opening = packet.Sequence
	case packet.isClosing():
		cached.Flags = tracker.FlagClosed
	}
	if m.mode == modeLeaving && !m.handOverFlow(svc, cached) {
		m.leaving.localFlows = append(m.leaving.localFlows, cached)
	}
	return m.cache.Insert(cached)
}

// decideMiss handles a packet of a flow that is not in the cache.
func (m *Machine) decideMiss(svc *service, packet Packet) Decision {
	index := allocator.Bucket(packet.Flow)
	b := &svc.buckets[index]
	if e, ok := m.findException(svc, packet); ok {
		return m.decideException(svc, packet, b, e)
	}
	if m.mode == modeStarting {
		// The entry that relayed the packet takes this one for an owner, but the state here may be
		// stale.
		if packet.isSYN() {
			return m.holdAndQuery(svc, packet, queryOwner)
		}
		return m.holdAndQuery(svc, packet, queryAll)
	}
	if b.state == settled || (b.state == informed && !packet.isSYN()) {
		return m.place(svc, packet, m.target(svc, index), false)
	}
	if packet.RelayedBy == 0 {
		if owner := m.owner(svc, packet.Flow); owner != self && owner != noEntry {
			return relayInTime(packet, owner)
		}
	}
	return m.decideAsOwner(svc, packet, b)
}

// decideException handles a packet of a flow that a digest has listed.
func (m *Machine) decideException(svc *service, packet Packet, b *bucket, e exception) Decision {
	target := &m.backends[e.target]
	if packet.isSYN() && (target.isTakenOut || (b.state == settled && target.weight == 0)) {
		// The caller has reused its port: half-open flows time out before a bucket is settled.
		decision, _ := m.reopen(svc, packet)
		return decision
	}
	return m.place(svc, packet, e.target, false)
}

// decideAsOwner decides on behalf of all entries where an unknown flow of an unsettled bucket goes.
func (m *Machine) decideAsOwner(svc *service, packet Packet, b *bucket) Decision {
	if b.state == informed {
		return m.place(svc, packet, m.target(svc, allocator.Bucket(packet.Flow)), true)
	}
	isOwner := m.owner(svc, packet.Flow) == self
	switch {
	case !isOwner && packet.isSYN():
		return m.holdAndQuery(svc, packet, queryOwner)
	case svc.ownerChanges >= queryAllOwnerChanges || m.needsAllPeers(svc, packet):
		return m.holdAndQuery(svc, packet, queryAll)
	case svc.ownerChanges > 0 || !isOwner:
		return m.holdAndQuery(svc, packet, queryNext)
	default:
		return m.placeUnknown(svc, packet)
	}
}

// placeUnknown places a flow that none of the queried entries knows. A TCP packet that is not a SYN
// belongs to a flow that is older than the change of its bucket, so the flow stays on the former
// target.
func (m *Machine) placeUnknown(svc *service, packet Packet) Decision {
	index := allocator.Bucket(packet.Flow)
	b := &svc.buckets[index]
	if packet.Protocol == ProtocolTCP && !packet.isSYN() && b.state == contested {
		for _, former := range b.formerTargets {
			if former != 0 && m.backends[former].isPresent {
				return m.place(svc, packet, former, false)
			}
		}
	}
	return m.place(svc, packet, m.target(svc, index), true)
}

// needsAllPeers reports whether any entry may know the target of an unknown flow, so that all must
// be queried. This holds for UDP if the bucket has a former target, and for TCP packets other than
// SYN if it has more than one.
func (m *Machine) needsAllPeers(svc *service, packet Packet) bool {
	formerTargets := m.countFormerTargets(svc, &svc.buckets[allocator.Bucket(packet.Flow)])
	return (packet.Protocol == ProtocolUDP && formerTargets > 0) || (!packet.isSYN() && formerTargets > 1)
}

// countFormerTargets returns the number of targets, besides the one in the table, on which flows of
// a contested bucket may be.
func (m *Machine) countFormerTargets(svc *service, b *bucket) int {
	n := 0
	for _, former := range b.formerTargets {
		if m.isUsable(former, svc.index) {
			n++
		}
	}
	return n
}

// place caches a flow with its target and forwards the packet. If the entry decided as the owner,
// it copies the decision to the next owner in rendezvous order. An entry that relayed the packet
// gets a hint.
func (m *Machine) place(svc *service, packet Packet, target uint32, isOwnerDecision bool) Decision {
	if !m.isUsable(target, svc.index) {
		if target != 0 && m.backends[target].isTakenOut {
			return drop(ReasonTakenOut)
		}
		return drop(ReasonNoBackend)
	}
	cached := m.cacheFlow(svc, packet, target)
	if isOwnerDecision {
		if next := m.ownerExcept(svc, packet.Flow, self); next != noEntry {
			m.queue(&m.entries[next].copies, next, toPlacement(cached))
		}
	}
	if packet.RelayedBy != 0 {
		m.queueHint(packet.RelayedBy, toPlacement(cached))
	}
	return forward(target)
}

func (m *Machine) queueHint(entryHash uint64, p placement) {
	// An entry that is not ready relays every packet, so it would be sent a hint for each one.
	if i, ok := m.entryByHash[entryHash]; ok && m.entries[i].isReady && i != self {
		m.queue(&m.entries[i].hints, i, p)
	}
}
