// Package tracker keeps the flows that an entry has seen: a bounded hash table
// from flow fingerprint to backend server.
package tracker

import (
	"time"
	"unsafe"
)

// Flags of a Line.
const (
	// FlagUDP marks a UDP flow; other flows are TCP.
	FlagUDP uint8 = 1 << iota
	// FlagClosed marks a flow whose FIN or RST was seen.
	FlagClosed
	// FlagOnlySYN marks a flow of which only SYN packets were seen.
	FlagOnlySYN
	// FlagReset marks a flow whose caller must get a TCP reset.
	FlagReset
	// FlagAsked marks a flow about which a silence query is on its way.
	FlagAsked
	// FlagCopied marks a flow learned from a peer and not yet seen in a packet.
	FlagCopied
)

// Line is what an entry knows about a flow. Times are seconds since the epoch of
// the cache.
type Line struct {
	// Fingerprint is the 64-bit hash of the flow; 0 marks a free slot.
	Fingerprint uint64
	// Target is the index of the backend server.
	Target uint32
	// Seen is the time of the last packet.
	Seen uint32
	// Replied is the time of the last packet from the backend server, or 0.
	Replied uint32
	// Since is the time of the first caller packet without a response.
	Since uint32
	// Packets counts the packets of the caller, at most 65,535.
	Packets uint16
	Flags   uint8
	// Unanswered counts the caller packets since the last response, at most 255.
	Unanswered uint8
}

// Has reports whether all given flags are set.
func (l *Line) Has(flags uint8) bool { return l.Flags&flags == flags }

// Timeouts are the idle times, in seconds, after which flows are forgotten.
type Timeouts struct {
	TCP, UDP, Closed uint32
}

// DefaultTimeouts are 2 h for TCP, 5 min for UDP, and 60 s for closed flows,
// which covers the last acknowledgements of both sides.
var DefaultTimeouts = Timeouts{TCP: 7200, UDP: 300, Closed: 60}

// Cache is a hash table with linear probing, allocated once. It is not safe for
// concurrent use.
type Cache struct {
	lines    []Line
	mask     uint64
	held     int
	limit    int
	hand     uint64
	epoch    time.Time
	timeouts Timeouts
	// Evicted counts the flows that made room for others before their timeout.
	Evicted uint64
}

// evictionWindow is the number of neighbouring lines among which the one to evict
// is chosen.
const evictionWindow = 16

// NewCache returns a cache that holds up to the given number of flows. Times count
// from epoch.
func NewCache(flows int, epoch time.Time, timeouts Timeouts) *Cache {
	size := uint64(64)
	// Linear probing slows down quickly above a load of 7/8.
	for size*7/8 < uint64(max(flows, 1)) {
		size *= 2
	}
	return &Cache{lines: make([]Line, size), mask: size - 1, limit: flows, epoch: epoch, timeouts: timeouts}
}

// Seconds converts a time to that of lines. It is at least 1, so that 0 means
// never.
func (c *Cache) Seconds(now time.Time) uint32 {
	return uint32(max(now.Sub(c.epoch)/time.Second, 0)) + 1
}

// Len returns the number of flows held, including idle ones not yet swept.
func (c *Cache) Len() int { return c.held }

// Size returns the number of lines, used and free.
func (c *Cache) Size() int { return len(c.lines) }

// Bytes returns the memory that the lines occupy.
func (c *Cache) Bytes() int { return len(c.lines) * int(unsafe.Sizeof(Line{})) }

func (c *Cache) home(fingerprint uint64) uint64 {
	// The low 12 bits select the bucket of the table; other bits are used here.
	return (fingerprint >> 12) & c.mask
}

func toNonZero(fingerprint uint64) uint64 {
	if fingerprint == 0 {
		return 1
	}
	return fingerprint
}

