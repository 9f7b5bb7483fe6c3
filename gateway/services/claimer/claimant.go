package claimer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

const (
	// retryBackoff is the mean backoff after the first round; it grows linearly
	// with the number of rounds.
	retryBackoff = 40 * time.Millisecond
	// maxBackoffFactor limits the growth of the backoff.
	maxBackoffFactor = 8
	// maxRoundsWithoutMajority is the number of rounds without a majority of
	// answers after which a claim is given up.
	maxRoundsWithoutMajority = 4
	// maxRoundsWithOtherBody is the number of rounds that find only attempts
	// with another body after which the key counts as reused. In earlier rounds,
	// such an attempt may have lost a race too and be about to release the key.
	maxRoundsWithOtherBody = 4
	// recordRetryInterval is the wait before a record that was not acknowledged
	// is sent again, and recordTimeout the time after which resending stops. A
	// member that misses an outcome still has the claim.
	recordRetryInterval = 500 * time.Millisecond
	recordTimeout       = 10 * time.Second
)

// pending is a request that holds a claim or waits for one.
type pending struct {
	id          uint64
	key         messenger.Key
	fingerprint [32]byte
	deadline    time.Time
	held        bool

	rounds       int
	attempt      messenger.Attempt
	roundStarted time.Time
	// retryAt is when the next round starts; zero during a round.
	retryAt time.Time
	groups  [][]viewer.Gateway
	answers map[string]messenger.ClaimAnswer
	// failureOutcome is the outcome if the request is given up without a claim.
	failureOutcome recorder.Outcome
}

// pendingRecord is an outcome or a release that not all members have acknowledged.
type pendingRecord struct {
	request        messenger.RecordRequest
	unacknowledged []viewer.Gateway
	lastSent       time.Time
	expires        time.Time
}

func (m *Machine) requestClaim(now time.Time, in ClaimRequested) []Output {
	if len(m.pending) >= m.settings.MaxPending {
		return []Output{RequestDecided{Request: in.Request, Outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonClaimsFull}}}
	}
	if !m.resumed.IsZero() && now.Sub(m.resumed) < resumeDelay {
		return []Output{RequestDecided{Request: in.Request, Outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonNoMajority}}}
	}
	p := &pending{id: in.Request, key: in.Key, fingerprint: in.Fingerprint, deadline: in.Deadline}
	if limit := now.Add(m.settings.MaxDeadline); p.deadline.After(limit) {
		p.deadline = limit
	}
	// Until a majority of the group has answered, an earlier attempt through
	// another gateway cannot be ruled out, so "not run" might be false.
	p.failureOutcome = recorder.FailedMayHaveRun{Reason: recorder.ReasonNoMajority}
	m.pending[p.id] = p
	m.pendingOrder = append(m.pendingOrder, p.id)
	return m.startRound(now, p)
}

func (m *Machine) startRound(now time.Time, p *pending) []Output {
	p.rounds++
	p.attempt = messenger.Attempt{Gateway: m.settings.Self, ID: m.rng.Uint64()}
	p.roundStarted, p.retryAt = now, time.Time{}
	p.groups = m.lists.groups(p.key)
	p.answers = make(map[string]messenger.ClaimAnswer)
	req := messenger.ClaimRequest{Key: p.key, Attempt: p.attempt, Fingerprint: p.fingerprint, ListHashes: m.lists.hashes()}
	var out []Output
	for _, g := range members(p.groups) {
		if g.Name == m.settings.Self {
			p.answers[g.Name] = m.answerClaim(now, req)
			continue
		}
		out = append(out, SendClaim{To: g, Request: p.id, Claim: req})
	}
	return append(out, m.advance(now, p)...)
}

