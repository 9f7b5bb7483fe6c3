package replicator

import (
	"github.com/redwingledge/redwingledge/control/models/storer"
)

// followLeader accepts the sender of a request as the leader of its term. It
// returns false if the term is over.
func (m *Machine) followLeader(from storer.Identity, term uint64) bool {
	if term < m.term {
		return false
	}
	if term > m.term || m.role != RoleFollower || m.leader != from {
		m.becomeFollower(term, from)
	}
	if !m.hasLeader() {
		// The leader may have committed more during the silence.
		m.caughtUp = 0
	}
	m.leaderSeen, m.givenWay = m.now, 0
	m.resetElection()
	return true
}

// noteCaughtUp notes that this replica has committed all that the leader had, given
// the leader's commit. Entries of the leader's own term follow all older ones that
// were ever committed.
func (m *Machine) noteCaughtUp(leaderCommit uint64) {
	if m.caughtUp != 0 || m.commit < leaderCommit {
		return
	}
	if term, ok := m.log.term(m.commit); ok && term == m.term {
		m.caughtUp = m.commit
	}
}

func (m *Machine) handleAppendRequest(from storer.Identity, req *AppendRequest) {
	resp := &AppendResponse{Echo: m.echo(req.Round, req.SentAt)}
	if m.followLeader(from, req.Term) {
		resp.Success, resp.Match = m.acceptEntries(req)
		m.noteCaughtUp(req.Commit)
		if !resp.Success {
			resp.Hint = resp.Match
			resp.Match = 0
		}
	}
	resp.Term = m.term
	m.send(from, resp)
}

// acceptEntries returns the last index known to be equal in both logs, or false
// and the last index that may be equal.
func (m *Machine) acceptEntries(req *AppendRequest) (bool, uint64) {
	prev, prevTerm, entries := req.PrevIndex, req.PrevTerm, req.Entries
	// Committed entries are equal in all logs and need no comparison.
	if prev < m.commit {
		skip := m.commit - prev
		if uint64(len(entries)) <= skip {
			return true, m.commit
		}
		prev, prevTerm, entries = m.commit, entries[skip-1].Term, entries[skip:]
	}
	term, ok := m.log.term(prev)
	if !ok {
		return false, m.log.last()
	}
	if term != prevTerm {
		hint := prev - 1
		for hint > m.commit {
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
	m.setCommit(min(req.Commit, match))
	return true, match
}
