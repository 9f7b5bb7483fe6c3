package replicator

import "slices"

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

func (m *Machine) read(in Read) {
	if err := m.checkLeadership(); err != nil {
		m.emit(Refused{ID: in.ID, Err: err})
		return
	}
	l := m.leaderState
	l.reads = append(l.reads, pendingRead{id: in.ID, index: max(m.commitIndex, l.termStartIndex), round: l.round + 1})
	l.broadcastDue = true
}

// confirmReads completes the reads for which a majority has confirmed, in a round after the read
// began, that this replica still leads.
func (m *Machine) confirmReads() {
	if m.role != RoleLeader {
		return
	}
	l := m.leaderState
	l.reads = slices.DeleteFunc(l.reads, func(r pendingRead) bool {
		if m.emittedIndex < r.index || l.round < r.round || !m.majoritySatisfies(func(p *progress) bool { return p.round >= r.round }) {
			return false
		}
		m.emit(ReadReady{ID: r.id, Index: r.index})
		return true
	})
}
