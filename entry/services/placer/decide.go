package placer

import (
	"math"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/tabler"
)

// Decide returns what to do with a packet from a caller. It does not allocate.
func (m *Machine) Decide(now time.Time, packet Packet) Decision {
	m.observeClock(now)
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
	case ActionReset:
		m.counters.Reset++
	case ActionDrop:
		m.counters.Dropped++
	}
}

func (m *Machine) decide(packet Packet) Decision {
	if int(packet.Service) >= len(m.services) {
		return m.decideUnknownService(packet)
	}
	svc := m.services[packet.Service]
	if !svc.isOpen {
		return m.decideUnknownService(packet)
	}
	if m.mode == modeStarting && packet.RelayedBy == 0 {
		// The cache may be stale after a freeze, so that it is not used either.
		if to := m.ownerBut(svc, packet.Flow, self); to != none {
			return relayTo(to)
		}
		return drop(ReasonNoView)
	}
	if line := m.cache.Lookup(packet.Flow, m.sec); line != nil {
		if decision, ok := m.decideHit(svc, line, packet); ok {
			return decision
		}
	}
	return m.decideMiss(svc, packet)
}

func (m *Machine) decideUnknownService(packet Packet) Decision {
	if m.mode == modeStarting && packet.RelayedBy == 0 {
		return drop(ReasonNoView)
	}
	return drop(ReasonServiceNotExist)
}

// decideHit handles a packet of a cached flow. It returns false if the line must
// not be used.
func (m *Machine) decideHit(svc *service, line *tracker.Line, packet Packet) (Decision, bool) {
	b := &m.backends[line.Target]
	if !b.isPresent || b.service != svc.index {
		return Decision{}, false
	}
	if packet.isSYN() && m.isReopened(svc, line, b) {
		return m.reopen(svc, packet)
	}
	if b.isTakenOut {
		return drop(ReasonTakenOut), true
	}
	if line.Has(tracker.FlagReset) && !packet.isSYN() {
		line.Flags = line.Flags&^tracker.FlagReset | tracker.FlagClosed
		return Decision{Action: ActionReset}, true
	}
	m.touch(line, packet)
	if packet.RelayedBy != 0 {
		m.hint(packet.RelayedBy, toPlacement(line))
	}
	return forward(line.Target), true
}

// isReopened reports whether a SYN on a cached flow starts a new flow on another
// backend server: the old one was closed here, or established and closed at
// another entry, and its backend server takes no new flows. While it does, the
// flow stays, because the entries that saw no FIN keep it there as well.
func (m *Machine) isReopened(svc *service, line *tracker.Line, b *backend) bool {
	if b.weight > 0 && !b.isTakenOut {
		return false
	}
	isSettled := svc.buckets[tabler.Bucket(line.Fingerprint)].state == settled
	return line.Has(tracker.FlagClosed) || b.isTakenOut || (isSettled && !line.Has(tracker.FlagOnlySYN))
}

// reopen places a flow anew and tells all peers, which may have the old target.
func (m *Machine) reopen(svc *service, packet Packet) (Decision, bool) {
	bucket := tabler.Bucket(packet.Flow)
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
	line := m.remember(svc, packet, target)
	m.replaced = append(m.replaced, toPlacement(line))
	return forward(target), true
}

// touch updates a line for a packet of the caller.
func (m *Machine) touch(line *tracker.Line, packet Packet) {
	line.Seen = m.sec
	if line.Packets < math.MaxUint16 {
		line.Packets++
	}
	line.Flags &^= tracker.FlagCopied
	switch {
	case packet.isSYN():
		line.Flags &^= tracker.FlagClosed | tracker.FlagReset
	case packet.isClosing():
		line.Flags |= tracker.FlagClosed
		line.Flags &^= tracker.FlagOnlySYN
	default:
		line.Flags &^= tracker.FlagOnlySYN
	}
	if line.Unanswered == 0 {
		line.Since = m.sec
	}
	if line.Unanswered < 255 {
		line.Unanswered++
	}
	m.checkSilence(line)
}

// remember caches a flow at its target.
func (m *Machine) remember(svc *service, packet Packet, target uint32) *tracker.Line {
	line := tracker.Line{
		Fingerprint: packet.Flow, Target: target, Packets: 1,
		Seen: m.sec, Since: m.sec, Unanswered: 1,
	}
	switch {
	case packet.Protocol == ProtocolUDP:
		line.Flags = tracker.FlagUDP
	case packet.isSYN():
		line.Flags = tracker.FlagOnlySYN
	case packet.isClosing():
		line.Flags = tracker.FlagClosed
	}
	if m.mode == modeLeaving && !m.handOverLine(svc, line) {
		m.leaving.rare = append(m.leaving.rare, line)
	}
	return m.cache.Insert(line)
}

// decideMiss handles a packet of a flow that is not cached.
func (m *Machine) decideMiss(svc *service, packet Packet) Decision {
	index := tabler.Bucket(packet.Flow)
	b := &svc.buckets[index]
	if e, ok := m.findException(svc, packet); ok {
		return m.decideException(svc, packet, b, e)
	}
	if m.mode == modeStarting {
		// Another entry takes this one for an owner. Its state may be stale.
		if packet.isSYN() {
			return m.ask(svc, packet, askOwner)
		}
		return m.ask(svc, packet, askAll)
	}
	if b.state == settled || (b.state == informed && !packet.isSYN()) {
		return m.place(svc, packet, m.target(svc, index), false)
	}
	if packet.RelayedBy == 0 {
		if owner := m.owner(svc, packet.Flow); owner != self && owner != none {
			return relayTo(owner)
		}
	}
	return m.decideAsOwner(svc, packet, b)
}

