package claimer

import (
	"math/rand/v2"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
)

// Settings are the settings of a Machine.
type Settings struct {
	// Self is the name of this gateway.
	Self string
	// MaxDeadline is the maximum time that a request may take.
	MaxDeadline time.Duration
	// OutcomeLifetime is how long an outcome is kept.
	OutcomeLifetime time.Duration
	// RoundTimeout is the maximum time between sending a claim and counting its
	// majority. A member that restarts waits for two rounds before it copies
	// claims: by then, a grant that it gave before the restart and forgot is
	// either void or part of a majority that it copies from.
	RoundTimeout time.Duration
	// ViewSpread is the maximum time until all gateways have a new gateway list.
	ViewSpread time.Duration
	// MaxKeys and MaxBytes limit the memory for keys and outcomes.
	MaxKeys  int
	MaxBytes int
	// MaxPending limits the requests that hold a claim or wait for one, and
	// separately the records that are sent again until they are acknowledged.
	MaxPending int
	// FirstStart asserts that no gateway has served requests within one claim
	// lifetime, so that copies from peers that are recovering too are complete.
	FirstStart bool
}

// claimedLifetime is how long a claim without an outcome is kept. The request
// ends before its deadline, and its outcome is kept for OutcomeLifetime after that.
func (s Settings) claimedLifetime() time.Duration {
	return s.MaxDeadline + s.OutcomeLifetime + s.ViewSpread
}

// Machine is a deterministic state machine. It is not safe for concurrent use.
// The times that it is given must be monotonic.
type Machine struct {
	settings     Settings
	rng          *rand.Rand
	lists        gatewayLists
	store        *store
	pending      map[uint64]*pending
	pendingOrder []uint64
	records      map[uint64]*pendingRecord
	lastRecordID uint64
	recovery     recovery
	epoch        uint64
	majority     func(n int) int
	// lastInput is the time of the last input, and resumed that of the last
	// input that came after a long gap.
	lastInput time.Time
	resumed   time.Time
}

// resumeDelay is how long no claims are made after the process was paused for
// long. Requests that callers sent before or during the pause are read within
// this time, and their keys may have expired meanwhile.
const resumeDelay = time.Second

// New returns a Machine that recovers the claims that an earlier process of this
// gateway may have granted.
func New(settings Settings, now time.Time, rng *rand.Rand) *Machine {
	return &Machine{
		settings: settings, rng: rng, store: newStore(settings),
		pending: make(map[uint64]*pending), records: make(map[uint64]*pendingRecord),
		recovery: recovery{started: now, copies: make(map[string]*copyState)},
		epoch:    rng.Uint64(), majority: majority,
	}
}

// Step applies one input and returns the outputs that result from it.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if !m.lastInput.IsZero() && now.Sub(m.lastInput) > m.settings.OutcomeLifetime/4 {
		m.resumed = now
	}
	m.lastInput = now
	m.lists = m.lists.valid(now)
	switch in := input.(type) {
	case ListChanged:
		m.lists = m.lists.withCurrent(in.Gateways, now.Add(m.settings.claimedLifetime()+m.settings.ViewSpread))
	case ClaimRequested:
		return m.requestClaim(now, in)
	case OutcomeKnown:
		return m.finishRequest(now, in)
	case CallerCancelled:
		if p := m.pending[in.Request]; p != nil && !p.held {
			m.removePending(p)
			return m.release(now, p)
		}
	case ClaimReceived:
		return []Output{AnswerClaim{Call: in.Call, Answer: m.answerClaim(now, in.Request)}}
	case ClaimAnswered:
		return m.receiveAnswer(now, in)
	case RecordReceived:
		m.applyRecord(now, in.Request)
	case RecordAcknowledged:
		m.acknowledge(in)
	case HandOverReceived:
		return []Output{AnswerHandOver{Call: in.Call, Answer: m.answerHandOver(now, in.Request)}}
	case HandOverAnswered:
		return m.receiveCopy(now, in)
	case Stopping:
		return m.pushAll(now)
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) tick(now time.Time) []Output {
	m.store.sweep(now)
	var out []Output
	for _, id := range append([]uint64(nil), m.pendingOrder...) {
		if p := m.pending[id]; p != nil && !p.held {
			out = append(out, m.advance(now, p)...)
		}
	}
	out = append(out, m.resendRecords(now)...)
	return append(out, m.requestCopies(now)...)
}

// answerClaim answers a claim request as a member of the claim group.
func (m *Machine) answerClaim(now time.Time, req messenger.ClaimRequest) messenger.ClaimAnswer {
	e := m.store.get(now, req.Key)
	if e != nil && e.outcome != nil {
		return messenger.ClaimAnswer{Status: messenger.ClaimTaken, Outcome: e.outcome, OutcomeOf: e.outcomeOf.message(now)}
	}
	if !m.knowsAllLists(req.ListHashes) {
		return messenger.ClaimAnswer{Status: messenger.ClaimStale, Lists: m.lists.messages()}
	}
	if !m.isRecovered(now, req.Key) {
		return messenger.ClaimAnswer{Status: messenger.ClaimRecovering}
	}
	if e != nil && len(e.claims) == 1 && e.holds(req.Attempt) {
		return messenger.ClaimAnswer{Status: messenger.ClaimGranted}
	}
	if e != nil && (len(e.claims) > 0 || e.isReleased(now, req.Attempt)) {
		answer := messenger.ClaimAnswer{Status: messenger.ClaimTaken}
		for _, c := range e.claims {
			answer.Claims = append(answer.Claims, c.message(now))
		}
		return answer
	}
	if e = m.store.create(now, req.Key); e == nil {
		return messenger.ClaimAnswer{Status: messenger.ClaimFull}
	}
	m.store.addClaim(now, e, heldClaim{attempt: req.Attempt, fingerprint: req.Fingerprint, grantedAt: now})
	return messenger.ClaimAnswer{Status: messenger.ClaimGranted}
}

// knowsAllLists reports whether the claimant uses every list in force here.
func (m *Machine) knowsAllLists(used []uint64) bool {
	for _, l := range m.lists {
		found := false
		for _, hash := range used {
			found = found || hash == l.hash
		}
		if !found {
			return false
		}
	}
	return true
}

// applyRecord stores an outcome or a release as a member of the claim group. The
// outcome of a dispatched attempt replaces the claims of other attempts: none of
// them can have had a majority.
func (m *Machine) applyRecord(now time.Time, req messenger.RecordRequest) {
	e := m.store.get(now, req.Key)
	if e != nil && e.outcome != nil {
		return
	}
	if e == nil {
		if e = m.store.create(now, req.Key); e == nil {
			return
		}
	}
	if req.Release {
		m.store.release(now, e, req.Attempt)
		return
	}
	if req.Outcome == nil {
		return
	}
	m.store.setOutcome(e, heldClaim{attempt: req.Attempt, fingerprint: req.Fingerprint, grantedAt: now}, *req.Outcome)
	e.expires = now.Add(m.settings.OutcomeLifetime)
}

// Keys returns the number of keys that this gateway stores.
func (m *Machine) Keys() int { return len(m.store.entries) }

// Pending returns the number of requests that hold a claim or wait for one.
func (m *Machine) Pending() int { return len(m.pending) }

// IsRecovering reports whether this gateway still refuses claims on some keys,
// because it has not copied enough claims from its peers since it started.
func (m *Machine) IsRecovering(now time.Time) bool { return !m.isRecoveredForAll(now) }
