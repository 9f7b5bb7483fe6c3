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

// canChangeMembership reports whether the last change and an entry of the current term are
// committed. Otherwise the majorities of two memberships might not overlap.
func (m *Machine) canChangeMembership() bool {
	return m.membershipIndex() <= m.commitIndex && m.commitIndex >= m.leaderState.termStartIndex
}

// adjustMembership makes at most one change: it adds a replica that asked to join as a
// non-voter, promotes a non-voter that has caught up, demotes a voter that has been replaced,
// removes a silent replica, or demotes a surplus voter.
func (m *Machine) adjustMembership() {
	if m.canChangeMembership() && !m.admitJoiningReplica() && !m.promoteNonVoter() && !m.demoteReplacedVoter() && !m.removeSilentReplica() {
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

func (m *Machine) promoteNonVoter() bool {
	membership := m.membership()
	for _, member := range membership.Members {
		if member.Voter || !m.isActive(member.ID) || m.isLeaving(member.ID) || m.leaderState.progress[member.ID].matchIndex+maxLag < m.log.last() {
			continue
		}
		// The earlier identity of a replica that lost its disk is removed first, so that the
		// number of voters never exceeds the number of replicas.
		for _, other := range membership.Members {
			if other.Name == member.Name && other.Voter {
				if !m.canRemove(other.ID) {
					return false
				}
				m.changeMembership(membership.Without(other.ID))
				return true
			}
		}
		if m.settings.MaxVoters > 0 && m.countVoters(m.isStaying) >= m.settings.MaxVoters {
			continue
		}
		member.Voter = true
		m.changeMembership(membership.With(member))
		return true
	}
	return false
}

// demoteReplacedVoter makes at most one voter of an open membership a non-voter if it is silent or
// leaves, enough others vote, and a majority of them responds. Otherwise it would count against the
// majority until it is removed, and the next replica that loses its disk could leave no majority. Of
// the others, one may be silent, too: with the vote of the first one, that would be two against the majority.
func (m *Machine) demoteReplacedVoter() bool {
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

// demoteSurplusVoter makes one voter a non-voter if more than MaxVoters respond. That happens
// when a voter comes back after another replica was promoted in its place.
func (m *Machine) demoteSurplusVoter() {
	membership := m.membership()
	if m.settings.MaxVoters <= 0 || m.countVoters(m.isActive) <= m.settings.MaxVoters {
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
	p := m.leaderState.progress[id]
	return id == m.id || p == nil || timeout <= 0 || m.clock()-max(p.sentAt, p.trackedAt) < int64(timeout)
}

// isLeaving reports whether a replica is about to stop as planned, so that it should not vote.
func (m *Machine) isLeaving(id storer.Identity) bool {
	p := m.leaderState.progress[id]
	return p != nil && m.clock() < p.leavingUntil
}

// isStaying reports whether a voter needs no replacement.
func (m *Machine) isStaying(id storer.Identity) bool {
	timeout := m.settings.ReplaceSilentAfter
	if timeout <= 0 {
		timeout = m.settings.RemoveSilentAfter
	}
	return !m.isLeaving(id) && m.hasRespondedWithin(id, timeout)
}

func (m *Machine) countVoters(condition func(storer.Identity) bool) int {
	count := 0
	for _, member := range m.membership().Members {
		if member.Voter && condition(member.ID) {
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
