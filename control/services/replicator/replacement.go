package replicator

import (
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// maxReplacementTimeouts is the number of election timeouts after which an overdue replacement delays acknowledgements no
// longer, as the replica that stands by may never catch up.
const maxReplacementTimeouts = 10

// promoteNonVoter gives at most one replica that has caught up the vote of its earlier identity, or a vote of its own, or,
// if MaxVoters vote, that of a voter that does not stay. Those that joined first come first: the last one may be the
// successor of a voter that is gone, and would have a second vote beside it in place of another one.
func (m *Machine) promoteNonVoter() bool {
	membership := m.membership()
	for _, member := range membership.Members {
		if member.Voter || !m.isActive(member.ID) || m.isLeaving(member.ID) || m.leaderState.progress[member.ID].matchIndex+maxLag < m.log.last() {
			continue
		}
		replaced, ok := m.voterNamed(member.Name)
		isFull := m.settings.MaxVoters > 0 && membership.Voters() >= m.settings.MaxVoters
		if !ok && isFull {
			replaced, ok = m.voterToReplace()
		}
		switch {
		case ok:
			m.changeMembership(membership.WithVoterReplaced(replaced, member))
			return true
		case !isFull:
			member.Voter = true
			m.changeMembership(membership.With(member))
			return true
		}
	}
	return false
}

// voterNamed returns the voter with the name. A non-voter of that name is the same replica after it has lost its disk.
func (m *Machine) voterNamed(name string) (storer.Member, bool) {
	members := m.membership().Members
	i := slices.IndexFunc(members, func(member storer.Member) bool { return member.Voter && member.Name == name })
	if i < 0 {
		return storer.Member{}, false
	}
	return members[i], true
}

// voterToReplace returns the voter whose vote another replica should get, if there is one: one that leaves, or else the
// one that has been silent for longest. That one is most likely gone for good.
func (m *Machine) voterToReplace() (storer.Member, bool) {
	var replaced storer.Member
	for _, member := range m.membership().Members {
		switch {
		case !member.Voter || m.isStaying(member.ID):
		case m.isLeaving(member.ID):
			return member, true
		case !replaced.Voter || m.lastHeardAt(member.ID) < m.lastHeardAt(replaced.ID):
			replaced = member
		}
	}
	return replaced, replaced.Voter
}

// leaveJointMembership ends a joint membership. The earlier identity of a replica that has lost its disk stops being a
// member.
func (m *Machine) leaveJointMembership() {
	membership := m.membership().WithoutOutgoing()
	for _, member := range membership.Members {
		hasSuccessor := slices.ContainsFunc(membership.Members, func(other storer.Member) bool {
			return other.Name == member.Name && other.ID != member.ID && (other.Voter || m.isActive(other.ID))
		})
		if hasSuccessor && !member.Voter && !m.isActive(member.ID) {
			membership = membership.Without(member.ID)
		}
	}
	m.changeMembership(membership)
}

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
	mayBeJoint := slices.ContainsFunc(m.possibleMemberships(), func(at indexedMembership) bool { return at.membership.IsJoint() })
	if mayBeJoint || m.clock() < m.leaderState.joinsDueAt && !m.doAllVoters(m.isActive) {
		return true
	}
	return !m.doAllVoters(m.isStaying) && (len(m.leaderState.joins) > 0 || m.hasStandby())
}

// doAllVoters reports whether all voters meet the condition.
func (m *Machine) doAllVoters(condition func(storer.Identity) bool) bool {
	return !slices.ContainsFunc(m.membership().Members, func(member storer.Member) bool { return member.Voter && !condition(member.ID) })
}

// hasStandby reports whether a replica stands by that may get a vote. One that has just joined answers only once its disk
// has stored what it got, so that it counts until it is removed.
func (m *Machine) hasStandby() bool {
	return slices.ContainsFunc(m.membership().Members, func(member storer.Member) bool {
		return !member.Voter && !m.isLeaving(member.ID) && m.isReachable(member.ID)
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
