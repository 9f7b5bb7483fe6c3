package replicator

import (
	"math"
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// appendEntries appends entries to the log and drops the conflicting ones that they replace.
func (m *Machine) appendEntries(entries []storer.Entry) {
	m.memberships = slices.DeleteFunc(m.memberships, func(at indexedMembership) bool {
		return at.index > 0 && at.index >= entries[0].Index
	})
	m.log.truncateAndAppend(entries)
	m.saving.limitIndex(entries[0].Index - 1)
	for _, e := range entries {
		if err := m.recordMembership(e); err != nil {
			panic(err) // isValid has checked received entries
		}
	}
	m.emit(SaveEntries{Entries: entries})
}

// commitTo raises the commit index.
func (m *Machine) commitTo(index uint64) {
	if index <= m.commitIndex {
		return
	}
	m.bytesSinceSnapshot += sizeOf(m.log.slice(m.commitIndex+1, index, math.MaxInt))
	m.commitIndex = index
	m.emitCommitted()
}

// emitCommitted emits an installed snapshot and the committed entries once they are durable.
func (m *Machine) emitCommitted() {
	if m.restoreDue && m.saving.stored.index >= m.snapshot.Index {
		m.emit(Restore{Snapshot: m.snapshot})
		m.emittedIndex, m.restoreDue = m.snapshot.Index, false
	}
	if m.restoreDue {
		return
	}
	index := min(m.commitIndex, m.saving.stored.index)
	if index <= m.emittedIndex {
		return
	}
	m.emit(Apply{Entries: slices.Clone(m.log.slice(m.emittedIndex+1, index, math.MaxInt))})
	m.emittedIndex = index
	if !m.snapshotDue && m.needsSnapshot() {
		m.snapshotDue = true
		m.emit(TakeSnapshot{Index: index})
	}
}

// indexStoredByMajority returns the index up to which a majority of the voters has stored the log, as far as their
// responses still count.
func (m *Machine) indexStoredByMajority(voters []storer.Identity) uint64 {
	if len(voters) == 0 {
		return 0
	}
	stored := make([]uint64, 0, len(voters))
	for _, id := range voters {
		index := uint64(0)
		if id == m.id {
			index = m.saving.stored.index
		} else if m.isActive(id) {
			index = m.leaderState.progress[id].matchIndex
		}
		stored = append(stored, index)
	}
	slices.Sort(stored)
	return stored[len(stored)-m.majority(len(stored))]
}

// advanceCommit commits the entries that a majority of the voters has stored, if the last of
// them is of the current term.
func (m *Machine) advanceCommit() {
	index := uint64(math.MaxUint64)
	for _, voters := range m.membership().VoterSets() {
		index = min(index, m.indexStoredByMajority(voters))
	}
	if term, ok := m.log.term(index); !ok || term != m.term || index <= m.commitIndex {
		return
	}
	previous := m.commitIndex
	m.commitTo(index)
	m.updateCaughtUpIndex(index)
	for i := previous + 1; i <= index; i++ {
		delete(m.leaderState.pending, i)
	}
	m.leaderState.broadcastDue = true
	if at := m.membershipIndex(); at > previous && at <= index && !m.membership().IsVoter(m.id) {
		m.broadcastIfDue()
		m.stepDown()
	}
}
