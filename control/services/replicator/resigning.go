package replicator

import "github.com/redwingledge/redwingledge/control/models/storer"

func (m *Machine) resign() {
	if m.role != RoleLeader || m.isAlone() {
		return
	}
	if !m.isResigning() {
		m.counts.HandOvers++
	}
	m.leading.resignUntil = m.now.Add(m.settings.ElectionTimeout)
	m.handOver()
}

func (m *Machine) isResigning() bool { return m.now.Before(m.leading.resignUntil) }

// handOver asks a replica with the whole log to lead, once no proposal is open.
// It is repeated at each tick while this replica leads.
func (m *Machine) handOver() {
	if len(m.leading.pending) > 0 {
		return
	}
	for _, member := range m.membership().Members {
		if member.ID != m.id && member.Voter && m.isFresh(member.ID) && m.leading.progress[member.ID].match == m.log.last() {
			m.sendTo(member, &HandOver{Term: m.term})
			return
		}
	}
}

func (m *Machine) handleHandOver(from storer.Identity, msg *HandOver) {
	if msg.Term == m.term && m.leader == from && m.role == RoleFollower {
		m.startElection(false, true)
	}
}
