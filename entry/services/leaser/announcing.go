package leaser

import (
	"cmp"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// applyAnnouncement applies an announcement that changes the record, or renews the lease.
func (m *Machine) applyAnnouncement(a announcer.Announcement) {
	known, ok := m.records[a.ID]
	outlives := ok && m.outlives(a, known)
	if ok && !outlives && m.isStale(a, known) {
		m.counts.Stale++
		m.emit(Answered{Stale: true})
		return
	}
	claim, owner, ok := m.claimAddress(a)
	if !ok {
		m.counts.AddressConflicts++
		m.emit(Answered{AddressOwner: owner})
		return
	}
	switch {
	case outlives:
		m.counts.Reinstated++
		m.applyNew(a, claim, known.Term+1)
	case a.Incarnation > known.Incarnation: // Also if the backend server is unknown.
		m.applyNew(a, claim, known.Term)
	case known.Lapsed && a.Sequence > known.Sequence:
		m.counts.Restores++
		m.applyChange(a, known, 0, claim)
	case a.Sequence > known.Sequence && (differs(a, known.Announcement) || claim != known.Claim):
		m.applyChange(a, known, known.RampStep, claim)
	default:
		m.renew(a)
	}
	m.emit(Answered{})
}

// isStale reports whether a later announcement than a has been applied.
func (m *Machine) isStale(a announcer.Announcement, known announcer.Record) bool {
	held := m.leases[a.ID]
	switch {
	case a.Incarnation != known.Incarnation:
		return a.Incarnation < known.Incarnation
	case held != nil && a.Incarnation == held.incarnation && a.Sequence < held.sequence:
		return true
	case a.Sequence == known.Sequence:
		// A retransmission gets the first response, but only while the record is unchanged and active.
		return known.Lapsed || a != known.Announcement
	default:
		return a.Sequence < known.Sequence
	}
}

// outlives reports whether an announcement that comes before the known one shows that its sender goes on, and
// that the known one is of another writer: the lease of the known one has expired, and a backend server sends
// its own in order, so none from before the known one is still under way after maxAnnouncementDelay.
func (m *Machine) outlives(a announcer.Announcement, known announcer.Record) bool {
	isEarlier := cmp.Or(cmp.Compare(a.Incarnation, known.Incarnation), cmp.Compare(a.Sequence, known.Sequence)) < 0
	hasPaused := m.now.Sub(m.lastTick) > pauseThreshold
	return isEarlier && known.Lapsed && !hasPaused && m.now.Sub(m.announcedAt[a.ID]) >= maxAnnouncementDelay
}

// differs reports whether two announcements differ in more than their sequence.
func differs(a, b announcer.Announcement) bool {
	a.Sequence, b.Sequence = 0, 0
	return a != b
}

func (m *Machine) applyNew(a announcer.Announcement, claim, term uint64) {
	m.counts.Applied++
	m.changeRecord(announcer.Record{Announcement: a, Holder: m.holderOf(a.Host, a.DataCentre), Epoch: 1, Claim: claim, Term: term})
}

func (m *Machine) applyChange(a announcer.Announcement, known announcer.Record, ramp uint8, claim uint64) {
	m.counts.Applied++
	changed := known.WithHolder(m.holderOf(a.Host, a.DataCentre))
	changed.Claim = claim
	changed.Announcement, changed.Lapsed, changed.RampStep = a, false, ramp
	m.changeRecord(changed)
}

// renew processes an announcement without a change: it renews the lease, or queues the
// renewal for the holder. The record stays as it is, so only its holder needs to know.
func (m *Machine) renew(a announcer.Announcement) {
	holder := m.holderOf(a.Host, a.DataCentre)
	renewal := messenger.Renewal{Service: a.Service, Host: a.Host, Incarnation: a.Incarnation, Sequence: a.Sequence}
	if holder == m.settings.Name {
		m.renewLease(renewal)
		return
	}
	m.counts.Forwarded++
	m.batchFor(holder).renewals[a.ID] = renewal
}
