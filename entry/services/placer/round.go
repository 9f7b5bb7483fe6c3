package placer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/tabler"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// round is the exchange of digests that settles the contested buckets of a service.
type round struct {
	isActive bool
	startAt  time.Time
	// version is the hash of the active view and the owners, finished that of the
	// last round that was completed.
	version, finished uint64
	// phase is that of the last digest published, PhaseTransfer if none was.
	phase messenger.Phase
	// number counts the rounds that started without former digests.
	number uint32
	// received is what has come from each peer for receivedVersion.
	received        map[uint16]*progress
	receivedVersion uint64
}

// progress is what has come of the digests of one peer, by phase.
type progress [messenger.Phases]struct {
	stream uint64
	next   uint16
	isDone bool
}

// take reports whether the part is the next one of its digest, and whether it may
// be acknowledged.
func (p *progress) take(part messenger.Digest) (isNew, isValid bool) {
	state := &p[part.Phase]
	switch {
	case part.Stream < state.stream:
		return false, true
	case part.Stream > state.stream:
		if part.Part != 0 {
			return false, false
		}
		state.stream, state.next, state.isDone = part.Stream, 0, false
	}
	if part.Part != state.next {
		return false, part.Part < state.next
	}
	state.next++
	state.isDone = part.IsLast
	return true, true
}

func (m *Machine) version(svc *service) uint64 {
	version := svc.activeView
	for _, i := range svc.owners {
		version = hasher.Pair(version, m.entries[i].hash)
	}
	return version
}

// scheduleRound starts a round after the settle delay if there are contested
// buckets and no further change is pending.
func (m *Machine) scheduleRound(svc *service) {
	if svc.countContested() > 0 {
		m.beginRound(svc)
	}
}

func (m *Machine) beginRound(svc *service) {
	if m.mode != modeReady || svc.isPending() {
		return
	}
	m.cancelRound(svc)
	r := &svc.round
	r.isActive, r.phase = true, messenger.PhaseTransfer
	r.startAt = m.now.Add(m.config.SettleDelay)
	r.version = m.version(svc)
	// Digests for the same version stay valid if only the owners have changed back
	// and forth; a table that became active sets receivedVersion to 0.
	if r.receivedVersion != r.version || r.received == nil {
		r.received = make(map[uint16]*progress)
		r.receivedVersion = r.version
		r.number++
	}
}

func (m *Machine) cancelRound(svc *service) {
	if svc.round.isActive {
		svc.round.isActive = false
		m.withdraw(svc)
	}
}

// receiveRound takes a part of a digest of a round. It returns false if the part
// must not be acknowledged, because it belongs to another version.
func (m *Machine) receiveRound(from uint16, svc *service, part messenger.Digest) bool {
	if !m.entries[from].isReady {
		// Its standing must have been lost.
		m.entries[from].standing = 0
	}
	r := &svc.round
	if !r.isActive {
		if part.Version != m.version(svc) || svc.isPending() {
			return false
		}
		if part.Version != r.finished {
			m.beginRound(svc)
		}
	}
	if part.Version != r.version {
		return false
	}
	p := r.received[from]
	if p == nil {
		p = &progress{}
		r.received[from] = p
	}
	isNew, isValid := p.take(part)
	if isNew {
		m.addLines(svc, part, r.number)
	}
	return isValid
}

// hasAll reports whether the digests of a phase have come from all owners.
func (m *Machine) hasAll(svc *service, phase messenger.Phase) bool {
	for _, i := range svc.owners {
		if i == self {
			continue
		}
		if p := svc.round.received[i]; p == nil || !p[phase].isDone {
			return false
		}
	}
	return true
}

// startingLimit bounds how long a round waits for starting entries.
const startingLimit = 30 * time.Second

// awaitsStarting reports whether an entry is starting again. After a freeze it may
// know flows that no other does; the round begins anew with it once it is ready.
func (m *Machine) awaitsStarting(svc *service) bool {
	if m.now.Sub(svc.round.startAt) > startingLimit {
		return false
	}
	return slices.ContainsFunc(svc.members, func(i uint16) bool { return m.entries[i].isStarting })
}

func (m *Machine) advanceRound(svc *service) {
	r := &svc.round
	for r.isActive {
		switch {
		case r.phase == messenger.PhaseTransfer && m.awaitsStarting(svc):
			return
		case r.phase == messenger.PhaseTransfer && !r.startAt.After(m.now):
			m.publishRound(svc, messenger.PhaseOwned, m.listOwned(svc))
		case r.phase == messenger.PhaseOwned && m.hasAll(svc, messenger.PhaseOwned):
			m.publishRound(svc, messenger.PhaseCorrection, m.listCorrection(svc))
		case r.phase == messenger.PhaseCorrection && m.hasAll(svc, messenger.PhaseCorrection):
			m.changeStates(svc, contested, informed, EventInformed)
			m.publishRound(svc, messenger.PhaseInformed, nil)
		case r.phase == messenger.PhaseInformed && m.hasAll(svc, messenger.PhaseInformed):
			m.settle(svc)
		default:
			return
		}
	}
}

