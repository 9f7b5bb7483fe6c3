package placer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
)

// startState is the progress of an entry from its start until it may own flows.
type startState struct {
	startedAt time.Time
	// viewChangedAt is the time of the last change of the view.
	viewChangedAt        time.Time
	hasMembers           bool
	hasRequestedTransfer bool
}

const (
	// viewTimeout bounds how long an entry waits for ViewSynchronized.
	viewTimeout = 3 * time.Second
	// readinessRequestInterval is the interval at which an unanswered request is repeated.
	readinessRequestInterval = 2 * time.Second
)

func (m *Machine) beginStart() {
	m.mode = modeStarting
	m.hasView = false
	m.start.startedAt, m.start.viewChangedAt, m.start.hasRequestedTransfer = m.now, m.now, false
	for i := range m.entries {
		m.entries[i].transferred = nil
	}
	m.announceReadiness(false)
}

// restartAfterFreeze treats a freeze of the process like a restart, because the view and the
// digests may be stale.
func (m *Machine) restartAfterFreeze() {
	m.emit(StateChanged{Event: EventFrozen})
	m.beginStart()
	m.updateAllOwners()
	for i := range m.entries {
		m.entries[i].outbox = outbox{}
	}
}

// announceReadiness changes the readiness of this entry and schedules it to be sent to all peers
// three times, in case messages are lost.
func (m *Machine) announceReadiness(isReady bool) {
	m.entries[self].isReady = isReady
	m.readinessSequence = max(m.readinessSequence+1, uint64(max(m.now.UnixNano(), 0)))
	m.announceTimes = []time.Time{m.now, m.now.Add(time.Second), m.now.Add(3 * time.Second)}
}

func (m *Machine) advanceStart() {
	m.sendReadiness()
	m.requestReadiness()
	if m.mode != modeStarting {
		return
	}
	if !m.start.hasRequestedTransfer {
		isCurrent := m.hasView || m.now.Sub(m.start.startedAt) >= viewTimeout
		// After the activation delay all entries have received a change, so that their transfers list
		// the buckets that it contests.
		isStable := m.now.Sub(m.start.viewChangedAt) >= m.config.ActivationDelay
		if isCurrent && isStable && m.start.hasMembers && m.catalog.Services != nil {
			m.beginTransfer()
		}
		return
	}
	for _, svc := range m.services {
		if svc.isConfigured && !m.isTransferred(svc) {
			return
		}
	}
	m.becomeReady()
}

// beginTransfer activates the newest tables, since no flows depend on them yet, and asks all
// entries for what they know beyond the tables.
func (m *Machine) beginTransfer() {
	m.start.hasRequestedTransfer = true
	for _, svc := range m.services {
		m.updateView(svc)
		if svc.isPending() {
			m.activate(svc)
		}
		svc.buckets = [len(svc.buckets)]bucket{}
		svc.ownerChanges = 0
	}
	for i := range m.entries {
		m.entries[i].readinessRequestedAt = time.Time{}
	}
	m.requestReadiness()
}

// isTransferred reports whether enough entries of the domain have sent their transfers: a majority,
// or all ready ones if those are fewer. If all entries are starting, there is nothing to transfer.
func (m *Machine) isTransferred(svc *service) bool {
	ready, done, answered := 0, 0, 0
	for _, i := range svc.members {
		e := &m.entries[i]
		if e.readinessSequence != 0 {
			answered++
		}
		if e.isReady {
			ready++
		}
		if e.transferred[svc.index] {
			done++
		}
	}
	if ready == 0 {
		return answered == len(svc.members)
	}
	return done >= min(ready, (len(svc.members)+1)/2+1) && !svc.isPending()
}

func (m *Machine) becomeReady() {
	m.mode = modeReady
	m.emit(StateChanged{Event: EventReady})
	m.announceReadiness(true)
	m.updateAllOwners()
	for _, svc := range m.services {
		// Other entries may have settled the buckets that are contested here, so that entries other
		// than the owners may have placed flows.
		svc.ownerChanges = max(svc.ownerChanges, queryAllOwnerChanges)
		m.publishUnlisted(svc)
	}
}

// publishUnlisted reports to all peers the cached flows whose target differs from the table and
// which no transfer listed. Peers may have settled their buckets during a freeze of this process.
func (m *Machine) publishUnlisted(svc *service) {
	listed := make(map[uint64]digestItem)
	m.cache.Each(m.sec, func(cached *tracker.Flow) {
		key := exceptionKey(cached.Fingerprint)
		_, isKnown := svc.exceptions[key]
		if b := &m.backends[cached.Target]; !isKnown && b.isPresent && b.service == svc.index &&
			cached.Target != svc.active[allocator.Bucket(cached.Fingerprint)] {
			listed[key] = digestItem{key: key, target: cached.Target, isUDP: cached.Has(tracker.FlagUDP)}
		}
	})
	if len(listed) > 0 {
		m.publish(svc, svc.members, messenger.PhaseUnsolicited, toItems(listed))
	}
}

