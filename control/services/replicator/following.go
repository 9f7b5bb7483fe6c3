package replicator

import (
	"github.com/redwingledge/redwingledge/control/models/storer"
)

// followLeader accepts the sender of a request as the leader of its term. It returns false if
// the term is older than the current one.
func (m *Machine) followLeader(from storer.Identity, term uint64) bool {
	if term < m.term {
		return false
	}
	if term > m.term || m.role != RoleFollower || m.leader != from {
		m.becomeFollower(term, from)
	}
	if !m.hasLeader() {
		// The leader may have committed more entries since the last contact.
		m.caughtUpIndex, m.contactSince = 0, m.now
	}
	m.lastLeader, m.lastLeaderContact, m.electionDeferrals, m.failedCandidacies = from, m.now, 0, 0
	m.resetElection()
	return true
}

// updateCaughtUpIndex sets caughtUpIndex once this replica has committed everything up to the
// leader's commit index and the last of it is of the leader's term. Entries of that term follow
// all entries committed in older terms. The first messages of a contact may have waited while this
// replica was paused, so for one election timeout a greater commit index of the leader revokes it.
func (m *Machine) updateCaughtUpIndex(leaderCommit uint64) {
	if m.commitIndex < leaderCommit && m.now.Sub(m.contactSince) < m.settings.ElectionTimeout {
		m.caughtUpIndex = 0
	}
	if m.caughtUpIndex != 0 || m.commitIndex < leaderCommit {
		return
	}
	if term, ok := m.log.term(m.commitIndex); ok && term == m.term {
		m.caughtUpIndex = m.commitIndex
	}
}

func (m *Machine) handleAppendRequest(from storer.Identity, req *AppendRequest) {
	resp := &AppendResponse{Echo: m.echo(req.Round, req.SentAt)}
	if m.followLeader(from, req.Term) {
		resp.Success, resp.MatchIndex = m.acceptEntries(req)
		m.updateCaughtUpIndex(req.LeaderCommit)
		if !resp.Success {
			resp.RejectHint = resp.MatchIndex
			resp.MatchIndex = 0
		}
	}
	resp.Term = m.term
	isDurable := !resp.Success || resp.MatchIndex <= m.saving.stored.index
	switch {
	case m.isSaveOverdue():
		// Answers that wait for a disk that may have failed would come too late to count, and without end.
	case !m.isTermStored() || !isDurable && len(req.Entries) > 0:
		m.send(from, resp)
	default:
		if !isDurable {
			// A heartbeat is answered at once, with what is durable.
			resp.MatchIndex = m.saving.stored.index
		}
		m.sendEarly(m.recipient(from), resp)
	}
}

// acceptEntries appends the entries of a request if they fit this log. It returns true and the
// last index at which both logs are known to be equal, or false and the last index at which
// they may be equal.
func (m *Machine) acceptEntries(req *AppendRequest) (bool, uint64) {
	prev, prevTerm, entries := req.PrevIndex, req.PrevTerm, req.Entries
	// Committed entries are equal in all logs, so they are not compared.
	if prev < m.commitIndex {
		skip := m.commitIndex - prev
		if uint64(len(entries)) <= skip {
			return true, m.commitIndex
		}
		prev, prevTerm, entries = m.commitIndex, entries[skip-1].Term, entries[skip:]
	}
	term, ok := m.log.term(prev)
	if !ok {
		return false, m.log.last()
	}
	if term != prevTerm {
		hint := prev - 1
		for hint > m.commitIndex {
			if t, _ := m.log.term(hint); t != term {
				break
			}
			hint--
		}
		return false, hint
	}
	match := prev + uint64(len(entries))
	for len(entries) > 0 {
		if t, ok := m.log.term(entries[0].Index); !ok || t != entries[0].Term {
			m.appendEntries(entries)
			break
		}
		entries = entries[1:]
	}
	m.commitTo(min(req.LeaderCommit, match))
	return true, match
}
