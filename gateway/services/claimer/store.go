package claimer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
)

// tombstoneLifetime is how long a member remembers a released attempt, so that
// a claim message that arrives late does not take the key again.
const tombstoneLifetime = 2 * time.Minute

// maxTombstones bounds the released attempts of one key. Forgetting one costs
// at most the use of the key, because a released attempt is never dispatched.
const maxTombstones = 32

// entry is the state of one key at a member.
type entry struct {
	key messenger.Key
	// claims are the attempts without an outcome. In normal operation there is
	// at most one. After a copy from members that had granted different
	// attempts there may be several; the key is free when all are released.
	claims []heldClaim
	// done is the outcome of the attempt that was dispatched.
	done   *recorder.Stored
	doneBy heldClaim
	// released are attempts that will never be dispatched.
	released []releasedClaim
	expires  time.Time
	sequence uint64
}

type heldClaim struct {
	attempt     messenger.Attempt
	fingerprint [32]byte
	since       time.Time
}

type releasedClaim struct {
	attempt messenger.Attempt
	until   time.Time
}

func (e *entry) isReleased(now time.Time, attempt messenger.Attempt) bool {
	return slices.ContainsFunc(e.released, func(r releasedClaim) bool { return r.attempt == attempt && now.Before(r.until) })
}

func (e *entry) holds(attempt messenger.Attempt) bool {
	return slices.ContainsFunc(e.claims, func(c heldClaim) bool { return c.attempt == attempt })
}

func (c heldClaim) message(now time.Time) messenger.Claim {
	return messenger.Claim{Attempt: c.attempt, Fingerprint: c.fingerprint, Age: max(0, now.Sub(c.since))}
}

func heldFrom(now time.Time, c messenger.Claim) heldClaim {
	return heldClaim{attempt: c.Attempt, fingerprint: c.Fingerprint, since: now.Add(-max(0, c.Age))}
}

// store keeps the keys of a member within a fixed amount of memory. It never
// forgets a key before its time: when it is full, it refuses new ones.
type store struct {
	settings Settings
	entries  map[messenger.Key]*entry
	sequence uint64
	bytes    int
	swept    time.Time
}

func newStore(settings Settings) *store {
	return &store{settings: settings, entries: make(map[messenger.Key]*entry)}
}

// get returns the entry of a key, or nil.
func (s *store) get(now time.Time, key messenger.Key) *entry {
	e := s.entries[key]
	if e != nil && !now.Before(e.expires) {
		s.remove(e)
		return nil
	}
	return e
}

// create returns the entry of a key and makes one if there is none. It returns
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
	if e.done != nil {
		s.bytes -= e.done.Size()
	}
	delete(s.entries, e.key)
}

// setDone keeps the first outcome of a key.
func (s *store) setDone(e *entry, by heldClaim, outcome recorder.Stored) {
	if e.done != nil {
		return
	}
	if s.bytes+outcome.Size() > s.settings.MaxBytes {
		outcome = outcome.WithoutBody()
	}
	s.bytes += outcome.Size()
	e.done, e.doneBy, e.claims = &outcome, by, nil
}

// addClaim keeps an attempt without an outcome.
func (s *store) addClaim(now time.Time, e *entry, claim heldClaim) {
	e.claims = append(e.claims, claim)
	e.expires = later(e.expires, now.Add(s.settings.claimedLifetime()))
}

// release removes an attempt and remembers that it was released.
func (s *store) release(now time.Time, e *entry, attempt messenger.Attempt) {
	e.claims = slices.DeleteFunc(e.claims, func(c heldClaim) bool { return c.attempt == attempt })
	e.released = slices.DeleteFunc(e.released, func(r releasedClaim) bool { return !now.Before(r.until) })
	if len(e.released) >= maxTombstones {
		e.released = e.released[1:]
	}
	if !e.isReleased(now, attempt) {
		e.released = append(e.released, releasedClaim{attempt: attempt, until: now.Add(tombstoneLifetime)})
	}
	if len(e.claims) == 0 && e.done == nil {
		e.expires = now.Add(tombstoneLifetime)
	}
}

// sweep removes expired keys every ten seconds.
func (s *store) sweep(now time.Time) {
	if now.Sub(s.swept) < 10*time.Second {
		return
	}
	s.swept = now
	for _, e := range s.entries {
		if !now.Before(e.expires) {
			s.remove(e)
		}
	}
}

// after returns the entries created after the cursor, oldest first.
func (s *store) after(now time.Time, cursor uint64) []*entry {
	var found []*entry
	for _, e := range s.entries {
		if e.sequence > cursor && now.Before(e.expires) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return found
}

func (e *entry) message(now time.Time) messenger.HeldKey {
	k := messenger.HeldKey{Key: e.key, Remaining: e.expires.Sub(now)}
	for _, c := range e.claims {
		k.Claims = append(k.Claims, c.message(now))
	}
	if e.done != nil {
		k.Done, k.DoneBy = e.done, e.doneBy.message(now)
	}
	return k
}

// merge adds what a peer knows of a key. Nothing that this member knows is
// lost. It returns false if there is no room.
func (s *store) merge(now time.Time, k messenger.HeldKey) bool {
	if len(k.Claims) == 0 && k.Done == nil {
		return true
	}
	e := s.create(now, k.Key)
	if e == nil {
		return false
	}
	remaining := min(max(0, k.Remaining), s.settings.claimedLifetime())
	if k.Done != nil {
		s.setDone(e, heldFrom(now, k.DoneBy), *k.Done)
		e.expires = later(e.expires, now.Add(remaining))
		return true
	}
	for _, c := range k.Claims {
		if e.done == nil && !e.holds(c.Attempt) && !e.isReleased(now, c.Attempt) {
			e.claims = append(e.claims, heldFrom(now, c))
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
