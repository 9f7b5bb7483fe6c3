package replicator

import (
	"slices"
	"time"
)

// saveTimeoutFactor times the election timeout is how long the disk of a replica may take for one save before the
// replica stops leading and answering. Disks that other programs write to were seen to take more than an election
// timeout for a sync, which cost the leader each time when nothing was sent meanwhile. A longer wait would keep a
// leader that can commit nothing.
const saveTimeoutFactor = 2

// storedState is the term that is stored, and the index up to which the stored log equals the log in memory.
type storedState struct{ term, index uint64 }

// saving tracks what is durable. The driver goes on with further steps during a save, so the state in memory may be
// ahead of the disk.
type saving struct {
	stored storedState
	// steps has the state after each step whose output is not durable yet, oldest first.
	steps []storedState
	// since is when the oldest of them began to be stored.
	since time.Time
}

// limitIndex notes that the log in memory differs from the stored log after index.
func (s *saving) limitIndex(index uint64) {
	s.stored.index = min(s.stored.index, index)
	for i := range s.steps {
		s.steps[i].index = min(s.steps[i].index, index)
	}
}

// isSaving reports whether the output of earlier steps is not durable yet.
func (m *Machine) isSaving() bool { return len(m.saving.steps) > 0 }

// isSaveOverdue reports whether the disk takes so long that it may have failed.
func (m *Machine) isSaveOverdue() bool {
	return m.isSaving() && m.now.Sub(m.saving.since) >= saveTimeoutFactor*m.settings.ElectionTimeout
}

// isTermStored reports whether the current term is durable.
func (m *Machine) isTermStored() bool { return m.saving.stored.term == m.term }

// recordSaves adds the step that ends to those that are not durable yet, if its output must be stored.
func (m *Machine) recordSaves() {
	if !slices.ContainsFunc(m.out, IsSave) {
		return
	}
	if !m.isSaving() {
		m.saving.since = m.now
	}
	m.saving.steps = append(m.saving.steps, storedState{term: m.term, index: m.log.last()})
}

func (m *Machine) handleSaved(in Saved) {
	n := min(in.Steps, len(m.saving.steps))
	if n <= 0 {
		return
	}
	before := m.saving.stored
	m.saving.stored, m.saving.steps, m.saving.since = m.saving.steps[n-1], m.saving.steps[n:], m.now
	m.emitCommitted()
	switch m.role {
	case RoleCandidate:
		if before.term < m.term && m.isTermStored() {
			m.scheduleCandidacy()
			m.countVotes()
		}
	case RoleLeader:
		m.leaderState.broadcastDue = m.leaderState.broadcastDue || m.saving.stored.index > before.index
		m.advanceCommit()
	case RoleFollower:
		if before.term < m.term && m.isTermStored() && !m.hasLeader() {
			// The vote is sent only now. The candidate waits for those of replicas with slower disks.
			m.resetElection()
		}
	case RolePreCandidate:
	}
}
