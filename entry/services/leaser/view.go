package leaser

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// publish emits a record for the other components of the entry.
func (m *Machine) publish(record announcer.Record) {
	m.unreachable[record.ID] = m.isUnreachable(record)
	m.displaced[record.ID] = m.isDisplaced(record)
	m.emit(RecordPublished{Record: m.effectiveRecord(record)})
}

// effectiveRecord returns the record as it is published. A record whose lease no
// reachable entry tracks is published as lapsed, but this is not gossiped: after a
// network partition, a data centre keeps the leases that its own entries have
// tracked in the meantime. The same holds for a record whose address belongs to another one.
func (m *Machine) effectiveRecord(record announcer.Record) announcer.Record {
	if m.unreachable[record.ID] || m.displaced[record.ID] {
		record.Lapsed = true
	}
	return record
}

// isUnreachable reports whether the data centre of the record has no live entry
// and its holder has been absent for the duration of a lease.
func (m *Machine) isUnreachable(record announcer.Record) bool {
	if len(m.namesByDataCentre[record.DataCentre]) > 0 {
		return false
	}
	if _, live := m.members[record.Holder]; live {
		return false
	}
	since, known := m.absentSince[record.Holder]
	return !known || m.now.Sub(since) >= m.settings.Lease
}

func (m *Machine) updateReachability(record announcer.Record) {
	unreachable := m.isUnreachable(record)
	if unreachable == m.unreachable[record.ID] {
		return
	}
	if unreachable {
		m.counts.Unreachable++
	}
	m.publish(record)
}

// reachabilityPeriod is the interval between the checks of updateAllReachability.
const reachabilityPeriod = time.Second

// updateAllReachability publishes records as lapsed once the entries of their data
// centre have been absent for the duration of a lease.
func (m *Machine) updateAllReachability() {
	if len(m.absentSince) == 0 || m.now.Before(m.nextReachabilityCheck) {
		return
	}
	m.nextReachabilityCheck = m.now.Add(reachabilityPeriod)
	for _, id := range m.sortedIDs() {
		if record := m.records[id]; len(m.namesByDataCentre[record.DataCentre]) == 0 {
			m.updateReachability(record)
		}
	}
	for name, since := range m.absentSince {
		if m.now.Sub(since) > 2*m.settings.Lease {
			delete(m.absentSince, name) // isUnreachable treats an unknown holder as absent for the duration of a lease.
		}
	}
}
