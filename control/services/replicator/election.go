package replicator

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// voteBlocked is stored as the vote of a term in which this replica may already have cast a
// vote that its disk has lost. It prevents a second vote in that term.
var voteBlocked = storer.Identity{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}

// maxElectionDeferrals bounds how often a replica defers its own election in favour of others
// without contact to a leader. Replicas that reach too few others to be elected keep asking for
// pre-votes, and this replica may be the only one that reaches a majority.
const maxElectionDeferrals = 3

const (
	// earlyElectionDivisor divides the election timeout to give the mean delay of an early
	// election.
	earlyElectionDivisor = 3
	// firstElectionDivisor does so for the first election after a start. With a timeout of
	// 900 ms the delay is 25 ms to 75 ms, several round trips between data centres.
	firstElectionDivisor = 18
	// firstElectionTimeouts is the number of election timeouts after a start during which a
	// replica without contact to a leader retries at the interval of a first election.
	firstElectionTimeouts = 4
)

// startElection asks the other voters for votes. With preVote it only asks whether they would
// grant them, so that a replica that was partitioned off does not raise the term. With
// leadershipTransfer the voters grant votes although the current leader is alive, because it
// requested the election.
func (m *Machine) startElection(preVote, leadershipTransfer bool) {
	m.resetElection()
	if !m.mayStandForElection() || !m.verification.done || !m.isUpToDate(m.log.last(), m.log.lastTerm()) {
		return
	}
	if m.role == RoleCandidate {
		m.failedCandidacies++
	}
	m.leader = storer.Identity{}
	m.votes = map[storer.Identity]bool{m.id: true}
	term := m.term + 1
	if preVote {
		m.role = RolePreCandidate
		m.voteDeadline = m.now.Add(m.settings.ElectionTimeout)
		if m.isFirstElection() {
			m.scheduleFirstElection()
		} else {
			m.scheduleEarlyElection()
		}
	} else {
		m.role = RoleCandidate
		m.scheduleCandidacy()
		m.setTerm(term, m.id)
		m.counts.Elections++
	}
	m.requestVotes(VoteRequest{
		PreVote: preVote, Term: term, LastIndex: m.log.last(), LastTerm: m.log.lastTerm(), LeadershipTransfer: leadershipTransfer,
	})
	m.countVotes()
}

// requestVotes asks all other voters for their votes. The requests do not wait until the own vote is durable, which counts
// only then, so that all voters store theirs at the same time. A log that is not durable may be shorter after a restart,
// and late votes for it must not elect this replica then.
func (m *Machine) requestVotes(req VoteRequest) {
	for _, member := range m.otherVoters() {
		if m.saving.stored.index == m.log.last() {
			m.sendEarly(member, &req)
		} else {
			m.sendTo(member, &req)
		}
	}
}

// maxCandidacyTimeouts bounds the election timeouts for which a candidate waits for votes after failed candidacies. A
// save that takes longer is overdue.
const maxCandidacyTimeouts = saveTimeoutFactor

// scheduleCandidacy schedules the next election of a candidate, and the time until which it accepts votes. Voters store
// their vote before they respond, so responses take longer than those to pre-votes. After a failed candidacy it waits
// longer, as the disk of a voter may be slow.
func (m *Machine) scheduleCandidacy() {
	m.scheduleEarlyElection()
	wait := m.settings.ElectionTimeout / earlyElectionDivisor
	if m.failedCandidacies > 0 {
		wait = m.settings.ElectionTimeout * time.Duration(min(m.failedCandidacies, maxCandidacyTimeouts))
	}
	m.electionAt = m.electionAt.Add(wait)
	m.voteDeadline = m.now.Add(m.settings.ElectionTimeout)
	if m.settings.SkipVerification {
		// Disks keep votes, so a late vote counts as well.
		m.voteDeadline = m.electionAt
	}
}

// isFirstElection reports whether this replica has recently started and had no contact to a
// leader yet. Other voters may start at any moment and should be asked soon afterwards.
func (m *Machine) isFirstElection() bool {
	return m.lastLeaderContact.Before(m.started) && m.now.Sub(m.started) < firstElectionTimeouts*m.settings.ElectionTimeout
}

