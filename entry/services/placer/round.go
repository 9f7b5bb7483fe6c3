package placer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// round is the exchange of digests that settles the contested buckets of a service.
type round struct {
	isActive bool
	startAt  time.Time
	// version is the hash of the active view and the owners. completedVersion is the version of the
	// last completed round.
	version, completedVersion uint64
	// phase is the phase of the last digest published, PhaseTransfer if none was published.
	phase messenger.Phase
	// number counts the rounds that started without digests of an earlier round.
	number uint32
	// received is the progress of the digests of each peer for receivedVersion.
	received        map[uint16]*digestProgress
	receivedVersion uint64
}

// digestProgress is how much of the digests of one peer has been received, by phase.
type digestProgress [messenger.Phases]struct {
	stream uint64
	next   uint16
	isDone bool
}

// accept records a received part. It reports whether the part is the next one of its digest, and
// whether it may be acknowledged.
func (p *digestProgress) accept(part messenger.Digest) (isNew, isValid bool) {
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

func (m *Machine) roundVersion(svc *service) uint64 {
	version := svc.activeView
	for _, i := range svc.owners {
		version = hasher.Pair(version, m.entries[i].hash)
	}
	return version
}

// scheduleRound starts a round after the settle delay if there are contested buckets and no further
// change is pending.
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
	r.version = m.roundVersion(svc)
	// Digests for the same version stay valid if only the owners have changed and changed back.
	// Activating a table sets receivedVersion to 0.
	if r.receivedVersion != r.version || r.received == nil {
		r.received = make(map[uint16]*digestProgress)
		r.receivedVersion = r.version
		r.number++
	}
}

func (m *Machine) cancelRound(svc *service) {
	if svc.round.isActive {
		svc.round.isActive = false
		m.cancelDigests(svc)
	}
}

// receiveRound processes a part of a digest of a round. It returns false if the part must not be
// acknowledged, because it belongs to another version.
func (m *Machine) receiveRound(from uint16, svc *service, part messenger.Digest) bool {
	if !m.entries[from].isReady {
		// Its readiness message must have been lost. Sequence 0 makes this entry request it again.
		m.entries[from].readinessSequence = 0
	}
	r := &svc.round
	if !r.isActive {
		if part.Version != m.roundVersion(svc) || svc.isPending() {
			return false
		}
		if part.Version != r.completedVersion {
			m.beginRound(svc)
		}
	}
	if part.Version != r.version {
		return false
	}
	p := r.received[from]
	if p == nil {
		p = &digestProgress{}
		r.received[from] = p
	}
	isNew, isValid := p.accept(part)
	if isNew {
		m.addItems(svc, part, r.number)
	}
	return isValid
}

