package replicator

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// A replica cannot detect by itself that its disk was rolled back, because an old image was
// restored or a sync was lost. Until it is verified after a start, it stores what a leader
// sends, but it grants no votes and leaders do not count it. After an initial wait it asks the
// other voters for their term and the end of their log. The greatest responses become its
// minimum log position and its term: it grants no vote in that term or an older one, and none
// to a candidate whose log is behind the minimum log position.
//
// Every majority that included this replica before the start also includes one of any n/2+1
// other voters. The responses of that many voters therefore cover each vote and each committed
// entry that this replica may have lost. Votes and acknowledgements that it sent before the
// restart and that are still in transit are harmless after the initial wait, because candidates
// and leaders ignore late ones.

// initialWaitFactor times the election timeout is the initial wait. Votes and acknowledgements
// are valid for one election timeout; the rest allows for differences in clock rate.
const initialWaitFactor = 1.25

// minLogTimeoutFactor times the election timeout is how long the log may stay behind the minimum
// log position. If any replica still has those entries, it is elected and sends them sooner.
const minLogTimeoutFactor = 10

type verification struct {
	done bool
	// phaseStartedAt is when the verification began or, if it is done, when it ended.
	phaseStartedAt time.Time
	waitUntil      time.Time
	nextRequestAt  time.Time
	nonce          uint64
	responses      map[storer.Identity]*VerifyResponse

	minLogIndex, minLogTerm uint64
}

func (m *Machine) startVerification(isNew bool) {
	wait := time.Duration(initialWaitFactor * float64(m.settings.ElectionTimeout))
	m.verification = verification{phaseStartedAt: m.now, waitUntil: m.now.Add(wait)}
	// A replica with a new identity has not acknowledged anything yet.
	if m.settings.SkipVerification || isNew && m.log.last() == 0 {
		m.verification.done = true
	}
}

// otherVoters returns all voters except this replica, outgoing ones included.
func (m *Machine) otherVoters() []storer.Member {
	var others []storer.Member
	for _, member := range m.membership().Members {
		if m.membership().IsVoter(member.ID) && member.ID != m.id {
			others = append(others, member)
		}
	}
	return others
}

func (m *Machine) tickVerification() {
	v := &m.verification
	if v.done {
		m.restartStalledVerification()
		return
	}
	if m.membership().Cluster.IsZero() || m.now.Before(v.waitUntil) && !m.isOnlyVoter() {
		return
	}
	if v.responses == nil {
		v.nonce = m.rng.Uint64()
		v.responses = make(map[storer.Identity]*VerifyResponse)
	}
	if !m.now.Before(v.nextRequestAt) {
		v.nextRequestAt = m.now.Add(2 * m.settings.Heartbeat)
		for _, member := range m.otherVoters() {
			m.sendTo(member, &VerifyRequest{Nonce: v.nonce})
		}
	}
	m.finishVerificationIfReady()
}

// restartStalledVerification begins a new verification if the log stays behind the minimum log
// position. If every replica that had those entries is gone, the entries were not committed and
// no log would ever reach the position.
func (m *Machine) restartStalledVerification() {
	v := &m.verification
	timeout := minLogTimeoutFactor * m.settings.ElectionTimeout
	if m.role == RoleLeader || m.now.Sub(v.phaseStartedAt) < timeout ||
		!isBehind(m.log.last(), m.log.lastTerm(), v.minLogIndex, v.minLogTerm) {
		return
	}
	m.becomeFollower(m.term, m.leader)
	m.verification = verification{phaseStartedAt: m.now, waitUntil: m.now}
}

func (m *Machine) handleVerifyRequest(from storer.Identity, req *VerifyRequest) {
	m.send(from, &VerifyResponse{
		Nonce: req.Nonce, Term: m.term, LastIndex: m.log.last(), LastTerm: m.log.lastTerm(),
		MembershipIndex: m.membershipIndex(),
	})
}

func (m *Machine) handleVerifyResponse(from storer.Identity, resp *VerifyResponse) {
	v := &m.verification
	if v.done || v.responses == nil || resp.Nonce != v.nonce {
		return
	}
	v.responses[from] = resp
	m.finishVerificationIfReady()
}

// countVerifyResponses returns the number of the voters with this replica, and how many of the others have responded.
func (m *Machine) countVerifyResponses(voters []storer.Identity) (n, answered int) {
	n = 1
	for _, id := range voters {
		if id == m.id {
			continue
		}
		n++
		if m.verification.responses[id] != nil {
			answered++
		}
	}
	return n, answered
}

// finishVerificationIfReady ends the verification once enough voters have responded.
func (m *Machine) finishVerificationIfReady() {
	v := &m.verification
	others := m.otherVoters()
	outdated := slices.ContainsFunc(others, func(member storer.Member) bool {
		resp := v.responses[member.ID]
		return resp != nil && resp.MembershipIndex > m.membershipIndex()
	})
	isComplete, isWeak := true, true
	for _, voters := range m.membership().VoterSets() {
		n, answered := m.countVerifyResponses(voters)
		isComplete = isComplete && answered >= min(n-1, n/2+1)
		isWeak = isWeak && answered >= n/2
	}
	switch {
	case isComplete && !outdated:
		m.counts.Verifications++
	case m.settings.TrustDiskAfter > 0 && m.now.Sub(v.phaseStartedAt) >= m.settings.TrustDiskAfter && isWeak:
		m.counts.WeakVerifications++
	default:
		return
	}
	term := uint64(0)
	for _, member := range others {
		resp := v.responses[member.ID]
		if resp == nil {
			continue
		}
		term = max(term, resp.Term)
		if isBehind(v.minLogIndex, v.minLogTerm, resp.LastIndex, resp.LastTerm) {
			v.minLogIndex, v.minLogTerm = resp.LastIndex, resp.LastTerm
		}
	}
	v.done, v.responses, v.phaseStartedAt = true, nil, m.now
	if term > m.term {
		m.becomeFollower(term, storer.Identity{})
	}
	if term == m.term && m.vote.IsZero() {
		m.setTerm(term, voteBlocked)
	}
	// Without contact to a leader during the initial wait, the next election does not have to
	// wait for a complete timeout. Replicas that started together still need the jitter.
	if m.resetElection(); !m.hasLeader() {
		m.electionAt = m.electionAt.Add(-m.settings.ElectionTimeout)
	}
}
