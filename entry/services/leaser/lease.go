package leaser

import (
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// lease is the state that the holder of a record keeps for it.
type lease struct {
	expiresAt   time.Time
	term        uint64
	incarnation uint64
	sequence    uint64
	// renewed is set once this holder has received a renewal from the backend
	// server.
	renewed bool
	// rampStep is the last step set by this holder. It is restored after a false lapse.
	rampStep        uint8
	acceptsNewFlows bool
	nextStepAt      time.Time
	// responses and failures are counted since the last ramp step.
	responses, failures uint32
}

// updateLease starts, updates or ends the lease of a record after the record or its
// holder has changed.
func (m *Machine) updateLease(record announcer.Record) {
	held := m.leases[record.ID]
	if m.holderOf(record.Host, record.DataCentre) != m.settings.Name {
		delete(m.leases, record.ID)
		return
	}
	if held == nil || held.term != record.Term || held.incarnation != record.Incarnation {
		// A new holder does not know when the last renewal arrived, so it starts
		// a full lease.
		m.leases[record.ID] = &lease{
			expiresAt: m.now.Add(m.settings.Lease), term: record.Term, incarnation: record.Incarnation, sequence: record.Sequence,
			rampStep: record.RampStep, acceptsNewFlows: record.AcceptsNewFlows(), nextStepAt: m.now.Add(rampPeriod),
		}
		return
	}
	if record.Lapsed && held.renewed && m.now.Before(held.expiresAt.Add(gracePeriod)) {
		// Another entry has marked a backend server as lapsed that renews its lease here.
		m.counts.Restores++
		restored := record.WithLapsed(false)
		restored.RampStep, restored.Holder = held.rampStep, m.settings.Name
		m.changeRecord(restored)
		return
	}
	if record.Sequence > held.sequence {
		// An announcement that another entry has applied counts as a renewal.
		held.sequence, held.renewed = record.Sequence, true
		held.expiresAt = m.now.Add(m.settings.Lease)
	}
	if startsAccepting := record.AcceptsNewFlows() && !held.acceptsNewFlows; startsAccepting || record.RampStep != held.rampStep {
		held.nextStepAt = m.now.Add(rampPeriod)
		held.responses, held.failures = 0, 0
	}
	held.rampStep, held.acceptsNewFlows = record.RampStep, record.AcceptsNewFlows()
}

// renewLease extends the lease. It restores a lapsed record and takes the record over
// from a former holder.
func (m *Machine) renewLease(r messenger.Renewal) {
	id := announcer.ID{Service: r.Service, Host: r.Host}
	record, ok := m.records[id]
	held := m.leases[id]
	if !ok || held == nil || r.Incarnation != record.Incarnation || r.Sequence <= held.sequence {
		return
	}
	claim, _, ok := m.claimAddress(record.Announcement)
	if !ok {
		m.counts.AddressConflicts++
		return
	}
	m.counts.Renewed++
	held.sequence, held.renewed = r.Sequence, true
	held.expiresAt = m.now.Add(m.settings.Lease)
	if record.Lapsed {
		m.counts.Restores++
		record.Sequence = r.Sequence
		restored := record.WithLapsed(false).WithClaim(claim)
		restored.Holder, restored.RampStep = m.settings.Name, 0
		m.changeRecord(restored)
		return
	}
	if claim != record.Claim {
		record.Sequence = r.Sequence
		m.changeRecord(record.WithHolder(m.settings.Name).WithClaim(claim))
		return
	}
	if record.Holder != m.settings.Name {
		m.counts.Adoptions++
		m.changeRecord(record.WithHolder(m.settings.Name))
	}
}

func (m *Machine) tick() {
	if m.now.Sub(m.lastTick) > pauseThreshold {
		// Renewals may have been lost while the process was paused.
		for _, held := range m.leases {
			held.expiresAt = m.now.Add(m.settings.Lease)
		}
		for id := range m.announcedAt {
			m.announcedAt[id] = m.now
		}
	}
	m.lastTick = m.now
	ids := make([]announcer.ID, 0, len(m.leases))
	for id, held := range m.leases {
		if !m.now.Before(held.expiresAt.Add(gracePeriod)) || m.needsRampRestart(held) || !m.now.Before(held.nextStepAt) {
			ids = append(ids, id)
		}
	}
	sortIDs(ids)
	for _, id := range ids {
		m.checkLease(m.records[id], m.leases[id])
	}
	m.updateAllReachability()
	m.flush()
}

func (m *Machine) checkLease(record announcer.Record, held *lease) {
	switch {
	case !m.now.Before(held.expiresAt.Add(gracePeriod)):
		if !record.Lapsed && m.canDeclareLapsed(record) {
			m.counts.Lapses++
			held.renewed = false
			m.changeRecord(m.withOwnHolder(record.WithLapsed(true)))
		}
		if !m.now.Before(held.expiresAt.Add(maxAnnouncementDelay - m.settings.Lease)) {
			// The last renewal came from another writer if the backend server announces itself now.
			held.sequence = record.Sequence
		}
	case m.needsRampRestart(held):
		m.restartRamp(record, held)
	case !m.now.Before(held.nextStepAt):
		m.raiseRamp(record, held)
	}
}

// canDeclareLapsed reports whether this entry may gossip that a lease has expired.
// An entry that has lost most entries of its data centre is probably partitioned
// itself, and its change would override the records of the entries that still
// receive renewals. The same applies to the records of another data centre that is
// unreachable, unless the backend server has renewed its lease here.
func (m *Machine) canDeclareLapsed(record announcer.Record) bool {
	if record.DataCentre != m.settings.DataCentre {
		return record.Holder == m.settings.Name
	}
	return len(m.namesByDataCentre[m.settings.DataCentre]) >= m.recentDeaths
}

func (m *Machine) withOwnHolder(record announcer.Record) announcer.Record {
	record.Holder = m.settings.Name
	return record
}

func (m *Machine) needsRampRestart(held *lease) bool {
	return held.failures >= rampRestartFailures && held.failures >= held.responses
}

// restartRamp restarts the slow start of a failing backend server at the first step.
func (m *Machine) restartRamp(record announcer.Record, held *lease) {
	held.responses, held.failures = 0, 0
	held.nextStepAt = m.now.Add(rampPeriod)
	if record.RampStep == 0 {
		return
	}
	m.counts.ColdRestarts++
	held.rampStep = 0
	m.changeRecord(m.withOwnHolder(record.WithRampStep(0)))
}

// raiseRamp advances the slow start by one step if responses were counted since the last step.
func (m *Machine) raiseRamp(record announcer.Record, held *lease) {
	held.nextStepAt = m.now.Add(rampPeriod)
	hasResponses := held.responses > 0
	held.responses, held.failures = 0, 0
	if !hasResponses || record.RampStep >= announcer.RampSteps || !record.AcceptsNewFlows() {
		return
	}
	m.counts.RampSteps++
	held.rampStep = record.RampStep + 1
	m.changeRecord(m.withOwnHolder(record.WithRampStep(held.rampStep)))
}
