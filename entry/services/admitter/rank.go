package admitter

import (
	"maps"
	"slices"
	"time"
)

// rankMemory is how long a priority counts as used after its last new flow.
const rankMemory = 10 * time.Second

// Ranks holds priorities that are in use, the highest (lowest number) first and without duplicates.
type Ranks []uint8

// of returns the position of a priority. One that is not in use is the lowest.
func (r Ranks) of(priority uint8) int {
	if i, ok := slices.BinarySearch(r, priority); ok {
		return i
	}
	return len(r)
}

// urgency falls in even steps from 1 for the highest priority to 0 for the lowest. A single one has 0.
func (r Ranks) urgency(priority uint8) float64 {
	if len(r) < 2 {
		return 0
	}
	return float64(max(len(r)-1-r.of(priority), 0)) / float64(len(r)-1)
}

// highest returns the highest priority in use.
func (r Ranks) highest() uint8 {
	if len(r) == 0 {
		return 0
	}
	return r[0]
}

// RankTracker ranks the priorities that have had new flows lately. Configured ones without flows, such as
// those of routes to another service, do not count. The zero value has no priorities.
type RankTracker struct {
	lastUsed  map[uint8]time.Time
	ranks     Ranks
	checkedAt time.Time
}

// Record records a new flow of a priority and returns the ranks. They are valid until the next call.
func (t *RankTracker) Record(priority uint8, now time.Time) Ranks {
	if t.lastUsed == nil {
		t.lastUsed = make(map[uint8]time.Time)
	}
	_, isKnown := t.lastUsed[priority]
	t.lastUsed[priority] = now
	if !isKnown || now.Sub(t.checkedAt) >= rankMemory/10 {
		t.update(now)
	}
	return t.ranks
}

// Copy returns a RankTracker that ranks as this one would, and that leaves this one unchanged.
func (t *RankTracker) Copy() RankTracker {
	return RankTracker{lastUsed: maps.Clone(t.lastUsed), ranks: slices.Clone(t.ranks), checkedAt: t.checkedAt}
}

func (t *RankTracker) update(now time.Time) {
	t.checkedAt = now
	t.ranks = t.ranks[:0]
	for priority, used := range t.lastUsed {
		if now.Sub(used) > rankMemory {
			delete(t.lastUsed, priority)
			continue
		}
		t.ranks = append(t.ranks, priority)
	}
	slices.Sort(t.ranks)
}
