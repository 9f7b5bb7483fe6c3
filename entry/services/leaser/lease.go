package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// lease is what the holder keeps of a record.
type lease struct {
	until       time.Time
	incarnation uint64
	sequence    uint64
	// renewed is set once the backend server itself has announced to this
	// holder.
	renewed bool
	// ramp is the step last decided here, to restore after a false lapse.
	ramp    uint8
	accepts bool
	stepAt  time.Time
	// responses and failures count what was seen since the last step.
	responses, failures uint32
}

// checkHolding starts or ends the lease of a record as its holder changes.
func (m *Machine) checkHolding(record announcer.Record) {
	held := m.leases[record.ID]
	if m.holderOf(record.Host, record.DataCentre) != m.settings.Name {
		delete(m.leases, record.ID)
		return
	}
	if held == nil || held.incarnation != record.Incarnation {
		// A new holder does not know when the last renewal came, so it starts a
		// full lease.
		m.leases[record.ID] = &lease{
			until: m.now.Add(m.settings.Lease), incarnation: record.Incarnation, sequence: record.Sequence,
			ramp: record.RampStep, accepts: record.AcceptsNewFlows(), stepAt: m.now.Add(rampPeriod),
		}
		return
	}
	if record.Lapsed && held.renewed && m.now.Before(held.until.Add(grace)) {
		// Another entry has lost sight of a backend server that renews here.
		m.counts.Restores++
		restored := record.WithLapsed(false)
		restored.RampStep, restored.Holder = held.ramp, m.settings.Name
		m.decide(restored)
		return
	}
	if record.Sequence > held.sequence {
		// An announcement made to another entry is as good as a renewal.
		held.sequence, held.renewed = record.Sequence, true
		held.until = m.now.Add(m.settings.Lease)
	}
	if starts := record.AcceptsNewFlows() && !held.accepts; starts || record.RampStep != held.ramp {
		held.stepAt = m.now.Add(rampPeriod)
		held.responses, held.failures = 0, 0
	}
	held.ramp, held.accepts = record.RampStep, record.AcceptsNewFlows()
}

// renewHeld extends the lease, and takes the record over from a former holder.
func (m *Machine) renewHeld(r messenger.Renewal) {
	id := announcer.ID{Service: r.Service, Host: r.Host}
	record, ok := m.records[id]
	held := m.leases[id]
	if !ok || held == nil || r.Incarnation != record.Incarnation || r.Sequence <= held.sequence {
		return
	}
	m.counts.Renewed++
	held.sequence, held.renewed = r.Sequence, true
	held.until = m.now.Add(m.settings.Lease)
	if record.Lapsed {
		m.counts.Restores++
		record.Sequence = r.Sequence
		restored := record.WithLapsed(false)
		restored.Holder, restored.RampStep = m.settings.Name, 0
		m.decide(restored)
		return
	}
	if record.Holder != m.settings.Name {
		m.counts.Adoptions++
		m.decide(record.WithHolder(m.settings.Name))
	}
}

func (m *Machine) tick() {
	if m.now.Sub(m.lastTick) > thawThreshold {
		// Renewals may have got lost while the process did not run.
		for _, held := range m.leases {
			held.until = m.now.Add(m.settings.Lease)
		}
	}
	m.lastTick = m.now
	ids := make([]announcer.ID, 0, len(m.leases))
	for id, held := range m.leases {
		if !m.now.Before(held.until.Add(grace)) || m.isColdDue(held) || !m.now.Before(held.stepAt) {
			ids = append(ids, id)
		}
	}
	sortIDs(ids)
	for _, id := range ids {
		m.checkLease(m.records[id], m.leases[id])
	}
	m.checkAllReachable()
	m.flush()
}

func (m *Machine) checkLease(record announcer.Record, held *lease) {
	switch {
	case !m.now.Before(held.until.Add(grace)):
		if !record.Lapsed && m.mayLapse(record) {
			m.counts.Lapses++
			held.renewed = false
			m.decide(m.own(record.WithLapsed(true)))
		}
	case m.isColdDue(held):
		m.restartRamp(record, held)
	case !m.now.Before(held.stepAt):
		m.raiseRamp(record, held)
	}
}

// mayLapse reports whether this entry may tell others that a lease has lapsed.
// An entry that has lost most of its data centre is probably cut off itself, and
// its news would overrule the records of the entries that still get renewals.
// The same holds for another data centre out of reach, unless the backend server
// has renewed here.
func (m *Machine) mayLapse(record announcer.Record) bool {
	if record.DataCentre != m.settings.DataCentre {
		return record.Holder == m.settings.Name
	}
	return len(m.byCentre[m.settings.DataCentre]) >= m.lost
}

func (m *Machine) own(record announcer.Record) announcer.Record {
	record.Holder = m.settings.Name
	return record
}

func (m *Machine) isColdDue(held *lease) bool {
	return held.failures >= coldFailures && held.failures >= held.responses
}

// restartRamp puts a backend server that fails back to the first step.
func (m *Machine) restartRamp(record announcer.Record, held *lease) {
	held.responses, held.failures = 0, 0
	held.stepAt = m.now.Add(rampPeriod)
	if record.RampStep == 0 {
		return
	}
	m.counts.ColdRestarts++
	held.ramp = 0
	m.decide(m.own(record.WithRampStep(0)))
}

