package claimer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
)

// tombstoneLifetime is how long a member remembers a released attempt, so that
// a claim request that arrives late does not claim the key again.
const tombstoneLifetime = 2 * time.Minute

// maxTombstones limits the released attempts that are kept per key. Dropping one
// early can at most leave the key blocked, because a released attempt is never
// dispatched.
const maxTombstones = 32

// entry is the state of one key at a group member.
type entry struct {
	key messenger.Key
	// claims are the attempts without an outcome. In normal operation there is
	// at most one. After a copy from members that had granted different
	// attempts there may be several; the key is free when all are released.
	claims []heldClaim
	// outcome is the outcome of outcomeOf, the attempt that was dispatched.
	outcome   *recorder.StoredOutcome
	outcomeOf heldClaim
	// released are the attempts that will never be dispatched.
	released []releasedClaim
	expires  time.Time
	sequence uint64
}

type heldClaim struct {
	attempt     messenger.Attempt
	fingerprint [32]byte
	grantedAt   time.Time
}

type releasedClaim struct {
	attempt messenger.Attempt
	expires time.Time
}

func (e *entry) isReleased(now time.Time, attempt messenger.Attempt) bool {
	return slices.ContainsFunc(e.released, func(r releasedClaim) bool { return r.attempt == attempt && now.Before(r.expires) })
}

func (e *entry) holds(attempt messenger.Attempt) bool {
	return slices.ContainsFunc(e.claims, func(c heldClaim) bool { return c.attempt == attempt })
}

func (c heldClaim) message(now time.Time) messenger.Claim {
	return messenger.Claim{Attempt: c.attempt, Fingerprint: c.fingerprint, Age: max(0, now.Sub(c.grantedAt))}
}

func heldClaimFrom(now time.Time, c messenger.Claim) heldClaim {
	return heldClaim{attempt: c.Attempt, fingerprint: c.Fingerprint, grantedAt: now.Add(-max(0, c.Age))}
}

// store keeps the keys of a member within a fixed amount of memory. It never
// evicts a key before it expires: when it is full, it refuses new keys.
type store struct {
	settings  Settings
	entries   map[messenger.Key]*entry
	sequence  uint64
	bytes     int
	lastSweep time.Time
}

func newStore(settings Settings) *store {
	return &store{settings: settings, entries: make(map[messenger.Key]*entry)}
}

// get returns the entry of a key, or nil if there is none or it has expired.
func (s *store) get(now time.Time, key messenger.Key) *entry {
	e := s.entries[key]
	if e != nil && !now.Before(e.expires) {
		s.remove(e)
		return nil
	}
	return e
}

// create returns the entry of a key, creating it if there is none. It returns
// nil if the store is full.
func (s *store) create(now time.Time, key messenger.Key) *entry {
	if e := s.get(now, key); e != nil {
		return e
	}
	if len(s.entries) >= s.settings.MaxKeys {
		return nil
	}
	s.sequence++
	e := &entry{key: key, sequence: s.sequence}
	s.entries[key] = e
	return e
}

func (s *store) remove(e *entry) {
	if e.outcome != nil {
		s.bytes -= e.outcome.Size()
	}
	delete(s.entries, e.key)
}

// setOutcome stores the first outcome of a key and ignores later ones. The response
// body is left out if there is no room for it.
func (s *store) setOutcome(e *entry, outcomeOf heldClaim, outcome recorder.StoredOutcome) {
	if e.outcome != nil {
		return
	}
	if s.bytes+outcome.Size() > s.settings.MaxBytes {
		outcome = outcome.WithoutBody()
	}
	s.bytes += outcome.Size()
	e.outcome, e.outcomeOf, e.claims = &outcome, outcomeOf, nil
}

// addClaim adds an attempt without an outcome.
func (s *store) addClaim(now time.Time, e *entry, claim heldClaim) {
	e.claims = append(e.claims, claim)
	e.expires = later(e.expires, now.Add(s.settings.claimedLifetime()))
}

// release removes the claim of an attempt and remembers the attempt as released.
func (s *store) release(now time.Time, e *entry, attempt messenger.Attempt) {
	e.claims = slices.DeleteFunc(e.claims, func(c heldClaim) bool { return c.attempt == attempt })
	e.released = slices.DeleteFunc(e.released, func(r releasedClaim) bool { return !now.Before(r.expires) })
	if len(e.released) >= maxTombstones {
		e.released = e.released[1:]
	}
	if !e.isReleased(now, attempt) {
		e.released = append(e.released, releasedClaim{attempt: attempt, expires: now.Add(tombstoneLifetime)})
	}
	if len(e.claims) == 0 && e.outcome == nil {
		e.expires = now.Add(tombstoneLifetime)
	}
}

// sweep removes expired keys, at most once every ten seconds.
func (s *store) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < 10*time.Second {
		return
	}
	s.lastSweep = now
	for _, e := range s.entries {
		if !now.Before(e.expires) {
			s.remove(e)
		}
	}
}

// createdAfter returns the entries created after the cursor, oldest first.
func (s *store) createdAfter(now time.Time, cursor uint64) []*entry {
	var found []*entry
	for _, e := range s.entries {
		if e.sequence > cursor && now.Before(e.expires) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return found
}

func (e *entry) message(now time.Time) messenger.KeyState {
	k := messenger.KeyState{Key: e.key, Remaining: e.expires.Sub(now)}
	for _, c := range e.claims {
		k.Claims = append(k.Claims, c.message(now))
	}
	if e.outcome != nil {
		k.Outcome, k.OutcomeOf = e.outcome, e.outcomeOf.message(now)
	}
	return k
}

// merge adds a peer's state of a key without discarding what this member knows.
// It returns false if the store is full.
func (s *store) merge(now time.Time, k messenger.KeyState) bool {
	if len(k.Claims) == 0 && k.Outcome == nil {
		return true
	}
	e := s.create(now, k.Key)
	if e == nil {
		return false
	}
	remaining := min(max(0, k.Remaining), s.settings.claimedLifetime())
	if k.Outcome != nil {
		s.setOutcome(e, heldClaimFrom(now, k.OutcomeOf), *k.Outcome)
		e.expires = later(e.expires, now.Add(remaining))
		return true
	}
	for _, c := range k.Claims {
		if e.outcome == nil && !e.holds(c.Attempt) && !e.isReleased(now, c.Attempt) {
			e.claims = append(e.claims, heldClaimFrom(now, c))
		}
	}
	e.expires = later(e.expires, now.Add(remaining))
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