func (m *Machine) publishRound(svc *service, phase messenger.Phase, lines []digestLine) {
	svc.round.phase = phase
	for _, line := range lines {
		m.addException(svc, line, svc.round.number)
	}
	m.publish(svc, svc.members, phase, lines)
}

func (m *Machine) changeStates(svc *service, from, to bucketState, event Event) {
	n := 0
	for i := range svc.buckets {
		if svc.buckets[i].state == from {
			svc.buckets[i].state = to
			n++
		}
	}
	if n > 0 {
		m.emit(StateChanged{Event: event, Service: svc.name, Buckets: n})
	}
}

func (m *Machine) settle(svc *service) {
	svc.round.isActive = false
	svc.round.finished = svc.round.version
	m.changeStates(svc, informed, settled, EventSettled)
	for i := range svc.buckets {
		svc.buckets[i].formers = [maxFormers]uint32{}
	}
	m.settleExceptions(svc)
	svc.ownerChanges = 0
}

// settleExceptions makes the exceptions of the round common knowledge. It drops those
// that only an earlier round named, which ended early: some entries may lack them, and
// this round did not name them again because the table leads to their target. Their
// flows are listed anew when a table moves them.
func (m *Machine) settleExceptions(svc *service) {
	for key, e := range svc.exceptions {
		if !e.isCommon && e.round != svc.round.number && e.target == svc.active[tabler.Bucket(key)] {
			delete(svc.exceptions, key)
			continue
		}
		e.isCommon = true
		svc.exceptions[key] = e
	}
}

// eachDeviating calls f for the flows of unsettled buckets, in the cache, that are
// on another target than the active table names and not yet common knowledge.
func (m *Machine) eachDeviating(svc *service, f func(digestLine)) {
	m.eachDeviatingFrom(svc, svc.active, f)
}

// eachDeviatingFrom is eachDeviating for any table.
func (m *Machine) eachDeviatingFrom(svc *service, table *tabler.Table, f func(digestLine)) {
	m.cache.Each(m.sec, func(line *tracker.Line) {
		bucket := tabler.Bucket(line.Fingerprint)
		if m.backends[line.Target].service != svc.index || svc.buckets[bucket].state == settled ||
			line.Target == table[bucket] || !m.backends[line.Target].isPresent {
			return
		}
		key := exceptionKey(line.Fingerprint)
		if e, ok := svc.exceptions[key]; ok && e.isCommon && e.target == line.Target {
			return
		}
		f(digestLine{key: key, target: line.Target, isUDP: line.Has(tracker.FlagUDP)})
	})
}

// eachUncommon calls f for the exceptions of unsettled buckets that some entries may
// lack, because the sender of the digest died or the round ended early.
func (m *Machine) eachUncommon(svc *service, f func(digestLine, exception)) {
	for key, e := range svc.exceptions {
		bucket := tabler.Bucket(key)
		if !e.isCommon && svc.buckets[bucket].state != settled && e.target != svc.active[bucket] &&
			m.backends[e.target].isPresent {
			f(digestLine{key: key, target: e.target, isUDP: e.isUDP}, e)
		}
	}
}

// listOwned returns the flows on former targets that this entry owns.
func (m *Machine) listOwned(svc *service) []digestLine {
	listed := make(map[uint64]digestLine)
	m.eachUncommon(svc, func(line digestLine, _ exception) {
		if m.owner(svc, line.key) == self {
			listed[line.key] = line
		}
	})
	// The cache takes precedence.
	m.eachDeviating(svc, func(line digestLine) {
		if m.owner(svc, line.key) == self {
			listed[line.key] = line
		}
	})
	return toLines(listed)
}

// listCorrection returns the flows on former targets that no digest of this round
// lists. There are few: packets are sprayed, but the owner may not have seen a flow
// that is mostly idle.
func (m *Machine) listCorrection(svc *service) []digestLine {
	listed := make(map[uint64]digestLine)
	m.eachUncommon(svc, func(line digestLine, e exception) {
		if e.round != svc.round.number {
			listed[line.key] = line
		}
	})
	m.eachDeviating(svc, func(line digestLine) {
		if e, ok := svc.exceptions[line.key]; !ok || e.round != svc.round.number {
			listed[line.key] = line
		}
	})
	return toLines(listed)
}

func toLines(listed map[uint64]digestLine) []digestLine {
	lines := make([]digestLine, 0, len(listed))
	for _, line := range listed {
		lines = append(lines, line)
	}
	return lines
}
