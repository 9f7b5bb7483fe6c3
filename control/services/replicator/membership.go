package replicator

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// maxLag is the number of entries by which a non-voter may be behind when it is promoted. Under
// load a non-voter is always slightly behind.
const maxLag = 64

// indexedMembership is a membership with the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership storer.Membership
}

// isMembershipCommitted reports whether the last change and an entry of the current term are
// committed. Otherwise the majorities of two memberships might not overlap.
func (m *Machine) isMembershipCommitted() bool {
	return m.membershipIndex() <= m.commitIndex && m.commitIndex >= m.leaderState.termStartIndex
}

// canChangeMembership reports whether another change may begin.
func (m *Machine) canChangeMembership() bool {
	return m.isMembershipCommitted() && !m.membership().IsJoint()
}

// adjustMembership makes at most one change: it completes one that passes a vote, adds a replica that asked to join
// as a non-voter, gives a non-voter that has caught up a vote, demotes a silent voter, removes a silent replica, or
// demotes a surplus voter.
//
// Any MinVoters / 2 voters may be lost for ever after each change, also before it is committed. So a vote passes from one
// replica to another by a joint membership: if the new voter was added first, one more vote would count against the
// majority than replicas are lost.
func (m *Machine) adjustMembership() {
	switch {
	case !m.isMembershipCommitted():
	case m.membership().IsJoint():
		m.leaveJointMembership()
	case m.admitJoiningReplica() || m.promoteNonVoter() || m.demoteSilentVoter() || m.removeSilentReplica():
	default:
		m.demoteSurplusVoter()
	}
}

func (m *Machine) admitJoiningReplica() bool {
	joins := make([]storer.Member, 0, len(m.leaderState.joins))
	for _, member := range m.leaderState.joins {
		joins = append(joins, member)
	}
	clear(m.leaderState.joins)
	slices.SortFunc(joins, func(a, b storer.Member) int { return slices.Compare(a.ID[:], b.ID[:]) })
	for _, joiner := range joins {
		known, ok := m.membership().Get(joiner.ID)
		if ok && known.Address == joiner.Address {
			continue
		}
		if !ok && !m.mayJoin(joiner) {
			m.counts.JoinsRefused++
			continue
		}
		membership := m.membership()
		for _, other := range membership.Members {
			if !ok && other.Name == joiner.Name && !other.Voter {
				membership = membership.Without(other.ID)
			}
		}
		joiner.Voter = ok && known.Voter
		m.changeMembership(membership.With(joiner))
		return true
	}
	return false
}

// mayJoin reports whether a new replica may join. Its name must be allowed or be that of a
// member, and no member of that name, which is its earlier identity, may still respond.
func (m *Machine) mayJoin(joiner storer.Member) bool {
	allowed := m.settings.OpenMembership || slices.Contains(m.joinPolicy.Names, joiner.Name)
	if !m.joinPolicy.Exclusive {
		allowed = allowed || slices.ContainsFunc(m.settings.Peers, func(p Peer) bool { return p.Name == joiner.Name })
	}
	for _, member := range m.membership().Members {
		if member.Name != joiner.Name {
			continue
		}
		if member.ID == m.id || m.isActive(member.ID) {
			return false
		}
		allowed = true
	}
	return allowed
}

// isActive reports whether a verified replica has responded within the election timeout. The
// leader itself is always active.
func (m *Machine) isActive(id storer.Identity) bool {
	p := m.leaderState.progress[id]
	return id == m.id || (p != nil && p.verified && p.sentAt >= m.activeSince())
}

// demoteSilentVoter makes at most one voter of an open membership a non-voter if it is silent or leaves, MinVoters others
// vote, and a majority of them responds.
func (m *Machine) demoteSilentVoter() bool {
	if !m.settings.OpenMembership {
		return false
	}
	for _, member := range m.membership().Members {
		if !member.Voter || m.isStaying(member.ID) || m.membership().Voters() <= m.settings.MinVoters || !m.canRemove(member.ID) {
			continue
		}
		member.Voter = false
		m.changeMembership(m.membership().With(member))
		return true
	}
	return false
}

// removeSilentReplica removes at most one non-voter from an open membership if it has not responded
// for RemoveSilentAfter. A silent voter becomes a non-voter before.
func (m *Machine) removeSilentReplica() bool {
	if !m.settings.OpenMembership || m.settings.RemoveSilentAfter <= 0 {
		return false
	}
	membership := m.membership()
	for _, member := range membership.Members {
		if member.Voter || m.isReachable(member.ID) {
			continue
		}
		m.changeMembership(membership.Without(member.ID))
		return true
	}
	return false
}

// demoteSurplusVoter makes one voter a non-voter if more than MaxVoters respond. That happens when the limit falls.
func (m *Machine) demoteSurplusVoter() {
	membership := m.membership()
	if m.settings.MaxVoters <= 0 || m.countActiveVoters() <= m.settings.MaxVoters {
		return
	}
	for _, member := range membership.Members {
		if member.Voter && member.ID != m.id && m.canRemove(member.ID) {
			member.Voter = false
			m.changeMembership(membership.With(member))
			return
		}
	}
}

