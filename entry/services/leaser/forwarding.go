package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// addObservation counts responses and failures if this entry holds the lease. Otherwise it
// queues them for the holder, but only if they may change the record.
func (m *Machine) addObservation(in Observed) {
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
	observations := m.batchFor(m.holderOf(record.Host, record.DataCentre)).observations
	o := observations[in.ID]
	observations[in.ID] = messenger.Observation{
		Service: in.ID.Service, Host: in.ID.Host, Responses: o.Responses + in.Responses, Failures: o.Failures + in.Failures,
	}
}

// batch collects the renewals and observations that are forwarded to one holder.
type batch struct {
	renewals     map[announcer.ID]messenger.Renewal
	observations map[announcer.ID]messenger.Observation
}

func (m *Machine) batchFor(holder string) *batch {
	b := m.pendingBatches[holder]
	if b == nil {
		b = &batch{
			renewals:     make(map[announcer.ID]messenger.Renewal),
			observations: make(map[announcer.ID]messenger.Observation),
		}
		m.pendingBatches[holder] = b
	}
	return b
}

func (m *Machine) flush() {
	if m.now.Before(m.nextFlush) || len(m.pendingBatches) == 0 {
		return
	}
	m.nextFlush = m.now.Add(flushInterval)
	holders := make([]string, 0, len(m.pendingBatches))
	for name := range m.pendingBatches {
		holders = append(holders, name)
	}
	slices.Sort(holders)
	for _, name := range holders {
		if to, live := m.members[name]; live {
			m.addRetransmissions(name, m.pendingBatches[name])
			m.emit(Forward{To: to, Batch: m.pendingBatches[name].message()})
		}
	}
	clear(m.pendingBatches)
}

// requeue queues renewals that could not be delivered for the current holder of the
// record, unless a later renewal exists.
func (m *Machine) requeue(b messenger.RenewalBatch) {
	for _, r := range b.Renewals {
		id := announcer.ID{Service: r.Service, Host: r.Host}
		record, ok := m.records[id]
		if last := m.sentRenewals[id]; !ok || last.Sequence != r.Sequence || m.now.Sub(last.at) > retransmitPeriod {
			continue
		}
		holder := m.holderOf(record.Host, record.DataCentre)
		if holder == m.settings.Name {
			m.renewLease(r)
			continue
		}
		pending := m.batchFor(holder).renewals
		if _, isNewer := pending[id]; !isNewer {
			m.counts.Retried++
			pending[id] = r
		}
	}
}

// sentRenewal is a forwarded renewal that may have been lost.
type sentRenewal struct {
	messenger.Renewal
	holder string
	at     time.Time
}

// addRetransmissions adds the renewals that were sent to the holder within
// retransmitPeriod, so that the loss of one message does not lose a renewal. They
// are only added to a batch that is sent anyway.
func (m *Machine) addRetransmissions(holder string, b *batch) {
	for id, r := range b.renewals {
		at := m.now
		if last, ok := m.sentRenewals[id]; ok && last.Renewal == r {
			at = last.at
		}
		m.sentRenewals[id] = sentRenewal{Renewal: r, holder: holder, at: at}
	}
	for id, r := range m.sentRenewals {
		switch {
		case m.now.Sub(r.at) > retransmitPeriod:
			delete(m.sentRenewals, id)
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

func (m *Machine) applyBatch(b messenger.RenewalBatch) {
	for _, r := range b.Renewals {
		if m.leases[announcer.ID{Service: r.Service, Host: r.Host}] == nil {
			// The sender has a different view of the members; the next renewal reaches the holder.
			m.counts.RenewalsMisdirected++
			continue
		}
		m.renewLease(r)
	}
	for _, o := range b.Observations {
		if held := m.leases[announcer.ID{Service: o.Service, Host: o.Host}]; held != nil {
			held.responses += o.Responses
			held.failures += o.Failures
		}
	}
}
