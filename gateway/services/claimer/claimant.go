package claimer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

const (
	// retryPause is the mean pause between two rounds; it grows with each.
	retryPause = 40 * time.Millisecond
	// maxPauses bounds the growth of the pause.
	maxPauses = 8
	// unreachableRounds is the number of rounds without a majority of answers
	// after which a claim is given up.
	unreachableRounds = 4
	// reusedRounds is the number of rounds in which only attempts with another
	// body were found after which the key counts as reused. Such an attempt may
	// have been one of two that raced and release the key.
	reusedRounds = 4
	// recordPause is the wait before an outcome is sent again, and
	// recordTimeout the time after which it is given up. A member that misses
	// it still has the claim.
	recordPause   = 500 * time.Millisecond
	recordTimeout = 10 * time.Second
)

// pending is a request that holds a claim or waits for one.
type pending struct {
	id          uint64
	key         messenger.Key
	fingerprint [32]byte
	deadline    time.Time
	held        bool

	rounds  int
	attempt messenger.Attempt
	started time.Time
	// retryAt is when the next round starts; zero during a round.
	retryAt time.Time
	groups  [][]viewer.Gateway
	answers map[string]messenger.ClaimAnswer
	// verdict is what the request is answered with at its deadline.
	verdict recorder.Outcome
}

// record is an outcome that not all members have acknowledged.
type record struct {
	request messenger.RecordRequest
	waiting []viewer.Gateway
	sent    time.Time
	until   time.Time
}

func (m *Machine) want(now time.Time, in ClaimWanted) []Output {
	if len(m.pending) >= m.settings.MaxPending {
		return []Output{Decided{Request: in.Request, Outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonClaimsFull}}}
	}
	if !m.thawed.IsZero() && now.Sub(m.thawed) < thawPause {
		return []Output{Decided{Request: in.Request, Outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonNoMajority}}}
	}
	p := &pending{id: in.Request, key: in.Key, fingerprint: in.Fingerprint, deadline: in.Deadline}
	if limit := now.Add(m.settings.MaxDeadline); p.deadline.After(limit) {
		p.deadline = limit
	}
	// Until a majority of the group has answered, an earlier attempt through
	// another gateway cannot be ruled out, so "not run" might be false.
	p.verdict = recorder.FailedMayHaveRun{Reason: recorder.ReasonNoMajority}
	m.pending[p.id] = p
	m.order = append(m.order, p.id)
	return m.startRound(now, p)
}

func (m *Machine) startRound(now time.Time, p *pending) []Output {
	p.rounds++
	p.attempt = messenger.Attempt{Gateway: m.settings.Self, ID: m.rng.Uint64()}
	p.started, p.retryAt = now, time.Time{}
	p.groups = m.lists.groups(p.key)
	p.answers = make(map[string]messenger.ClaimAnswer)
	req := messenger.ClaimRequest{Key: p.key, Attempt: p.attempt, Fingerprint: p.fingerprint, Lists: m.lists.hashes()}
	var out []Output
	for _, g := range members(p.groups) {
		if g.Name == m.settings.Self {
			p.answers[g.Name] = m.claim(now, req)
			continue
		}
		out = append(out, SendClaim{To: g, Request: p.id, Claim: req})
	}
	return append(out, m.advance(now, p)...)
}

func (m *Machine) answered(now time.Time, in ClaimAnswered) []Output {
	p := m.pending[in.Request]
	if p == nil || p.held || p.attempt != in.Attempt || !p.retryAt.IsZero() {
		return nil
	}
	if _, ok := p.answers[in.From]; !ok {
		p.answers[in.From] = in.Answer
	}
	for _, l := range in.Answer.Lists {
		m.lists = m.lists.withLearned(l.Gateways, now.Add(m.settings.claimedLifetime()+m.settings.Spread))
	}
	return m.advance(now, p)
}