// raiseRamp goes one step up if responses were seen since the last step.
func (m *Machine) raiseRamp(record announcer.Record, held *lease) {
	held.stepAt = m.now.Add(rampPeriod)
	seen := held.responses > 0
	held.responses, held.failures = 0, 0
	if !seen || record.RampStep >= announcer.RampSteps || !record.AcceptsNewFlows() {
		return
	}
	m.counts.RampSteps++
	held.ramp = record.RampStep + 1
	m.decide(m.own(record.WithRampStep(held.ramp)))
}

// observe counts what the packet path has seen, or forwards it to the holder.
// Only what may change a record is forwarded.
func (m *Machine) observe(in Observed) {
	record, ok := m.records[in.ID]
	if !ok {
		return
	}
	if held := m.leases[in.ID]; held != nil {
		held.responses += in.Responses
		held.failures += in.Failures
		return
	}
	if in.Failures == 0 && record.RampStep >= announcer.RampSteps {
		return
	}
	seen := m.batchFor(m.holderOf(record.Host, record.DataCentre)).observations
	o := seen[in.ID]
	seen[in.ID] = messenger.Observation{
		Service: in.ID.Service, Host: in.ID.Host, Responses: o.Responses + in.Responses, Failures: o.Failures + in.Failures,
	}
}

// batch gathers what goes to one holder.
type batch struct {
	renewals     map[announcer.ID]messenger.Renewal
	observations map[announcer.ID]messenger.Observation
}

func (m *Machine) batchFor(holder string) *batch {
	b := m.pending[holder]
	if b == nil {
		b = &batch{
			renewals:     make(map[announcer.ID]messenger.Renewal),
			observations: make(map[announcer.ID]messenger.Observation),
		}
		m.pending[holder] = b
	}
	return b
}

func (m *Machine) flush() {
	if m.now.Before(m.flushAt) || len(m.pending) == 0 {
		return
	}
	m.flushAt = m.now.Add(flushPeriod)
	holders := make([]string, 0, len(m.pending))
	for name := range m.pending {
		holders = append(holders, name)
	}
	slices.Sort(holders)
	for _, name := range holders {
		if to, live := m.members[name]; live {
			m.repeat(name, m.pending[name])
			m.emit(Forward{To: to, Batch: m.pending[name].message()})
		}
	}
	clear(m.pending)
}

// retry forwards renewals again that could not be delivered, to the holder that
// the record has by now, unless there was a later renewal.
func (m *Machine) retry(b messenger.RenewalBatch) {
	for _, r := range b.Renewals {
		id := announcer.ID{Service: r.Service, Host: r.Host}
		record, ok := m.records[id]
		if last := m.sent[id]; !ok || last.Sequence != r.Sequence || m.now.Sub(last.at) > repeatPeriod {
			continue
		}
		holder := m.holderOf(record.Host, record.DataCentre)
		if holder == m.settings.Name {
			m.renewHeld(r)
			continue
		}
		pending := m.batchFor(holder).renewals
		if _, isNewer := pending[id]; !isNewer {
			m.counts.Retried++
			pending[id] = r
		}
	}
}

// sentRenewal is a renewal that was forwarded and may have got lost.
type sentRenewal struct {
	messenger.Renewal
	holder string
	at     time.Time
}

// repeat adds the renewals that were lately sent to the same holder, so that the
// loss of one message does not lose a renewal. It causes no message of its own.
func (m *Machine) repeat(holder string, b *batch) {
	for id, r := range b.renewals {
		at := m.now
		if last, ok := m.sent[id]; ok && last.Renewal == r {
			at = last.at
		}
		m.sent[id] = sentRenewal{Renewal: r, holder: holder, at: at}
	}
	for id, r := range m.sent {
		switch {
		case m.now.Sub(r.at) > repeatPeriod:
			delete(m.sent, id)
		case r.holder == holder:
			b.renewals[id] = r.Renewal
		}
	}
}

func (b *batch) message() messenger.RenewalBatch {
	var msg messenger.RenewalBatch
	for _, r := range b.renewals {
		msg.Renewals = append(msg.Renewals, r)
	}
	for _, o := range b.observations {
		msg.Observations = append(msg.Observations, o)
	}
	slices.SortFunc(msg.Renewals, func(a, b messenger.Renewal) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
	})
	slices.SortFunc(msg.Observations, func(a, b messenger.Observation) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
	})
	return msg
}

func (m *Machine) acceptBatch(b messenger.RenewalBatch) {
	for _, r := range b.Renewals {
		if m.leases[announcer.ID{Service: r.Service, Host: r.Host}] == nil {
			// The sender sees other members; the next renewal finds the holder.
			m.counts.RenewalsMisdirected++
			continue
		}
		m.renewHeld(r)
	}
	for _, o := range b.Observations {
		if held := m.leases[announcer.ID{Service: o.Service, Host: o.Host}]; held != nil {
			held.responses += o.Responses
			held.failures += o.Failures
		}
	}
}
