package replicator

import (
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// A replica cannot know by itself that its disk went back in time: an old image
// was restored, or a sync was lost. Until it is verified after a start, it stores
// what a leader sends but gives no vote and is not counted by a leader. Then it
// asks the other voters for their term and the end of their log, and takes the
// greatest ones as a floor: it votes in no term up to the floor's, and for no log
// that is behind the floor.
//
// Every majority that this replica was part of before the start includes, apart
// from itself, one of any n/2+1 other voters. So the floor of that many covers
// each vote and each committed entry that it may have forgotten. Votes and
// confirmations of the earlier life that are still on their way are harmless
// after the hold time, as candidates and leaders ignore late ones.

// holdFactor times the election timeout is the hold time. Votes and confirmations
// count for one election timeout; the rest allows for differing clocks.
const holdFactor = 1.25

// floorPatience times the election timeout is how long the log may stay behind
// the floor. A leader that has those entries is elected and sends them sooner.
const floorPatience = 10

type verification struct {
	done bool
	// startedAt is when the verification began, or ended if it is done.
	startedAt time.Time
	holdUntil time.Time
	askAt     time.Time
	nonce     uint64
	answers   map[storer.Identity]*VerifyResponse

	floorIndex, floorTerm uint64
}

func (m *Machine) startVerification(isNew bool) {
	hold := time.Duration(holdFactor * float64(m.settings.ElectionTimeout))
	m.verification = verification{startedAt: m.now, holdUntil: m.now.Add(hold)}
	// A new identity has acknowledged nothing yet.
	if m.settings.TrustDisk || isNew && m.log.last() == 0 {
		m.verification.done = true
	}
}

// otherVoters returns the voters that this replica must ask.
func (m *Machine) otherVoters() []storer.Member {
	var others []storer.Member
	for _, member := range m.membership().Members {
		if member.Voter && member.ID != m.id {
			others = append(others, member)
		}
	}
	return others
}

func (m *Machine) tickVerification() {
	v := &m.verification
	if v.done {
		m.reviewFloor()
		return
	}
	if m.membership().Cluster.IsZero() || m.now.Before(v.holdUntil) && !m.isAlone() {
		return
	}
	if v.answers == nil {
		v.nonce = m.rng.Uint64()
		v.answers = make(map[storer.Identity]*VerifyResponse)
	}
	if !m.now.Before(v.askAt) {
		v.askAt = m.now.Add(2 * m.settings.Heartbeat)
		for _, member := range m.otherVoters() {
			m.sendTo(member, &VerifyRequest{Nonce: v.nonce})
		}
	}
	m.reviewVerification()
}

// reviewFloor begins a new verification if the log stays behind the floor. The
// entries of the floor were not committed if all who had them are gone, and then
// no log could ever reach it.
func (m *Machine) reviewFloor() {
	v := &m.verification
	patience := floorPatience * m.settings.ElectionTimeout
	if m.role == RoleLeader || m.now.Sub(v.startedAt) < patience ||
		!isBehind(m.log.last(), m.log.lastTerm(), v.floorIndex, v.floorTerm) {
		return
	}
	m.becomeFollower(m.term, m.leader)
	m.verification = verification{startedAt: m.now, holdUntil: m.now}
}

func (m *Machine) handleVerifyRequest(from storer.Identity, req *VerifyRequest) {
	m.send(from, &VerifyResponse{
		Nonce: req.Nonce, Term: m.term, LastIndex: m.log.last(), LastTerm: m.log.lastTerm(),
		MembershipIndex: m.membershipIndex(),
	})
}

func (m *Machine) handleVerifyResponse(from storer.Identity, resp *VerifyResponse) {
	v := &m.verification
	if v.done || v.answers == nil || resp.Nonce != v.nonce {
		return
	}
	v.answers[from] = resp
	m.reviewVerification()
}

// reviewVerification ends the verification once enough voters have answered.
func (m *Machine) reviewVerification() {
	v := &m.verification
	others := m.otherVoters()
	n := len(others) + 1
	answered, outdated := 0, false
	for _, member := range others {
		if resp := v.answers[member.ID]; resp != nil {
			answered++
			outdated = outdated || resp.MembershipIndex > m.membershipIndex()
		}
	}
	switch {
	case answered >= min(n-1, n/2+1) && !outdated:
		m.counts.Verifications++
	case m.settings.TrustDiskAfter > 0 && m.now.Sub(v.startedAt) >= m.settings.TrustDiskAfter && answered >= n/2:
		m.counts.WeakVerifications++
	default:
		return
	}
	term := uint64(0)
	for _, member := range others {
		resp := v.answers[member.ID]
		if resp == nil {
			continue
		}
		term = max(term, resp.Term)
		if isBehind(v.floorIndex, v.floorTerm, resp.LastIndex, resp.LastTerm) {
			v.floorIndex, v.floorTerm = resp.LastIndex, resp.LastTerm
		}
	}
	v.done, v.answers, v.startedAt = true, nil, m.now
	if term > m.term {
		m.becomeFollower(term, storer.Identity{})
	}
	if term == m.term && m.vote.IsZero() {
		m.setTerm(term, voteBlocked)
	}
	// No leader was heard during the hold time, so the next election need not wait
	// for a whole timeout. Replicas that started together still need the jitter.
	if m.resetElection(); !m.hasLeader() {
		m.electionAt = m.electionAt.Add(-m.settings.ElectionTimeout)
	}
}