// advance decides what the answers so far mean.
func (m *Machine) advance(now time.Time, p *pending) []Output {
	if !now.Before(p.deadline) {
		return m.decide(now, p, p.verdict)
	}
	if !p.retryAt.IsZero() {
		if now.Before(p.retryAt) {
			return nil
		}
		return m.startRound(now, p)
	}
	if outcome := p.knownOutcome(); outcome != nil {
		return m.decide(now, p, outcome)
	}
	inTime := now.Sub(p.started) < m.settings.Round
	if inTime && m.hasMajority(p, 0) {
		p.held = true
		return []Output{Held{Request: p.id}}
	}
	if inTime && m.canStillWin(p) {
		return nil
	}
	return m.lostRound(now, p)
}

// knownOutcome returns what a member has recorded for the key.
func (p *pending) knownOutcome() recorder.Outcome {
	for _, g := range members(p.groups) {
		answer, ok := p.answers[g.Name]
		if !ok || answer.Done == nil {
			continue
		}
		if answer.DoneBy.Fingerprint != p.fingerprint {
			return recorder.RefusedNotRun{Reason: recorder.ReasonKeyReused}
		}
		return answer.Done.Outcome()
	}
	return nil
}

// hasMajority reports whether a majority of each group has granted the claim,
// if the members that have not answered grant it too when assumed is 1.
func (m *Machine) hasMajority(p *pending, assumed int) bool {
	if len(p.groups) == 0 {
		return false
	}
	return !slices.ContainsFunc(p.groups, func(group []viewer.Gateway) bool {
		count := 0
		for _, g := range group {
			answer, ok := p.answers[g.Name]
			if ok && answer.Status == messenger.ClaimGranted {
				count++
			} else if !ok {
				count += assumed
			}
		}
		return count < m.majority(len(group))
	})
}

func (m *Machine) canStillWin(p *pending) bool {
	for _, answer := range p.answers {
		if answer.Status == messenger.ClaimStale {
			return false
		}
	}
	return m.hasMajority(p, 1)
}

// isFresh reports whether a majority of each group has answered that no other
// attempt has the key.
func (m *Machine) isFresh(p *pending) bool {
	return len(p.groups) > 0 && !slices.ContainsFunc(p.groups, func(group []viewer.Gateway) bool {
		count := 0
		for _, g := range group {
			if s := p.answers[g.Name].Status; s == messenger.ClaimGranted || s == messenger.ClaimFull {
				count++
			}
		}
		return count < m.majority(len(group))
	})
}

// isKnown reports whether a majority of each group has answered at all.
func (m *Machine) isKnown(p *pending) bool {
	return len(p.groups) > 0 && !slices.ContainsFunc(p.groups, func(group []viewer.Gateway) bool {
		count := 0
		for _, g := range group {
			switch p.answers[g.Name].Status {
			case messenger.ClaimGranted, messenger.ClaimFull, messenger.ClaimTaken:
				count++
			default:
			}
		}
		return count < m.majority(len(group))
	})
}

// lostRound releases the grants of the round and starts another one later.
func (m *Machine) lostRound(now time.Time, p *pending) []Output {
	out := m.release(now, p)
	p.retryAt = now
	matching, other, oldest := p.conflicts()
	switch {
	case m.isFresh(p):
		p.verdict = recorder.RefusedNotRun{Reason: p.freshReason(), RetryAfter: time.Second}
	case matching:
		p.verdict = recorder.FailedMayHaveRun{Reason: recorder.ReasonInProgress}
	case other && m.isKnown(p):
		p.verdict = recorder.RefusedNotRun{Reason: recorder.ReasonKeyReused}
	default:
		p.verdict = recorder.FailedMayHaveRun{Reason: recorder.ReasonNoMajority}
	}
	switch {
	case matching && oldest > m.settings.MaxDeadline+m.settings.Spread:
		// That attempt can no longer be in progress.
		return append(out, m.decide(now, p, recorder.FailedMayHaveRun{Reason: recorder.ReasonEarlierAttempt})...)
	case !matching && other && m.isKnown(p) && p.rounds >= reusedRounds,
		!matching && !other && p.rounds >= unreachableRounds:
		return append(out, m.decide(now, p, p.verdict)...)
	}
	pause := retryPause * time.Duration(min(p.rounds, maxPauses))
	p.retryAt = now.Add(pause/2 + time.Duration(m.rng.Int64N(int64(pause))))
	return out
}

