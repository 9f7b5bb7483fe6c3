package replicator

import (
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// voteBlocked is stored as the vote of a term in which this replica may have
// voted without remembering it.
var voteBlocked = storer.Identity{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}

// maxGivenWay bounds how often a replica puts its own election off for others without
// hearing a leader. Those that reach too few replicas to be elected ask again and again, and
// this one may be the only one that reaches enough.
const maxGivenWay = 3

// startElection asks the other voters for votes. With pre it first asks whether
// they would vote, so that a replica that was cut off does not raise the term.
// With handedOver the present leader gives way.
func (m *Machine) startElection(pre, handedOver bool) {
	m.resetElection()
	if !m.membership().IsVoter(m.id) || !m.verification.done || !m.isUpToDate(m.log.last(), m.log.lastTerm()) {
		return
	}
	m.leader = storer.Identity{}
	m.votes = map[storer.Identity]bool{m.id: true}
	m.voteUntil = m.now.Add(m.settings.ElectionTimeout)
	term := m.term + 1
	if pre {
		m.role = RolePreCandidate
		if m.isFirstElection() {
			m.hastenFirstElection()
		} else {
			m.hastenElection()
		}
	} else {
		m.role = RoleCandidate
		// The votes must be stored by others before they arrive.
		m.hastenElection()
		m.electionAt = m.electionAt.Add(m.settings.ElectionTimeout / hastePart)
		m.setTerm(term, m.id)
		m.counts.Elections++
	}
	for _, member := range m.membership().Members {
		if member.Voter && member.ID != m.id {
			m.sendTo(member, &VoteRequest{
				Pre: pre, Term: term, LastIndex: m.log.last(), LastTerm: m.log.lastTerm(), HandedOver: handedOver,
			})
		}
	}
	m.countVotes()
}

// isFirstElection reports that this replica has just started and heard no leader yet. Others
// may start at any moment, and their votes are wanted at once.
func (m *Machine) isFirstElection() bool {
	return m.leaderSeen.Before(m.started) && m.now.Sub(m.started) < firstElectionPeriods*m.settings.ElectionTimeout
}

// isUpToDate reports whether a log with the given end holds everything that
// this replica may have acknowledged.
func (m *Machine) isUpToDate(index, term uint64) bool {
	return !isBehind(index, term, m.log.last(), m.log.lastTerm()) &&
		!isBehind(index, term, m.verification.floorIndex, m.verification.floorTerm)
}

func isBehind(index, term, otherIndex, otherTerm uint64) bool {
	return term < otherTerm || (term == otherTerm && index < otherIndex)
}

// hasLeader reports whether a leader was heard within the election timeout, or
// this replica is one.
func (m *Machine) hasLeader() bool {
	return m.role == RoleLeader || m.now.Sub(m.leaderSeen) < m.settings.ElectionTimeout
}

func (m *Machine) handleVoteRequest(from storer.Identity, req *VoteRequest) {
	// A live leader is not deposed by a replica that was removed or cut off.
	if m.hasLeader() && !req.HandedOver {
		if req.Pre && req.Term <= m.term {
			m.send(from, &VoteResponse{Pre: true, Term: m.term, For: req.Term})
		}
		return
	}
	if req.Pre {
		granted := m.verification.done && req.Term > m.term && m.isUpToDate(req.LastIndex, req.LastTerm)
		if granted && m.givenWay < maxGivenWay && (m.role == RoleFollower || m.role == RolePreCandidate && slices.Compare(from[:], m.id[:]) < 0) {
			// Of two replicas that ask at the same time, one gives way.
			m.role = RoleFollower
			m.givenWay++
			m.hastenElection()
		}
		m.send(from, &VoteResponse{Pre: true, Term: m.term, For: req.Term, Granted: granted})
		return
	}
	if req.Term > m.term {
		m.becomeFollower(req.Term, storer.Identity{})
	}
	granted := m.verification.done && req.Term == m.term && m.isUpToDate(req.LastIndex, req.LastTerm) &&
		(m.vote.IsZero() || m.vote == from)
	if granted {
		m.setTerm(m.term, from)
		m.resetElection()
	}
	m.send(from, &VoteResponse{Term: m.term, For: req.Term, Granted: granted})
}

func (m *Machine) handleVoteResponse(from storer.Identity, resp *VoteResponse) {
	if resp.Term > m.term {
		m.becomeFollower(resp.Term, storer.Identity{})
		return
	}
	wanted := (m.role == RolePreCandidate && resp.Pre && resp.For == m.term+1) ||
		(m.role == RoleCandidate && !resp.Pre && resp.For == m.term)
	if !wanted || !resp.Granted {
		return
	}
	// A late vote may come from before a restart of the voter with an older disk.
	if m.now.After(m.voteUntil) {
		m.counts.LateResponses++
		return
	}
	m.votes[from] = true
	m.countVotes()
}

func (m *Machine) countVotes() {
	n := 0
	for id := range m.votes {
		if m.membership().IsVoter(id) {
			n++
		}
	}
	if n < m.majority(m.membership().Voters()) {
		return
	}
	switch m.role {
	case RolePreCandidate:
		m.startElection(false, false)
	case RoleCandidate:
		m.startLeading()
	}
}