// isUpToDate reports whether a log that ends at the given index and term holds everything that
// this replica may have acknowledged.
func (m *Machine) isUpToDate(index, term uint64) bool {
	return !isBehind(index, term, m.log.last(), m.log.lastTerm()) &&
		!isBehind(index, term, m.verification.minLogIndex, m.verification.minLogTerm)
}

func isBehind(index, term, otherIndex, otherTerm uint64) bool {
	return term < otherTerm || (term == otherTerm && index < otherIndex)
}

// hasLeader reports whether this replica leads or had contact to a leader within the election
// timeout.
func (m *Machine) hasLeader() bool {
	return m.role == RoleLeader || m.now.Sub(m.lastLeaderContact) < m.settings.ElectionTimeout
}

func (m *Machine) handleVoteRequest(from storer.Identity, req *VoteRequest) {
	// A replica that was removed or partitioned off must not depose a live leader.
	if m.hasLeader() && !req.LeadershipTransfer {
		if req.PreVote && req.Term <= m.term {
			m.send(from, &VoteResponse{PreVote: true, Term: m.term, RequestTerm: req.Term})
		}
		return
	}
	if req.PreVote {
		granted := m.verification.done && req.Term > m.term && m.isUpToDate(req.LastIndex, req.LastTerm)
		if granted && m.electionDeferrals < maxElectionDeferrals && (m.role == RoleFollower || m.role == RolePreCandidate && slices.Compare(from[:], m.id[:]) < 0) {
			// Of two replicas that ask at the same time, the one with the greater identity defers.
			m.role = RoleFollower
			m.electionDeferrals++
			m.scheduleEarlyElection()
		}
		m.sendEarly(m.recipient(from), &VoteResponse{PreVote: true, Term: m.term, RequestTerm: req.Term, Granted: granted})
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
	m.send(from, &VoteResponse{Term: m.term, RequestTerm: req.Term, Granted: granted})
}

func (m *Machine) handleVoteResponse(from storer.Identity, resp *VoteResponse) {
	if resp.Term > m.term {
		m.becomeFollower(resp.Term, storer.Identity{})
		return
	}
	expected := (m.role == RolePreCandidate && resp.PreVote && resp.RequestTerm == m.term+1) ||
		(m.role == RoleCandidate && !resp.PreVote && resp.RequestTerm == m.term)
	if !expected || !resp.Granted {
		return
	}
	// A late vote may have been cast before the voter restarted with an older disk state.
	if m.now.After(m.voteDeadline) {
		m.counts.LateResponses++
		return
	}
	m.votes[from] = true
	m.countVotes()
}

func (m *Machine) countVotes() {
	if !m.membership().HasMajority(m.majority, func(id storer.Identity) bool { return m.votes[id] }) {
		return
	}
	switch m.role {
	case RolePreCandidate:
		m.startElection(false, false)
	case RoleCandidate:
		// The own vote counts once it is durable, so the term of a leader always is.
		if m.isTermStored() {
			m.startLeading()
		}
	}
}

func (m *Machine) resetElection() {
	jitter := time.Duration(m.rng.Int64N(int64(m.settings.ElectionTimeout)))
	m.electionAt = m.now.Add(m.settings.ElectionTimeout + jitter)
}

// scheduleEarlyElection schedules the next election within a fraction of the election timeout.
// It serves replicas that cannot depose a live leader, because they have just started or only
// ask for pre-votes. A replica that grants a pre-vote defers its own election by the same delay,
// so that replicas rarely compete for the same votes.
func (m *Machine) scheduleEarlyElection() {
	m.scheduleElection(m.settings.ElectionTimeout / earlyElectionDivisor)
}

// scheduleFirstElection schedules an election soon after a start, because all replicas may have
// started together while callers wait for a leader. The pre-vote does not depose a live leader.
// The random spread is several round trips between data centres.
func (m *Machine) scheduleFirstElection() {
	m.scheduleElection(m.settings.ElectionTimeout / firstElectionDivisor)
}

func (m *Machine) scheduleElection(meanDelay time.Duration) {
	m.electionAt = m.now.Add(meanDelay/2 + time.Duration(m.rng.Int64N(int64(meanDelay))))
}
