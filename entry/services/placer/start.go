package placer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
)

// starter is the progress of an entry towards owning flows.
type starter struct {
	since time.Time
	// changedAt is the time of the last change of the view.
	changedAt   time.Time
	hasMembers  bool
	isRequested bool
}

const (
	// viewLimit is how long an entry waits for ViewCurrent.
	viewLimit = 3 * time.Second
	// askAgain is the period at which an unanswered request is repeated.
	askAgain = 2 * time.Second
)

func (m *Machine) beginStart() {
	m.mode = modeStarting
	m.hasView = false
	m.start.since, m.start.changedAt, m.start.isRequested = m.now, m.now, false
	for i := range m.entries {
		m.entries[i].transferred = nil
	}
	m.announce(false)
}

// thaw treats a freeze of the process like a restart: the view and the digests may
// be stale.
func (m *Machine) thaw() {
	m.emit(StateChanged{Event: EventThawed})
	m.beginStart()
	m.changeAllOwners()
	for i := range m.entries {
		m.entries[i].outbox = outbox{}
	}
}

// announce changes the own standing and sends it to all, three times in case that
// messages are lost.
func (m *Machine) announce(isReady bool) {
	m.entries[self].isReady = isReady
	m.standing = max(m.standing+1, uint64(max(m.now.UnixNano(), 0)))
	m.announceAt = []time.Time{m.now, m.now.Add(time.Second), m.now.Add(3 * time.Second)}
}

func (m *Machine) advanceStart() {
	m.sendAnnouncement()
	m.askStandings()
	if m.mode != modeStarting {
		return
	}
	if !m.start.isRequested {
		isCurrent := m.hasView || m.now.Sub(m.start.since) >= viewLimit
		// All entries have heard of a change after the hold time, so that their
		// transfers name the buckets that it contests.
		isSteady := m.now.Sub(m.start.changedAt) >= m.config.Hold
		if isCurrent && isSteady && m.start.hasMembers && m.catalog.Services != nil {
			m.beginTransfer()
		}
		return
	}
	for _, svc := range m.services {
		if svc.isOpen && !m.isTransferred(svc) {
			return
		}
	}
	m.becomeReady()
}

// beginTransfer puts the newest tables in force, as nothing depends on them yet, and
// asks all entries for what they know beyond the tables.
func (m *Machine) beginTransfer() {
	m.start.isRequested = true
	for _, svc := range m.services {
		m.changeView(svc)
		if svc.isPending() {
			m.activate(svc)
		}
		svc.buckets = [len(svc.buckets)]bucket{}
		svc.ownerChanges = 0
	}
	for i := range m.entries {
		m.entries[i].askedAt = time.Time{}
	}
	m.askStandings()
}

// isTransferred reports whether the entries of the domain have sent enough: a
// majority, or all that are ready if those are fewer. If all are starting, there is
// nothing to know.
func (m *Machine) isTransferred(svc *service) bool {
	ready, done, answered := 0, 0, 0
	for _, i := range svc.members {
		e := &m.entries[i]
		if e.standing != 0 {
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
	m.announce(true)
	m.changeAllOwners()
	for _, svc := range m.services {
		// Buckets that are contested here may be settled elsewhere by now, so that
		// other entries than the owners have placed flows.
		svc.ownerChanges = max(svc.ownerChanges, askAllChanges)
	}
}

func (m *Machine) sendAnnouncement() {
	if len(m.announceAt) == 0 || m.announceAt[0].After(m.now) {
		return
	}
	m.announceAt = m.announceAt[1:]
	for i := range m.entries {
		if uint16(i) != self && m.entries[i].isLive {
			m.send(uint16(i), messenger.Standing{IsReady: m.mode == modeReady, Sequence: m.standing})
		}
	}
}

// askStandings asks the entries whose standing is not known and, while starting,
// those whose transfer is not complete.
func (m *Machine) askStandings() {
	for i := range m.entries {
		e := &m.entries[i]
		if uint16(i) == self || !e.isLive || m.now.Sub(e.askedAt) < askAgain {
			continue
		}
		wants := m.mode == modeStarting && m.start.isRequested && m.lacksTransfer(uint16(i))
		if e.standing != 0 && !wants {
			continue
		}
		e.askedAt = m.now
		m.send(uint16(i), messenger.Standing{
			IsReady: m.mode == modeReady, Sequence: m.standing, WantsAnswer: true, WantsTransfer: wants,
		})
	}
}

func (m *Machine) lacksTransfer(from uint16) bool {
	for _, svc := range m.services {
		if svc.isOpen && slices.Contains(svc.members, from) && !m.entries[from].transferred[svc.index] {
			return true
		}
	}
	return false
}

func (m *Machine) receiveStanding(from uint16, msg messenger.Standing) {
	e := &m.entries[from]
	if msg.Sequence > e.standing {
		e.standing = msg.Sequence
		if e.isReady != msg.IsReady {
			e.isReady = msg.IsReady
			// A starting entry asks it at once.
			e.askedAt = time.Time{}
			m.changeAllOwners()
		}
	}
	if msg.WantsAnswer {
		m.send(from, messenger.Standing{IsReady: m.mode == modeReady, Sequence: m.standing})
	}
	if msg.WantsTransfer && m.mode == modeReady {
		m.sendTransfer(from)
	}
}

// sendTransfer sends a starting entry what it must know beyond the tables: former
// targets of contested buckets, and all flows that are not on the table's target.
func (m *Machine) sendTransfer(to uint16) {
	for _, svc := range m.services {
		if !svc.isOpen || !slices.Contains(svc.members, to) {
			continue
		}
		isOnItsWay := slices.ContainsFunc(m.entries[to].outbox.streams, func(s outgoing) bool {
			return s.service == svc.index && s.phase == messenger.PhaseTransfer
		})
		if !isOnItsWay {
			m.publish(svc, []uint16{to}, messenger.PhaseTransfer, m.listTransfer(svc))
		}
	}
}

func (m *Machine) listTransfer(svc *service) []digestLine {
	var lines []digestLine
	for i := range svc.buckets {
		b := &svc.buckets[i]
		if b.state == settled {
			continue
		}
		formers := append(b.formers[:len(b.formers):len(b.formers)], svc.active[i])
		for _, former := range formers {
			if former != 0 {
				lines = append(lines, digestLine{key: uint64(i), target: former, isFormer: true})
			}
		}
	}
	listed := make(map[uint64]digestLine)
	for key, e := range svc.exceptions {
		listed[key] = digestLine{key: key, target: e.target, isUDP: e.isUDP}
	}
	m.eachDeviating(svc, func(line digestLine) { listed[line.key] = line })
	return append(lines, toLines(listed)...)
}

// receiveTransfer takes over a part of a transfer.
func (m *Machine) receiveTransfer(from uint16, svc *service, part messenger.Digest) {
	if m.mode != modeStarting {
		m.addLines(svc, part, 0)
		return
	}
	m.eachLine(part, func(line digestLine) {
		if !line.isFormer {
			m.addException(svc, line, 0)
			return
		}
		index := uint16(line.key)
		b := &svc.buckets[index]
		b.contest()
		if line.target != svc.active[index] {
			b.addFormer(line.target)
		}
	})
	// Parts come in order, as each waits for the acknowledgement of the former.
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
	e.isReady, e.standing, e.transferred = false, 0, nil
	e.outbox, e.copies, e.hints = outbox{}, nil, nil
	for _, svc := range m.services {
		delete(svc.round.received, i)
	}
}
