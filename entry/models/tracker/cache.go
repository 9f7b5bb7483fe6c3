// Package tracker implements the flow table of an entry: a bounded hash table that
// maps flow fingerprints to backend servers.
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
	// FlagOnlySYN marks a flow for which only SYN packets were seen.
	FlagOnlySYN
	// FlagCopied marks a flow learned from a peer for which no packet has been seen yet.
	FlagCopied
)

// Flow is the tracked state of a flow. Times are in seconds since the epoch of the
// cache.
type Flow struct {
	// Fingerprint is the 64-bit hash of the flow; 0 marks a free slot.
	Fingerprint uint64
	// Target is the index of the backend server.
	Target uint32
	// LastSeen is the time of the last packet.
	LastSeen uint32
	// Opening is the sequence number of the newest opening packet, or 0 if unknown.
	Opening uint32
	// Packets counts the packets of the caller and saturates at 65,535.
	Packets uint16
	Flags   uint8
}

// Has reports whether all given flags are set.
func (f *Flow) Has(flags uint8) bool { return f.Flags&flags == flags }

// Timeouts are the idle timeouts in seconds, after which flows are removed.
type Timeouts struct {
	TCP, UDP, Closed uint32
}

// DefaultTimeouts are 2 h for TCP, 5 min for UDP and 60 s for closed flows. The
// latter covers the last acknowledgements of both sides.
var DefaultTimeouts = Timeouts{TCP: 7200, UDP: 300, Closed: 60}

// Cache is a hash table with linear probing and a fixed size that is allocated once.
// It is not safe for concurrent use.
type Cache struct {
	slots      []Flow
	mask       uint64
	count      int
	limit      int
	sweepIndex uint64
	epoch      time.Time
	timeouts   Timeouts
	// Evicted counts the flows that were evicted for others before their timeout.
	Evicted uint64
}

// evictionWindow is the number of neighbouring slots from which the flow to evict is
// chosen.
const evictionWindow = 16

// NewCache returns a cache for up to the given number of flows. The times in it count
// from epoch.
func NewCache(flows int, epoch time.Time, timeouts Timeouts) *Cache {
	size := uint64(64)
	// Linear probing degrades quickly above a load factor of 7/8.
	for size*7/8 < uint64(max(flows, 1)) {
		size *= 2
	}
	return &Cache{slots: make([]Flow, size), mask: size - 1, limit: flows, epoch: epoch, timeouts: timeouts}
}

// Seconds converts a time to seconds since the epoch of the cache. The result is at
// least 1, so that 0 can mean never.
func (c *Cache) Seconds(now time.Time) uint32 {
	return uint32(max(now.Sub(c.epoch)/time.Second, 0)) + 1
}

// Len returns the number of stored flows, including idle ones not yet swept.
func (c *Cache) Len() int { return c.count }

// Size returns the number of slots, used and free.
func (c *Cache) Size() int { return len(c.slots) }

// Bytes returns the size of the hash table in bytes.
func (c *Cache) Bytes() int { return len(c.slots) * int(unsafe.Sizeof(Flow{})) }

func (c *Cache) homeSlot(fingerprint uint64) uint64 {
	// The low 12 bits select the bucket of the placement table, so use the others.
	return (fingerprint >> 12) & c.mask
}

func toNonZero(fingerprint uint64) uint64 {
	if fingerprint == 0 {
		return 1
	}
	return fingerprint
}

// Lookup returns the state of a flow, or nil if the flow is not stored or idle. The
// pointer is valid until the next call of another method. Lookup does not allocate.
func (c *Cache) Lookup(fingerprint uint64, now uint32) *Flow {
	fingerprint = toNonZero(fingerprint)
	for i := c.homeSlot(fingerprint); ; i = (i + 1) & c.mask {
		flow := &c.slots[i]
		switch flow.Fingerprint {
		case 0:
			return nil
		case fingerprint:
			if c.isIdle(flow, now) {
				c.remove(i)
				return nil
			}
			return flow
		}
	}
}