// decideException handles a packet of a flow that a digest names.
func (m *Machine) decideException(svc *service, packet Packet, b *bucket, e exception) Decision {
	target := &m.backends[e.target]
	if packet.isSYN() && (target.isTakenOut || (b.state == settled && target.weight == 0)) {
		// The caller uses the port again: half-open flows end before a bucket settles.
		decision, _ := m.reopen(svc, packet)
		return decision
	}
	return m.place(svc, packet, e.target, false)
}

// decideAsOwner decides for all entries where an unknown flow of a bucket goes that
// is not settled.
func (m *Machine) decideAsOwner(svc *service, packet Packet, b *bucket) Decision {
	if b.state == informed {
		return m.place(svc, packet, m.target(svc, tabler.Bucket(packet.Flow)), true)
	}
	isOwner := m.owner(svc, packet.Flow) == self
	switch {
	case !isOwner && packet.isSYN():
		return m.ask(svc, packet, askOwner)
	case svc.ownerChanges >= askAllChanges || m.needsAll(svc, packet):
		return m.ask(svc, packet, askAll)
	case svc.ownerChanges > 0 || !isOwner:
		return m.ask(svc, packet, askNext)
	default:
		return m.placeUnknown(svc, packet)
	}
}

// placeUnknown places a flow that no asked entry knows. A TCP flow without SYN is
// older than the change of its bucket and stays on the former target.
func (m *Machine) placeUnknown(svc *service, packet Packet) Decision {
	index := tabler.Bucket(packet.Flow)
	b := &svc.buckets[index]
	if packet.Protocol == ProtocolTCP && !packet.isSYN() && b.state == contested {
		for _, former := range b.formers {
			if former != 0 && m.backends[former].isPresent {
				return m.place(svc, packet, former, false)
			}
		}
	}
	return m.place(svc, packet, m.target(svc, index), true)
}

// needsAll reports whether the target of an unknown flow is a matter of fact that
// any entry may know: for UDP, and for TCP with more than one former target.
func (m *Machine) needsAll(svc *service, packet Packet) bool {
	formers := m.countFormers(svc, &svc.buckets[tabler.Bucket(packet.Flow)])
	return (packet.Protocol == ProtocolUDP && formers > 0) || (!packet.isSYN() && formers > 1)
}

// countFormers returns the number of targets, besides the one in the table, that
// flows of a contested bucket may be on.
func (m *Machine) countFormers(svc *service, b *bucket) int {
	n := 0
	for _, former := range b.formers {
		if m.isUsable(former, svc.index) {
			n++
		}
	}
	return n
}

// place caches a flow at a target and forwards the packet. If the entry decided as
// the owner, the decision is copied to the successor. An entry that relayed the
// packet gets a hint.
func (m *Machine) place(svc *service, packet Packet, target uint32, isDecision bool) Decision {
	if !m.isUsable(target, svc.index) {
		if target != 0 && m.backends[target].isTakenOut {
			return drop(ReasonTakenOut)
		}
		return drop(ReasonNoBackend)
	}
	line := m.remember(svc, packet, target)
	if isDecision {
		if next := m.ownerBut(svc, packet.Flow, self); next != none {
			m.queue(&m.entries[next].copies, next, toPlacement(line))
		}
	}
	if packet.RelayedBy != 0 {
		m.hint(packet.RelayedBy, toPlacement(line))
	}
	return forward(target)
}

func (m *Machine) hint(entryHash uint64, p placement) {
	// An entry that is not ready relays every packet, so that hints would flow
	// without end.
	if i, ok := m.entryByHash[entryHash]; ok && m.entries[i].isReady && i != self {
		m.queue(&m.entries[i].hints, i, p)
	}
}

// Observe takes note of a packet from a backend server to a caller. It does not
// allocate.
func (m *Machine) Observe(now time.Time, reply Reply) {
	m.observeClock(now)
	if int(reply.Backend) >= len(m.backends) || !m.backends[reply.Backend].isPresent {
		return
	}
	b := &m.backends[reply.Backend]
	b.lastReply = m.sec
	isClosing := reply.Protocol == ProtocolTCP && reply.Flags&(FlagFIN|FlagRST) != 0
	line := m.cache.Lookup(reply.Flow, m.sec)
	switch {
	case line == nil:
		m.learn(reply, b, isClosing)
	case line.Target == reply.Backend:
		line.Seen, line.Replied, line.Unanswered = m.sec, m.sec, 0
		line.Flags &^= tracker.FlagAsked | tracker.FlagReset
		if isClosing {
			line.Flags |= tracker.FlagClosed
		}
	}
}

// learn caches a flow of an unsettled bucket whose backend server is known from its
// response, which saves a relayed packet. In settled buckets it would gain nothing,
// and a late response to a closed flow could do harm.
func (m *Machine) learn(reply Reply, b *backend, isClosing bool) {
	svc := m.services[b.service]
	if isClosing || svc.buckets[tabler.Bucket(reply.Flow)].state == settled || m.mode == modeStarting {
		return
	}
	line := tracker.Line{
		Fingerprint: reply.Flow, Target: reply.Backend,
		Seen: m.sec, Replied: m.sec, Flags: tracker.FlagCopied,
	}
	if reply.Protocol == ProtocolUDP {
		line.Flags |= tracker.FlagUDP
	}
	m.cache.Insert(line)
}