// freshReason is why a key that no other attempt has could not be claimed.
func (p *pending) freshReason() recorder.Reason {
	for _, answer := range p.answers {
		if answer.Status == messenger.ClaimFull {
			return recorder.ReasonClaimsFull
		}
	}
	return recorder.ReasonNoMajority
}

// conflicts tells whether members named attempts with the same body or with
// another one, and the age of the oldest with the same body.
func (p *pending) conflicts() (matching, other bool, oldest time.Duration) {
	for _, answer := range p.answers {
		for _, c := range answer.Claims {
			if c.Attempt == p.attempt {
				continue
			}
			if c.Fingerprint == p.fingerprint {
				matching, oldest = true, max(oldest, c.Age)
			} else {
				other = true
			}
		}
	}
	return matching, other, oldest
}

func (m *Machine) decide(now time.Time, p *pending, outcome recorder.Outcome) []Output {
	m.drop(p)
	out := []Output{Decided{Request: p.id, Outcome: outcome}}
	if p.retryAt.IsZero() {
		out = append(out, m.release(now, p)...)
	}
	return out
}

func (m *Machine) drop(p *pending) {
	delete(m.pending, p.id)
	m.order = slices.DeleteFunc(m.order, func(id uint64) bool { return id == p.id })
}

// release gives back the grants of the current round. The attempt is never
// dispatched after that, because answers to it are ignored.
func (m *Machine) release(now time.Time, p *pending) []Output {
	return m.sendRecord(now, p, messenger.RecordRequest{Key: p.key, Attempt: p.attempt, Fingerprint: p.fingerprint, Release: true})
}

func (m *Machine) finish(now time.Time, in OutcomeKnown) []Output {
	p := m.pending[in.Request]
	if p == nil || !p.held {
		return nil
	}
	m.drop(p)
	stored, ok := recorder.NewStored(in.Outcome)
	if !ok {
		return m.release(now, p)
	}
	return m.sendRecord(now, p, messenger.RecordRequest{Key: p.key, Attempt: p.attempt, Fingerprint: p.fingerprint, Outcome: &stored})
}

func (m *Machine) sendRecord(now time.Time, p *pending, req messenger.RecordRequest) []Output {
	r := &record{request: req, sent: now, until: now.Add(recordTimeout)}
	for _, g := range members(p.groups) {
		if g.Name == m.settings.Self {
			m.record(now, req)
			continue
		}
		r.waiting = append(r.waiting, g)
	}
	if len(r.waiting) == 0 {
		return nil
	}
	m.nextID++
	// Under a long cut only the first sending remains.
	if len(m.records) < m.settings.MaxPending {
		m.records[m.nextID] = r
	}
	return r.send(m.nextID)
}

func (r *record) send(id uint64) []Output {
	out := make([]Output, 0, len(r.waiting))
	for _, g := range r.waiting {
		out = append(out, SendRecord{To: g, Record: id, Request: r.request})
	}
	return out
}

func (m *Machine) acknowledge(in RecordAnswered) {
	r := m.records[in.Record]
	if r == nil {
		return
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(g viewer.Gateway) bool { return g.Name == in.From })
	if len(r.waiting) == 0 {
		delete(m.records, in.Record)
	}
}

func (m *Machine) resendRecords(now time.Time) []Output {
	var due []uint64
	for id, r := range m.records {
		if !now.Before(r.until) {
			delete(m.records, id)
		} else if now.Sub(r.sent) >= recordPause {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	var out []Output
	for _, id := range due {
		m.records[id].sent = now
		out = append(out, m.records[id].send(id)...)
	}
	return out
}