// Insert adds or overwrites a flow and returns its stored state. If the cache is full
// it evicts a flow of the neighbouring slots, closed flows first, then the flow that
// has been idle longest. It does not allocate.
func (c *Cache) Insert(flow Flow) *Flow {
	flow.Fingerprint = toNonZero(flow.Fingerprint)
	if c.count >= c.limit {
		c.evict(c.homeSlot(flow.Fingerprint))
	}
	for i := c.homeSlot(flow.Fingerprint); ; i = (i + 1) & c.mask {
		slot := &c.slots[i]
		if slot.Fingerprint == 0 {
			c.count++
		} else if slot.Fingerprint != flow.Fingerprint {
			continue
		}
		*slot = flow
		return slot
	}
}

// Delete removes a flow. It does nothing if the flow is not stored.
func (c *Cache) Delete(fingerprint uint64) {
	fingerprint = toNonZero(fingerprint)
	for i := c.homeSlot(fingerprint); c.slots[i].Fingerprint != 0; i = (i + 1) & c.mask {
		if c.slots[i].Fingerprint == fingerprint {
			c.remove(i)
			return
		}
	}
}

// Sweep removes the idle flows from the given number of slots. The next call continues
// after them.
func (c *Cache) Sweep(slots int, now uint32) {
	for range min(slots, len(c.slots)) {
		// remove may move another flow into this slot, so check the slot again.
		for c.slots[c.sweepIndex].Fingerprint != 0 && c.isIdle(&c.slots[c.sweepIndex], now) {
			c.remove(c.sweepIndex)
		}
		c.sweepIndex = (c.sweepIndex + 1) & c.mask
	}
}

// DeleteTarget removes all flows of a backend server.
func (c *Cache) DeleteTarget(target uint32) {
	for i := range c.slots {
		for c.slots[i].Fingerprint != 0 && c.slots[i].Target == target {
			c.remove(uint64(i))
		}
	}
}

// Each calls f for every flow that is not idle. f must not call methods of the
// cache.
func (c *Cache) Each(now uint32, f func(*Flow)) {
	for i := range c.slots {
		if flow := &c.slots[i]; flow.Fingerprint != 0 && !c.isIdle(flow, now) {
			f(flow)
		}
	}
}

func (c *Cache) isIdle(flow *Flow, now uint32) bool {
	limit := c.timeouts.TCP
	switch {
	case flow.Has(FlagClosed):
		limit = c.timeouts.Closed
	case flow.Has(FlagUDP):
		limit = c.timeouts.UDP
	}
	return now > flow.LastSeen && now-flow.LastSeen > limit
}

func (c *Cache) evict(from uint64) {
	victim, found := uint64(0), false
	for n := uint64(0); n < uint64(len(c.slots)) && (n < evictionWindow || !found); n++ {
		i := (from + n) & c.mask
		if c.slots[i].Fingerprint != 0 && (!found || isBetterVictim(&c.slots[i], &c.slots[victim])) {
			victim, found = i, true
		}
	}
	if found {
		c.remove(victim)
		c.Evicted++
	}
}

func isBetterVictim(a, b *Flow) bool {
	if a.Has(FlagClosed) != b.Has(FlagClosed) {
		return a.Has(FlagClosed)
	}
	return a.LastSeen < b.LastSeen
}

// remove frees a slot and shifts later flows of the same run back, so that no
// tombstones are needed (Knuth, The Art of Computer Programming 3, 6.4, R).
func (c *Cache) remove(i uint64) {
	c.count--
	for j := i; ; {
		c.slots[i] = Flow{}
		for {
			j = (j + 1) & c.mask
			if c.slots[j].Fingerprint == 0 {
				return
			}
			home := c.homeSlot(c.slots[j].Fingerprint)
			// The flow at j may move to i unless its home slot lies in (i, j].
			if (j-home)&c.mask >= (j-i)&c.mask {
				break
			}
		}
		c.slots[i] = c.slots[j]
		i = j
	}
}