// isReachable reports whether a replica has responded within RemoveSilentAfter.
func (m *Machine) isReachable(id storer.Identity) bool {
	return m.hasRespondedWithin(id, m.settings.RemoveSilentAfter)
}

// hasRespondedWithin reports whether a replica has responded, or the leader has begun to track it,
// within the timeout. 0 means no timeout.
func (m *Machine) hasRespondedWithin(id storer.Identity, timeout time.Duration) bool {
	return id == m.id || m.leaderState.progress[id] == nil || timeout <= 0 || m.clock()-m.lastHeardAt(id) < int64(timeout)
}

// lastHeardAt returns the leader's clock at the newest request that a replica has answered or, without one, when the
// leader began to track it.
func (m *Machine) lastHeardAt(id storer.Identity) int64 {
	p := m.leaderState.progress[id]
	if p == nil {
		return m.clock()
	}
	return max(p.sentAt, p.trackedAt)
}

// isLeaving reports whether a replica is about to stop as planned, so that it should not vote.
func (m *Machine) isLeaving(id storer.Identity) bool {
	p := m.leaderState.progress[id]
	return p != nil && m.clock() < p.leavingUntil
}

// isStaying reports whether a voter needs no replacement.
func (m *Machine) isStaying(id storer.Identity) bool {
	return !m.isLeaving(id) && m.hasRespondedWithin(id, m.replaceSilentAfter())
}

// replaceSilentAfter returns the silence after which the vote of a voter passes to another replica.
func (m *Machine) replaceSilentAfter() time.Duration {
	if m.settings.ReplaceSilentAfter > 0 {
		return m.settings.ReplaceSilentAfter
	}
	return m.settings.RemoveSilentAfter
}

func (m *Machine) countActiveVoters() int {
	count := 0
	for _, member := range m.membership().Members {
		if member.Voter && m.isActive(member.ID) {
			count++
		}
	}
	return count
}

// canRemove reports whether a majority of the voters other than id responds.
func (m *Machine) canRemove(id storer.Identity) bool {
	voters, active := 0, 0
	for _, member := range m.membership().Members {
		if member.Voter && member.ID != id {
			voters++
			if m.isActive(member.ID) {
				active++
			}
		}
	}
	return voters > 0 && active >= m.majority(voters)
}

func (m *Machine) changeMembership(membership storer.Membership) {
	m.counts.MembershipChanges++
	m.appendAsLeader(storer.EntryMembership, encodeMembership(membership))
}

func (m *Machine) remove(in Remove) {
	if err := m.checkRemove(in.Name); err != nil {
		m.emit(Refused{ID: in.ID, Err: err})
		return
	}
	membership := m.membership()
	for _, member := range m.membership().Members {
		if member.Name == in.Name {
			membership = membership.Without(member.ID)
		}
	}
	index := m.log.last() + 1
	m.leaderState.pending[index] = in.ID
	m.emit(Accepted{ID: in.ID, Index: index, Term: m.term})
	m.changeMembership(membership)
}

func (m *Machine) checkRemove(name string) error {
	if err := m.checkLeadership(); err != nil {
		return err
	}
	if name == m.settings.Name {
		return ErrRemoveLeader{Name: name}
	}
	if !m.canChangeMembership() {
		return ErrOverloaded{Waiting: 1}
	}
	found := false
	for _, member := range m.membership().Members {
		if member.Name != name {
			continue
		}
		found = true
		if member.Voter && !m.canRemove(member.ID) {
			return ErrNoQuorum{Reason: "too few of the remaining replicas answer"}
		}
	}
	if !found {
		return ErrReplicaNotExist{Name: name}
	}
	return nil
}

// membership returns the newest membership in the log, whether committed or not.
func (m *Machine) membership() storer.Membership {
	return m.memberships[len(m.memberships)-1].membership
}

// possibleMemberships returns the newest committed membership and the later ones, any of which may be in force at other
// replicas.
func (m *Machine) possibleMemberships() []indexedMembership {
	first := 0
	for i, at := range m.memberships {
		if at.index <= m.commitIndex {
			first = i
		}
	}
	return m.memberships[first:]
}

// mayStandForElection reports whether this replica is a voter of a membership that may be in force. One that has stored
// the membership without its vote, which the other voters have not, can still be needed as the leader that commits it.
func (m *Machine) mayStandForElection() bool {
	return slices.ContainsFunc(m.possibleMemberships(), func(at indexedMembership) bool { return at.membership.IsVoter(m.id) })
}

func (m *Machine) membershipIndex() uint64 { return m.memberships[len(m.memberships)-1].index }

func (m *Machine) recordMembership(e storer.Entry) error {
	membership, err := decodeMembership(e)
	if err == nil && membership != nil && e.Index > m.membershipIndex() {
		m.memberships = append(m.memberships, indexedMembership{index: e.Index, membership: *membership})
	}
	return err
}

// decodeMembership returns the membership of an entry, or nil if the entry is of another kind.
func decodeMembership(e storer.Entry) (*storer.Membership, error) {
	if e.Kind != storer.EntryMembership {
		return nil, nil
	}
	var membership storer.Membership
	if err := cbor.Unmarshal(e.Data, &membership); err != nil {
		return nil, fmt.Errorf("decode the membership of entry %d: %w", e.Index, err)
	}
	return &membership, nil
}
