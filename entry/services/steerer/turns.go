package steerer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// turns divides the rate of new flows that a cold backend server bears among the
// entries: time is cut into slots of one flow each, and the entries own them in
// turn. So the entries stay below the rate together without talking to each other,
// also when they are cut off.
type turns struct {
	// announced is the length of the cold start as control told it.
	announced    time.Duration
	since, until time.Time
	// slot is the length of a turn; 0 sets no limit.
	slot time.Duration
	// own is the position of this entry among all; all is 0 if it is not among them.
	own, all int64
	// next is the first slot that this entry has not used.
	next int64
}

// updateTurns takes over what a view says of a backend server's cold start.
func (s *selector) updateTurns(directory *director.Directory, b *backend, server director.Server, now time.Time) {
	if !server.IsCold() {
		b.cold = nil
		delete(s.cold, server.Token)
		return
	}
	s.cold[server.Token] = b
	t := b.cold
	if t == nil || t.announced != server.ColdFor {
		t = &turns{announced: server.ColdFor, since: now, until: now.Add(server.ColdFor)}
		b.cold = t
	}
	t.slot, t.own, t.all = 0, 0, 0
	if rate := directory.ColdRate(server.Service); rate > 0 {
		t.slot = time.Duration(float64(time.Second) / rate)
		if !directory.IsEnlisted(s.name) {
			return
		}
		entries := directory.Entries()
		if own, found := slices.BinarySearch(entries, s.name); found {
			t.own, t.all = int64(own), int64(len(entries))
		}
	}
}

// isCold reports whether requests take longer than usual.
func (t *turns) isCold(now time.Time) bool { return t != nil && now.Before(t.until) }

// isLimited reports whether the cold start bears on a choice: requests take longer, or
// turns bound the new flows.
func (t *turns) isLimited(now time.Time) bool { return t.isCold(now) || t != nil && t.slot > 0 }

// mayTake reports whether this entry may open a flow now. The limit holds until
// control says that the cold start is over, not only as long as it was announced.
func (t *turns) mayTake(now time.Time) bool {
	if t == nil || t.slot <= 0 {
		return true
	}
	slot := int64(now.Sub(t.since) / t.slot)
	return t.all > 0 && slot >= t.next && slot%t.all == t.own
}

// take uses up the current slot.
func (t *turns) take(now time.Time) {
	if t != nil && t.slot > 0 {
		t.next = int64(now.Sub(t.since)/t.slot) + 1
	}
}