func (m *Machine) receiveAnswer(now time.Time, in ClaimAnswered) []Output {
	p := m.pending[in.Request]
	if p == nil || p.held || p.attempt != in.Attempt || !p.retryAt.IsZero() {
		return nil
	}
	if _, ok := p.answers[in.From]; !ok {
		p.answers[in.From] = in.Answer
	}
	for _, l := range in.Answer.Lists {
		m.lists = m.lists.withLearned(l.Gateways, now.Add(m.settings.claimedLifetime()+m.settings.ViewSpread))
	}
	return m.advance(now, p)
}

// advance ends a request at its deadline, evaluates the answers of the current
// round, or starts the next round when it is due.
func (m *Machine) advance(now time.Time, p *pending) []Output {
	if !now.Before(p.deadline) {
		return m.decide(now, p, p.failureOutcome)
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
	inTime := now.Sub(p.roundStarted) < m.settings.RoundTimeout
	if inTime && m.hasMajority(p, 0) {
		p.held = true
		return []Output{ClaimHeld{Request: p.id}}
	}
	if inTime && m.canStillGetMajority(p) {
		return nil
	}
	return m.failRound(now, p)
}

// knownOutcome returns the outcome that a member has recorded for the key, or
// nil. If that is of a request with another body, the key counts as reused.
func (p *pending) knownOutcome() recorder.Outcome {
	for _, g := range members(p.groups) {
		answer, ok := p.answers[g.Name]
		if !ok || answer.Outcome == nil {
			continue
		}
		if answer.OutcomeOf.Fingerprint != p.fingerprint {
			return recorder.RefusedNotRun{Reason: recorder.ReasonKeyReused}
		}
		return answer.Outcome.Outcome()
	}
	return nil
}

// hasMajority reports whether a majority of each group has granted the claim.
// Each member that has not answered counts as assumedGrants grants: 0 or 1.
func (m *Machine) hasMajority(p *pending, assumedGrants int) bool {
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
				count += assumedGrants
			}
		}
		return count < m.majority(len(group))
	})
}

func (m *Machine) canStillGetMajority(p *pending) bool {
	for _, answer := range p.answers {
		if answer.Status == messenger.ClaimStale {
			return false
		}
	}
	return m.hasMajority(p, 1)
}

