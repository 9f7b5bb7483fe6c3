package leaser

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// show tells the rest of the entry of a record.
func (m *Machine) show(record announcer.Record) {
	m.unreachable[record.ID] = m.isUnreachable(record)
	m.emit(Shown{Record: m.shown(record)})
}

// shown returns the record as it is shown. One that nobody in reach times is
// shown as lapsed, but that is not spread: a data centre that was cut off comes
// back with the leases that its own entries have timed all along.
func (m *Machine) shown(record announcer.Record) announcer.Record {
	if m.unreachable[record.ID] {
		record.Lapsed = true
	}
	return record
}

// isUnreachable reports whether the data centre of the record has no live entry
// and its holder has been gone for a lease.
func (m *Machine) isUnreachable(record announcer.Record) bool {
	if len(m.byCentre[record.DataCentre]) > 0 {
		return false
	}
	if _, live := m.members[record.Holder]; live {
		return false
	}
	since, known := m.absentSince[record.Holder]
	return !known || m.now.Sub(since) >= m.settings.Lease
}

func (m *Machine) checkReachable(record announcer.Record) {
	is := m.isUnreachable(record)
	if is == m.unreachable[record.ID] {
		return
	}
	if is {
		m.counts.Unreachable++
	}
	m.show(record)
}

// reachablePeriod is how often checkAllReachable looks.
const reachablePeriod = time.Second

// checkAllReachable looks for data centres whose entries have been gone for a
// lease by now.
func (m *Machine) checkAllReachable() {
	if len(m.absentSince) == 0 || m.now.Before(m.reachableAt) {
		return
	}
	m.reachableAt = m.now.Add(reachablePeriod)
	for _, id := range m.sortedIDs() {
		if record := m.records[id]; len(m.byCentre[record.DataCentre]) == 0 {
			m.checkReachable(record)
		}
	}
	for name, since := range m.absentSince {
		if m.now.Sub(since) > 2*m.settings.Lease {
			delete(m.absentSince, name) // Counts as gone for a lease.
		}
	}
}
