package replicator

import (
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// maxReplacementTimeouts is the number of election timeouts after which an overdue replacement delays acknowledgements no
// longer, as the replica that stands by may never catch up.
const maxReplacementTimeouts = 10

// updateReplacementDue notes whether the vote of a voter has to pass to another replica.
func (m *Machine) updateReplacementDue() {
	l := m.leaderState
	switch {
	case !m.isReplacementDue():
		l.replacementDueSince = 0
	case l.replacementDueSince == 0:
		l.replacementDueSince = max(m.clock(), 1)
	}
}

// isReplacementDue reports whether the vote of a voter that is gone, silent or about to stop has to pass to a replica that
// stands by or asks to join, or may have to, as this leader has led too briefly to know.
func (m *Machine) isReplacementDue() bool {
	if !m.settings.OpenMembership {
		return false
	}
	isPassing := slices.ContainsFunc(m.possibleMemberships(), func(at indexedMembership) bool { return at.membership.IsJoint() })
	if isPassing || m.clock() < m.leaderState.joinsDueAt && !m.doAllVoters(m.isActive) {
		return true
	}
	return !m.doAllVoters(m.isStaying) && (len(m.leaderState.joins) > 0 || m.hasStandby())
}

// doAllVoters reports whether all voters meet the condition.
func (m *Machine) doAllVoters(condition func(storer.Identity) bool) bool {
	return !slices.ContainsFunc(m.membership().Members, func(member storer.Member) bool { return member.Voter && !condition(member.ID) })
}

// hasStandby reports whether a replica stands by that may get a vote.
func (m *Machine) hasStandby() bool {
	return slices.ContainsFunc(m.membership().Members, func(member storer.Member) bool {
		return !member.Voter && !m.isLeaving(member.ID) && m.hasRespondedWithin(member.ID, m.settings.ElectionTimeout)
	})
}

// isReplacementPending reports on the leader whether more replicas may count against the majority than are lost, until a
// vote has passed to another one. What is committed meanwhile may not survive the losses that the settings allow.
func (m *Machine) isReplacementPending() bool {
	if m.role != RoleLeader {
		return false
	}
	since := m.leaderState.replacementDueSince
	return since > 0 && m.clock()-since < maxReplacementTimeouts*int64(m.settings.ElectionTimeout)
}