// isUnclaimed reports whether a majority of each group has answered that no other
// attempt has the key.
func (m *Machine) isUnclaimed(p *pending) bool {
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

// hasAnswersOfMajority reports whether a majority of each group has answered
// with the state of the key.
func (m *Machine) hasAnswersOfMajority(p *pending) bool {
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

// failRound releases the grants of the round. It schedules another round or, if
// that would not help, ends the request.
func (m *Machine) failRound(now time.Time, p *pending) []Output {
	out := m.release(now, p)
	p.retryAt = now
	sameBody, otherBody, oldest := p.conflicts()
	switch {
	case m.isUnclaimed(p):
		p.failureOutcome = recorder.RefusedNotRun{Reason: p.unclaimedReason(), RetryAfter: time.Second}
	case sameBody:
		p.failureOutcome = recorder.FailedMayHaveRun{Reason: recorder.ReasonInProgress}
	case otherBody && m.hasAnswersOfMajority(p):
		p.failureOutcome = recorder.RefusedNotRun{Reason: recorder.ReasonKeyReused}
	default:
		p.failureOutcome = recorder.FailedMayHaveRun{Reason: recorder.ReasonNoMajority}
	}
	switch {
	case sameBody && oldest > m.settings.MaxDeadline+m.settings.ViewSpread:
		// That attempt can no longer be in progress.
		return append(out, m.decide(now, p, recorder.FailedMayHaveRun{Reason: recorder.ReasonEarlierAttempt})...)
	case !sameBody && otherBody && m.hasAnswersOfMajority(p) && p.rounds >= maxRoundsWithOtherBody,
		!sameBody && !otherBody && p.rounds >= maxRoundsWithoutMajority:
		return append(out, m.decide(now, p, p.failureOutcome)...)
	}
	backoff := retryBackoff * time.Duration(min(p.rounds, maxBackoffFactor))
	p.retryAt = now.Add(backoff/2 + time.Duration(m.rng.Int64N(int64(backoff))))
	return out
}

// unclaimedReason returns why a key that no other attempt has could not be claimed.
func (p *pending) unclaimedReason() recorder.Reason {
	for _, answer := range p.answers {
		if answer.Status == messenger.ClaimFull {
			return recorder.ReasonClaimsFull
		}
	}
	return recorder.ReasonNoMajority
}

// conflicts reports whether members named other attempts with the same body or
// with another body, and the age of the oldest one with the same body.
func (p *pending) conflicts() (sameBody, otherBody bool, oldest time.Duration) {
	for _, answer := range p.answers {
		for _, c := range answer.Claims {
			if c.Attempt == p.attempt {
				continue
			}
			if c.Fingerprint == p.fingerprint {
				sameBody, oldest = true, max(oldest, c.Age)
			} else {
				otherBody = true
			}
		}
	}
	return sameBody, otherBody, oldest
}

func (m *Machine) decide(now time.Time, p *pending, outcome recorder.Outcome) []Output {
	m.removePending(p)
	out := []Output{RequestDecided{Request: p.id, Outcome: outcome}}
	if p.retryAt.IsZero() {
		out = append(out, m.release(now, p)...)
	}
	return out
}

func (m *Machine) removePending(p *pending) {
	delete(m.pending, p.id)
	m.pendingOrder = slices.DeleteFunc(m.pendingOrder, func(id uint64) bool { return id == p.id })
}

// release gives up the grants of the current round. The attempt is never
// dispatched after that, because answers to it are ignored.
func (m *Machine) release(now time.Time, p *pending) []Output {
	return m.sendRecord(now, p, messenger.RecordRequest{Key: p.key, Attempt: p.attempt, Fingerprint: p.fingerprint, Release: true})
}

func (m *Machine) finishRequest(now time.Time, in OutcomeKnown) []Output {
	p := m.pending[in.Request]
	if p == nil || !p.held {
		return nil
	}
	m.removePending(p)
	stored, ok := recorder.NewStoredOutcome(in.Outcome)
	if !ok {
		return m.release(now, p)
	}
	return m.sendRecord(now, p, messenger.RecordRequest{Key: p.key, Attempt: p.attempt, Fingerprint: p.fingerprint, Outcome: &stored})
}

func (m *Machine) sendRecord(now time.Time, p *pending, req messenger.RecordRequest) []Output {
	r := &pendingRecord{request: req, lastSent: now, expires: now.Add(recordTimeout)}
	for _, g := range members(p.groups) {
		if g.Name == m.settings.Self {
			m.applyRecord(now, req)
			continue
		}
		r.unacknowledged = append(r.unacknowledged, g)
	}
	if len(r.unacknowledged) == 0 {
		return nil
	}
	m.lastRecordID++
	// During a long network partition the map fills up; further records are then
	// sent only once.
	if len(m.records) < m.settings.MaxPending {
		m.records[m.lastRecordID] = r
	}
	return r.send(m.lastRecordID)
}

func (r *pendingRecord) send(id uint64) []Output {
	out := make([]Output, 0, len(r.unacknowledged))
	for _, g := range r.unacknowledged {
		out = append(out, SendRecord{To: g, Record: id, Request: r.request})
	}
	return out
}

func (m *Machine) acknowledge(in RecordAcknowledged) {
	r := m.records[in.Record]
	if r == nil {
		return
	}
	r.unacknowledged = slices.DeleteFunc(r.unacknowledged, func(g viewer.Gateway) bool { return g.Name == in.From })
	if len(r.unacknowledged) == 0 {
		delete(m.records, in.Record)
	}
}

func (m *Machine) resendRecords(now time.Time) []Output {
	var due []uint64
	for id, r := range m.records {
		if !now.Before(r.expires) {
			delete(m.records, id)
		} else if now.Sub(r.lastSent) >= recordRetryInterval {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	var out []Output
	for _, id := range due {
		m.records[id].lastSent = now
		out = append(out, m.records[id].send(id)...)
	}
	return out
}