// hasDigestsFromAll reports whether the digests of a phase have been received from all owners.
func (m *Machine) hasDigestsFromAll(svc *service, phase messenger.Phase) bool {
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

// startingTimeout bounds how long a round waits for starting entries.
const startingTimeout = 30 * time.Second

// mustAwaitStartingEntry reports whether the round must wait for an entry that is starting again.
// After a freeze, that entry may know flows that no other does. The round restarts with it once it
// is ready.
func (m *Machine) mustAwaitStartingEntry(svc *service) bool {
	if m.now.Sub(svc.round.startAt) > startingTimeout {
		return false
	}
	return slices.ContainsFunc(svc.members, func(i uint16) bool { return m.entries[i].isStarting })
}

func (m *Machine) advanceRound(svc *service) {
	r := &svc.round
	for r.isActive {
		switch {
		case r.phase == messenger.PhaseTransfer && m.mustAwaitStartingEntry(svc):
			return
		case r.phase == messenger.PhaseTransfer && !r.startAt.After(m.now):
			m.publishRound(svc, messenger.PhaseOwned, m.listOwned(svc))
		case r.phase == messenger.PhaseOwned && m.hasDigestsFromAll(svc, messenger.PhaseOwned):
			m.publishRound(svc, messenger.PhaseCorrection, m.listCorrection(svc))
		case r.phase == messenger.PhaseCorrection && m.hasDigestsFromAll(svc, messenger.PhaseCorrection):
			m.changeStates(svc, contested, informed, EventDigestsComplete)
			m.publishRound(svc, messenger.PhaseComplete, nil)
		case r.phase == messenger.PhaseComplete && m.hasDigestsFromAll(svc, messenger.PhaseComplete):
			m.settle(svc)
		default:
			return
		}
	}
}

func (m *Machine) publishRound(svc *service, phase messenger.Phase, items []digestItem) {
	svc.round.phase = phase
	for _, item := range items {
		m.addException(svc, item, svc.round.number)
	}
	m.publish(svc, svc.members, phase, items)
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
	svc.round.completedVersion = svc.round.version
	m.changeStates(svc, informed, settled, EventSettled)
	for i := range svc.buckets {
		svc.buckets[i].formerTargets = [maxFormerTargets]uint32{}
	}
	m.settleExceptions(svc)
	svc.ownerChanges = 0
}

// settleExceptions marks the exceptions of the round as replicated. It removes those that only an
// earlier round listed, which ended early: some entries may lack them, and this round did not list
// them because the table already has their target. Their flows are listed again when a table moves
// them.
func (m *Machine) settleExceptions(svc *service) {
	for key, e := range svc.exceptions {
		if !e.isReplicated && e.round != svc.round.number && e.target == svc.active[allocator.Bucket(key)] {
			delete(svc.exceptions, key)
			continue
		}
		e.isReplicated = true
		svc.exceptions[key] = e
	}
}

// eachDeviating calls f for the cached flows of unsettled buckets whose target differs from the
// active table and which are not replicated exceptions.
func (m *Machine) eachDeviating(svc *service, f func(digestItem)) {
	m.eachDeviatingFrom(svc, svc.active, f)
}

// eachDeviatingFrom does the same as eachDeviating for any table.
func (m *Machine) eachDeviatingFrom(svc *service, table *allocator.Table, f func(digestItem)) {
	m.cache.Each(m.sec, func(cached *tracker.Flow) {
		bucket := allocator.Bucket(cached.Fingerprint)
		if m.backends[cached.Target].service != svc.index || svc.buckets[bucket].state == settled ||
			cached.Target == table[bucket] || !m.backends[cached.Target].isPresent {
			return
		}
		key := exceptionKey(cached.Fingerprint)
		if e, ok := svc.exceptions[key]; ok && e.isReplicated && e.target == cached.Target {
			return
		}
		f(digestItem{key: key, target: cached.Target, isUDP: cached.Has(tracker.FlagUDP)})
	})
}

// eachUnreplicated calls f for the exceptions of unsettled buckets that some entries may lack,
// because the sender of the digest died or the round ended early.
func (m *Machine) eachUnreplicated(svc *service, f func(digestItem, exception)) {
	for key, e := range svc.exceptions {
		bucket := allocator.Bucket(key)
		if !e.isReplicated && svc.buckets[bucket].state != settled && e.target != svc.active[bucket] &&
			m.backends[e.target].isPresent {
			f(digestItem{key: key, target: e.target, isUDP: e.isUDP}, e)
		}
	}
}

// listOwned returns the flows on former targets that this entry owns.
func (m *Machine) listOwned(svc *service) []digestItem {
	listed := make(map[uint64]digestItem)
	m.eachUnreplicated(svc, func(item digestItem, _ exception) {
		if m.owner(svc, item.key) == self {
			listed[item.key] = item
		}
	})
	// The cache takes precedence.
	m.eachDeviating(svc, func(item digestItem) {
		if m.owner(svc, item.key) == self {
			listed[item.key] = item
		}
	})
	return toItems(listed)
}

// listCorrection returns the flows on former targets that no digest of this round lists. There are
// few: the packets of a flow are spread over all entries, so that its owner usually knows it, but
// may have missed a flow that is mostly idle.
func (m *Machine) listCorrection(svc *service) []digestItem {
	listed := make(map[uint64]digestItem)
	m.eachUnreplicated(svc, func(item digestItem, e exception) {
		if e.round != svc.round.number {
			listed[item.key] = item
		}
	})
	m.eachDeviating(svc, func(item digestItem) {
		if e, ok := svc.exceptions[item.key]; !ok || e.round != svc.round.number {
			listed[item.key] = item
		}
	})
	return toItems(listed)
}

func toItems(listed map[uint64]digestItem) []digestItem {
	items := make([]digestItem, 0, len(listed))
	for _, item := range listed {
		items = append(items, item)
	}
	return items
}
