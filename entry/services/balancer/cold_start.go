package balancer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// coldStartState is the state of the cold start of one backend server. It divides the rate of new
// flows that the backend server can take among the entries: time is cut into slots of one flow
// each, assigned to the entries round robin. So all entries together stay below the rate without
// communication, also during a partition.
type coldStartState struct {
	// duration is the length of the cold start as the control cluster announced it.
	duration          time.Duration
	startedAt, endsAt time.Time
	// slotLength is the length of a time slot; 0 sets no limit.
	slotLength time.Duration
	// index is the position of this entry among the entryCount enlisted ones; entryCount is 0 if it
	// is not among them.
	index, entryCount int64
	// nextSlot is the first time slot that this entry has not used.
	nextSlot int64
}

// updateColdStart applies what the view says about the cold start of a backend server.
func (s *selector) updateColdStart(directory *director.Directory, b *backend, server director.Server, now time.Time) {
	if !server.IsCold() {
		b.coldStart = nil
		delete(s.coldBackends, server.Token)
		return
	}
	s.coldBackends[server.Token] = b
	c := b.coldStart
	if c == nil || c.duration != server.ColdStart {
		c = &coldStartState{duration: server.ColdStart, startedAt: now, endsAt: now.Add(server.ColdStart)}
		b.coldStart = c
	}
	c.slotLength, c.index, c.entryCount = 0, 0, 0
	if rate := directory.ColdRate(server.Service); rate > 0 {
		c.slotLength = time.Duration(float64(time.Second) / rate)
		if !directory.HasEntry(s.name) {
			return
		}
		entries := directory.Entries()
		if index, found := slices.BinarySearch(entries, s.name); found {
			c.index, c.entryCount = int64(index), int64(len(entries))
		}
	}
}

// isActive reports whether requests still take longer than usual.
func (c *coldStartState) isActive(now time.Time) bool { return c != nil && now.Before(c.endsAt) }

// affectsChoice reports whether the cold start affects the choice of a backend server: requests
// take longer, or time slots limit the new flows.
func (c *coldStartState) affectsChoice(now time.Time) bool {
	return c.isActive(now) || c != nil && c.slotLength > 0
}

// mayOpenFlow reports whether this entry may open a flow now. The limit stays until the control
// cluster reports the end of the cold start, even past the announced duration.
func (c *coldStartState) mayOpenFlow(now time.Time) bool {
	if c == nil || c.slotLength <= 0 {
		return true
	}
	slot := int64(now.Sub(c.startedAt) / c.slotLength)
	return c.entryCount > 0 && slot >= c.nextSlot && slot%c.entryCount == c.index
}

// useTimeSlot uses up the current time slot.
func (c *coldStartState) useTimeSlot(now time.Time) {
	if c != nil && c.slotLength > 0 {
		c.nextSlot = int64(now.Sub(c.startedAt)/c.slotLength) + 1
	}
}
