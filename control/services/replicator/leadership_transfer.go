package replicator

import (
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// leaveElectionTimeouts is the number of election timeouts for which a replica counts as leaving after its last
// LeaveRequest. A replica whose process has ended counts as active for one after its last response.
const leaveElectionTimeouts = 2

func (m *Machine) resign() {
	if m.isOnlyVoter() {
		return
	}
	isRepeated := m.isResigning()
	m.resignUntil = m.now.Add(m.settings.ElectionTimeout)
	if m.role != RoleLeader {
		m.requestLeave()
		return
	}
	if !isRepeated {
		m.counts.LeadershipTransfers++
	}
	m.transferLeadership()
}

func (m *Machine) isResigning() bool { return m.now.Before(m.resignUntil) }

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

// requestElection asks the active voter with the longest log to start an election, as this leader can store nothing. It
// returns false if there is none.
func (m *Machine) requestElection() bool {
	var successor storer.Member
	longest := uint64(0)
	for _, member := range m.membership().Members {
		if member.ID == m.id || !member.Voter || !m.isActive(member.ID) {
			continue
		}
		if match := m.leaderState.progress[member.ID].matchIndex; match >= longest {
			successor, longest = member, match
		}
	}
	if !successor.Voter {
		return false
	}
	m.sendEarly(successor, &TimeoutNow{Term: m.term})
	return true
}

func (m *Machine) handleTimeoutNow(from storer.Identity, msg *TimeoutNow) {
	if msg.Term == m.term && m.leader == from && m.role == RoleFollower {
		m.startElection(false, true)
	}
}

// isHandoverDue reports whether a planned stop should wait. A replica that stops while it votes
// counts against the majority until it is replaced, and so does the next replica that fails.
func (m *Machine) isHandoverDue() bool {
	if m.role == RoleLeader {
		return !m.isOnlyVoter()
	}
	if !m.settings.OpenMembership {
		return false
	}
	return m.mayBecomeVoter() || slices.ContainsFunc(m.possibleMemberships(), func(at indexedMembership) bool {
		return at.membership.IsVoter(m.id) && (at.membership.Voters() < len(at.membership.Members) || at.membership.Voters() > m.settings.MinVoters)
	})
}

// mayBecomeVoter reports whether the leader may have let this replica vote without its knowledge: it has not confirmed
// that this one leaves, or this one has not got its last membership.
func (m *Machine) mayBecomeVoter() bool {
	if _, ok := m.membership().Get(m.id); !ok || m.membership().IsVoter(m.id) || !m.hasLeader() {
		return false
	}
	isConfirmed := m.leaveNoted.Term == m.term && m.now.Sub(m.leaveNotedAt) < m.settings.ElectionTimeout
	return !isConfirmed || m.membershipIndex() < m.leaveNoted.MembershipIndex
}

// requestLeave asks the leader to let another replica vote in place of this one, or not to let this one vote.
func (m *Machine) requestLeave() {
	if leader, ok := m.membership().Get(m.leader); ok && m.settings.OpenMembership && m.hasLeader() {
		m.sendTo(leader, &LeaveRequest{Session: m.session})
	}
}

// isResigningStandby reports whether this replica stops as planned and does not vote. No leader may count it then, so
// that none lets it vote, not even one that has got no LeaveRequest of it.
func (m *Machine) isResigningStandby() bool {
	return m.isResigning() && !m.membership().IsVoter(m.id)
}

func (m *Machine) handleLeaveRequest(from storer.Identity, req *LeaveRequest) {
	if m.role != RoleLeader {
		return
	}
	if p := m.leaderState.progress[from]; p != nil && p.session == req.Session {
		p.leavingUntil = m.clock() + leaveElectionTimeouts*int64(m.settings.ElectionTimeout)
		m.sendEarly(m.recipient(from), &LeaveResponse{Session: req.Session, Term: m.term, MembershipIndex: m.membershipIndex()})
	}
}

func (m *Machine) handleLeaveResponse(from storer.Identity, resp *LeaveResponse) {
	if resp.Session == m.session && from == m.leader {
		m.leaveNoted, m.leaveNotedAt = *resp, m.now
	}
}
