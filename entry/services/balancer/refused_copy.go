package balancer

import (
	"math"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/detector"
)

const (
	// refusalPeriod is the least time for which a refused opening packet is remembered. The longest time between
	// two transmissions of one is 0.8 s.
	refusalPeriod = time.Second
	// maxRefusedOpenings limits the refused flows that are remembered of each period, which take 1.4 MB. At 14 times
	// its usual load, an entry of deployment R gets up to 3,200 attempts a second (28,500 requests, 27 entries, three
	// attempts each).
	maxRefusedOpenings = 8192
	// isForwarded stands for the number of refused packets of a flow of which one has been forwarded.
	isForwarded = math.MaxUint32
)

// openingKey identifies an attempt to open a flow. The sequence differs if the caller uses its port again.
type openingKey struct {
	flowKey

	sequence uint32
}

func openingKeyOf(p Packet) openingKey { return openingKey{flowKey: keyOf(p), sequence: p.Sequence} }

// refusedOpenings remembers the flows of which this entry has refused the first opening packet and each copy
// since. No other entry can have forwarded one of these.
type refusedOpenings struct {
	// current and previous hold the number of refused packets by flow, of this period and the one before.
	current, previous map[openingKey]uint32
	startedAt         time.Time
}

func newRefusedOpenings() *refusedOpenings {
	return &refusedOpenings{current: make(map[openingKey]uint32), previous: make(map[openingKey]uint32)}
}

// record records the refusal of an opening packet. It reports whether it is the next one of its flow, after
// packets that were all refused.
func (r *refusedOpenings) record(p Packet, now time.Time) bool {
	r.advance(now)
	key := openingKeyOf(p)
	count, isCurrent := r.count(key)
	if p.Retransmissions != count {
		return false
	}
	if isCurrent || len(r.current) < maxRefusedOpenings {
		r.current[key] = count + 1
	}
	return true
}

// count returns the number of refused packets of a flow, and whether it was counted in the current period.
func (r *refusedOpenings) count(key openingKey) (count uint32, isCurrent bool) {
	if count, isCurrent = r.current[key]; !isCurrent {
		count = r.previous[key]
	}
	return count, isCurrent
}

// hasAllBefore reports whether all earlier packets of the flow of an opening packet were refused.
func (r *refusedOpenings) hasAllBefore(p Packet) bool {
	count, _ := r.count(openingKeyOf(p))
	return count == p.Retransmissions
}

// recordForwarded records that an opening packet is forwarded. If the flow is remembered, a duplicate of an earlier
// packet does not make it count as refused again.
func (r *refusedOpenings) recordForwarded(p Packet, now time.Time) {
	r.advance(now)
	key := openingKeyOf(p)
	for _, flows := range []map[openingKey]uint32{r.current, r.previous} {
		if _, ok := flows[key]; ok {
			flows[key] = isForwarded
		}
	}
}

// advance begins a new period if the current one is over.
func (r *refusedOpenings) advance(now time.Time) {
	passed := now.Sub(r.startedAt)
	if passed < refusalPeriod {
		return
	}
	r.current, r.previous = r.previous, r.current
	clear(r.current)
	if passed >= 2*refusalPeriod {
		clear(r.previous)
	}
	r.startedAt = now
}

// refuseOpening refuses the opening packet of a flow that this entry does not know. A first one that was read in
// time is answered with a reset, and a copy if mayResetCopy allows it: another entry may have forwarded the
// packet of which it is a copy, or a copy of it meanwhile, and the flow be open.
func (b *Balancer) refuseOpening(p Packet, reason Reason, now time.Time) Verdict {
	mayResetCopy := b.mayResetCopy(p, reason, now)
	switch {
	case p.Retransmissions > 0 && !mayResetCopy:
		return b.refuse(p, ActionDrop, reason)
	case p.Waited < maxOpeningWait:
		return b.refuse(p, ActionReset, reason)
	}
	v := b.refuse(p, ActionDrop, reason)
	v.IsLate = true
	return v
}

// mayResetCopy records the refusal of an opening packet, and reports whether it may be answered with a reset if
// it is a copy. That is so only if no entry can have forwarded an earlier packet of the flow: this one has
// refused all of them because of load, and nothing shows that it was paused or that flows move between entries.
func (b *Balancer) mayResetCopy(p Packet, reason Reason, now time.Time) bool {
	if b.refusedOpenings == nil || reason != ReasonOverCapacity && reason != ReasonLinkFull || !b.refusedOpenings.record(p, now) {
		return false
	}
	if p.Retransmissions == 0 || p.Waited >= maxOpeningWait || b.isViewOld(now) {
		return false
	}
	b.detectSuspension(now)
	return !b.detector.IsChanging(now) && !b.detector.HasPaused(now)
}

// detectSuspension records a pause if the VM was suspended since the last update of the view. The time of
// packets does not count a suspension.
func (b *Balancer) detectSuspension(now time.Time) {
	if b.settings.Clock == nil || b.updatedAt.IsZero() {
		return
	}
	if b.settings.Clock.Now().Sub(b.confirmedAt)-now.Sub(b.updatedAt) >= detector.MaxGap {
		b.detector.RecordPause(now)
	}
}

// isViewOld reports whether the view may be out of date.
func (b *Balancer) isViewOld(now time.Time) bool {
	return now.Sub(b.updatedAt) > maxFreshViewAge || b.settings.Clock != nil && b.settings.Clock.Now().Sub(b.confirmedAt) > maxFreshViewAge
}