func (m *Machine) ownReadiness() messenger.Readiness {
	return messenger.Readiness{
		IsReady: m.mode == modeReady, Sequence: m.readinessSequence, IsLeaving: m.mode == modeLeaving,
	}
}

func (m *Machine) sendReadiness() {
	if len(m.announceTimes) == 0 || m.announceTimes[0].After(m.now) {
		return
	}
	m.announceTimes = m.announceTimes[1:]
	for i := range m.entries {
		if uint16(i) != self && m.entries[i].isLive {
			m.send(uint16(i), m.ownReadiness())
		}
	}
}

// requestReadiness asks for the readiness of the entries for which it is unknown and, while
// starting, for the transfers that are not complete.
func (m *Machine) requestReadiness() {
	for i := range m.entries {
		e := &m.entries[i]
		if uint16(i) == self || !e.isLive || m.now.Sub(e.readinessRequestedAt) < readinessRequestInterval {
			continue
		}
		wantsTransfer := m.mode == modeStarting && m.start.hasRequestedTransfer && m.lacksTransfer(uint16(i))
		if e.readinessSequence != 0 && !wantsTransfer {
			continue
		}
		e.readinessRequestedAt = m.now
		readiness := m.ownReadiness()
		readiness.WantsAnswer, readiness.WantsTransfer = true, wantsTransfer
		m.send(uint16(i), readiness)
	}
}

func (m *Machine) lacksTransfer(from uint16) bool {
	for _, svc := range m.services {
		if svc.isConfigured && slices.Contains(svc.members, from) && !m.entries[from].transferred[svc.index] {
			return true
		}
	}
	return false
}

func (m *Machine) receiveReadiness(from uint16, msg messenger.Readiness) {
	e := &m.entries[from]
	if msg.Sequence > e.readinessSequence {
		e.readinessSequence = msg.Sequence
		e.isStarting = !msg.IsReady && !msg.IsLeaving
		if e.isReady != msg.IsReady {
			e.isReady = msg.IsReady
			// An entry that is starting requests its transfer at once.
			e.readinessRequestedAt = time.Time{}
			m.updateAllOwners()
		}
	}
	if msg.WantsAnswer {
		m.send(from, m.ownReadiness())
	}
	if msg.WantsTransfer && m.mode == modeReady {
		m.sendTransfer(from)
	}
}

// sendTransfer sends a starting entry what it needs beyond the tables: the former targets of
// contested buckets, and all flows whose target differs from the table.
func (m *Machine) sendTransfer(to uint16) {
	for _, svc := range m.services {
		if !svc.isConfigured || !slices.Contains(svc.members, to) {
			continue
		}
		isInFlight := slices.ContainsFunc(m.entries[to].outbox.streams, func(s outgoingDigest) bool {
			return s.service == svc.index && s.phase == messenger.PhaseTransfer
		})
		if !isInFlight {
			m.publish(svc, []uint16{to}, messenger.PhaseTransfer, m.listTransfer(svc))
		}
	}
}

func (m *Machine) listTransfer(svc *service) []digestItem {
	var items []digestItem
	for i := range svc.buckets {
		b := &svc.buckets[i]
		if b.state == settled {
			continue
		}
		targets := append(b.formerTargets[:len(b.formerTargets):len(b.formerTargets)], svc.active[i])
		for _, former := range targets {
			if former != 0 {
				items = append(items, digestItem{key: uint64(i), target: former, isFormerTarget: true})
			}
		}
	}
	listed := make(map[uint64]digestItem)
	for key, e := range svc.exceptions {
		listed[key] = digestItem{key: key, target: e.target, isUDP: e.isUDP}
	}
	m.eachDeviating(svc, func(item digestItem) { listed[item.key] = item })
	return append(items, toItems(listed)...)
}

// receiveTransfer applies a part of a transfer.
func (m *Machine) receiveTransfer(from uint16, svc *service, part messenger.Digest) {
	if m.mode != modeStarting {
		m.addItems(svc, part, 0)
		return
	}
	m.eachItem(part, func(item digestItem) {
		if !item.isFormerTarget {
			m.addException(svc, item, 0)
			return
		}
		index := uint16(item.key)
		b := &svc.buckets[index]
		b.contest()
		if item.target != svc.active[index] {
			b.addFormerTarget(item.target)
		}
	})
	// Parts arrive in order, as each is sent after the previous one was acknowledged.
	if part.IsLast {
		e := &m.entries[from]
		if e.transferred == nil {
			e.transferred = make(map[uint16]bool)
		}
		e.transferred[svc.index] = true
	}
}

func (m *Machine) forgetEntry(i uint16) {
	e := &m.entries[i]
	e.isReady, e.isStarting, e.readinessSequence, e.transferred = false, false, 0, nil
	e.outbox, e.copies, e.hints = outbox{}, nil, nil
	for _, svc := range m.services {
		delete(svc.round.received, i)
	}
}
