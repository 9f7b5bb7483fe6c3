package replicator

import "github.com/redwingledge/redwingledge/control/models/storer"

func (m *Machine) resign() {
	if m.role != RoleLeader || m.isOnlyVoter() {
		return
	}
	if !m.isResigning() {
		m.counts.LeadershipTransfers++
	}
	m.leaderState.resignUntil = m.now.Add(m.settings.ElectionTimeout)
	m.transferLeadership()
}

func (m *Machine) isResigning() bool { return m.now.Before(m.leaderState.resignUntil) }

// transferLeadership asks a voter with the complete log to start an election once no proposal
// is pending. The leader repeats it at each tick while it is resigning.
func (m *Machine) transferLeadership() {
	if len(m.leaderState.pending) > 0 {
		return
	}
	for _, member := range m.membership().Members {
		if member.ID != m.id && member.Voter && m.isActive(member.ID) && m.leaderState.progress[member.ID].matchIndex == m.log.last() {
			m.sendTo(member, &TimeoutNow{Term: m.term})
			return
		}
	}
}

func (m *Machine) handleTimeoutNow(from storer.Identity, msg *TimeoutNow) {
	if msg.Term == m.term && m.leader == from && m.role == RoleFollower {
		m.startElection(false, true)
	}
}