// Lookup returns the line of a flow, or nil. The pointer is valid until the next
// call of another method. It does not allocate.
func (c *Cache) Lookup(fingerprint uint64, now uint32) *Line {
	fingerprint = toNonZero(fingerprint)
	for i := c.home(fingerprint); ; i = (i + 1) & c.mask {
		line := &c.lines[i]
		switch line.Fingerprint {
		case 0:
			return nil
		case fingerprint:
			if c.isIdle(line, now) {
				c.remove(i)
				return nil
			}
			return line
		}
	}
}

// Insert adds a flow that is not held, or overwrites the one held, and returns its
// line. It evicts the most idle flow of the neighbourhood if the cache is full. It
// does not allocate.
func (c *Cache) Insert(line Line) *Line {
	line.Fingerprint = toNonZero(line.Fingerprint)
	if c.held >= c.limit {
		c.evict(c.home(line.Fingerprint))
	}
	for i := c.home(line.Fingerprint); ; i = (i + 1) & c.mask {
		slot := &c.lines[i]
		if slot.Fingerprint == 0 {
			c.held++
		} else if slot.Fingerprint != line.Fingerprint {
			continue
		}
		*slot = line
		return slot
	}
}

// Delete removes a flow.
func (c *Cache) Delete(fingerprint uint64) {
	fingerprint = toNonZero(fingerprint)
	for i := c.home(fingerprint); c.lines[i].Fingerprint != 0; i = (i + 1) & c.mask {
		if c.lines[i].Fingerprint == fingerprint {
			c.remove(i)
			return
		}
	}
}

// Sweep removes the idle flows among the next lines of the table.
func (c *Cache) Sweep(lines int, now uint32) {
	for range min(lines, len(c.lines)) {
		// remove may move another line here, which is then examined in turn.
		for c.lines[c.hand].Fingerprint != 0 && c.isIdle(&c.lines[c.hand], now) {
			c.remove(c.hand)
		}
		c.hand = (c.hand + 1) & c.mask
	}
}

// DeleteTarget removes all flows of a backend server.
func (c *Cache) DeleteTarget(target uint32) {
	for i := range c.lines {
		for c.lines[i].Fingerprint != 0 && c.lines[i].Target == target {
			c.remove(uint64(i))
		}
	}
}

// Each calls f for every flow that is not idle. f must not call methods of the
// cache.
func (c *Cache) Each(now uint32, f func(*Line)) {
	for i := range c.lines {
		if line := &c.lines[i]; line.Fingerprint != 0 && !c.isIdle(line, now) {
			f(line)
		}
	}
}

func (c *Cache) isIdle(line *Line, now uint32) bool {
	limit := c.timeouts.TCP
	switch {
	case line.Has(FlagClosed):
		limit = c.timeouts.Closed
	case line.Has(FlagUDP):
		limit = c.timeouts.UDP
	}
	return now > line.Seen && now-line.Seen > limit
}

func (c *Cache) evict(from uint64) {
	victim, found := uint64(0), false
	for n := uint64(0); n < uint64(len(c.lines)) && (n < evictionWindow || !found); n++ {
		i := (from + n) & c.mask
		if c.lines[i].Fingerprint != 0 && (!found || isBetterVictim(&c.lines[i], &c.lines[victim])) {
			victim, found = i, true
		}
	}
	if found {
		c.remove(victim)
		c.Evicted++
	}
}

func isBetterVictim(a, b *Line) bool {
	if a.Has(FlagClosed) != b.Has(FlagClosed) {
		return a.Has(FlagClosed)
	}
	return a.Seen < b.Seen
}

// remove frees a slot and moves later lines of the same run back, so that no
// tombstones are needed (Knuth, The Art of Computer Programming 3, 6.4, R).
func (c *Cache) remove(i uint64) {
	c.held--
	for j := i; ; {
		c.lines[i] = Line{}
		for {
			j = (j + 1) & c.mask
			if c.lines[j].Fingerprint == 0 {
				return
			}
			home := c.home(c.lines[j].Fingerprint)
			// The line at j may move to i unless its home lies in (i, j].
			if (j-home)&c.mask >= (j-i)&c.mask {
				break
			}
		}
		c.lines[i] = c.lines[j]
		i = j
	}
}
