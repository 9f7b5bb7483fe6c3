// Package admitter decides whether an entry takes on new flows when load exceeds capacity. It answers two
// kinds of load: more requests than the slots of a service can run in time, and more bytes than the link of
// the entry can carry. It never concerns open flows.
package admitter

import (
	"errors"
	"fmt"
	"math"
	"time"
)

const (
	// DefaultLowestShare is the default of Settings.LowestShare.
	DefaultLowestShare = 0.05
	// maxLowestShare keeps at least half of the capacity for the higher ranks.
	maxLowestShare = 0.5
	// maxDebt is the number of requests that are remembered beyond the credit of their rank. With 0, chance
	// alone leaves credit in one of ten pauses between two requests on open flows.
	maxDebt = 5
)

// Settings are the limits that an entry enforces.
type Settings struct {
	// LinkRate is the rate of the entry's link in bytes per second and direction; 0 sets no limit.
	LinkRate float64
	// LowestShare is the share of the requests of each lower rank to a service, from 0 to 0.5, below which its
	// new flows are admitted like those of the highest rank, so that no rank starves.
	LowestShare float64
}

// Check returns an error that names every value out of range.
func (s Settings) Check() error {
	var errs []error
	if !(s.LinkRate >= 0) || math.IsInf(s.LinkRate, 1) {
		errs = append(errs, fmt.Errorf("link rate %g must be 0 or above and finite", s.LinkRate))
	}
	if !(s.LowestShare >= 0 && s.LowestShare <= maxLowestShare) {
		errs = append(errs, fmt.Errorf("lowest share %g must be 0 to %g", s.LowestShare, maxLowestShare))
	}
	return errors.Join(errs...)
}

// Reason is why a new flow is refused.
type Reason uint8

// Reasons for refusing a new flow.
const (
	// ReasonNone admits the flow.
	ReasonNone Reason = iota
	// ReasonOverCapacity is a service whose slots are all in use, with as many requests waiting as can be
	// served in time.
	ReasonOverCapacity
	// ReasonLinkFull is a link of the entry that carries as much as it can.
	ReasonLinkFull
)

// creditKey identifies a rank of a service.
type creditKey struct {
	service  string
	priority uint8
}

// Flow describes a new flow.
type Flow struct {
	// Service is the one that its route chooses.
	Service string
	// Priority is that of its route; 0 is the highest.
	Priority uint8
	// IsCopy is set if the caller has sent the opening packet before.
	IsCopy bool
	// Load is the load of the service.
	Load Load
}

// Admitter decides on new flows. The zero value is not usable; it is not safe for concurrent use.
type Admitter struct {
	settings Settings
	link     linkLimiter
	// ranks are the priorities of the flows to all services, which share the link.
	ranks RankTracker
	// credits adds up LowestShare for each new flow of a lower rank, without copies of opening packets; at 1 such
	// a flow counts as one of the highest rank. Each request of the rank that is served otherwise takes 1 off, down to 0: long flows that
	// were admitted in this way carry many requests each, and would add up to fill the link.
	credits map[creditKey]float64
}

// New returns an Admitter. The settings must be valid.
func New(settings Settings) *Admitter {
	return &Admitter{settings: settings, link: linkLimiter{rate: settings.LinkRate}, credits: make(map[creditKey]float64)}
}

// Packet describes a packet that the entry sends.
type Packet struct {
	// Size is the number of bytes that it takes on the link, with the headers of all layers and the gap between
	// frames.
	Size int
	// IsOpening is set for an opening packet, and IsCopy for one that the entry has sent before.
	IsOpening, IsCopy bool
	// IsExpected is set for the packets of the first request of a flow, which its admission has taken into account.
	IsExpected bool
	// IsRefusal is set for the reset of a new flow.
	IsRefusal bool
}

// RecordPacket records a packet that the entry sends.
func (a *Admitter) RecordPacket(p Packet, now time.Time) { a.link.recordPacket(p, now) }

// LinkWait returns how long a packet that the entry sends now waits for its link.
func (a *Admitter) LinkWait(now time.Time) time.Duration {
	a.link.advance(now)
	return a.link.wait()
}

// RecordOpened records the time from the first opening packet of a flow, without copies, to the caller's
// acknowledgement of the answer, less what LinkWait returned at its start.
func (a *Admitter) RecordOpened(d time.Duration, now time.Time) { a.link.recordOpened(d, now) }

// RecordRequest records a request that is served without the share of its rank, as one on an open flow is.
func (a *Admitter) RecordRequest(service string, priority uint8) {
	key := creditKey{service: service, priority: priority}
	a.credits[key] = max(a.credits[key]-1, -maxDebt)
}

// Decide returns why the entry refuses a new flow, or ReasonNone.
func (a *Admitter) Decide(f Flow, now time.Time) Reason {
	ranks := a.ranks.Record(f.Priority, now)
	isPromoted := false
	if key := (creditKey{service: f.Service, priority: f.Priority}); f.Priority > ranks.highest() && !f.IsCopy {
		if a.credits[key] += a.settings.LowestShare; a.credits[key] >= 1 {
			a.credits[key]--
			isPromoted = true
		}
	}
	reason := a.decide(f, ranks, isPromoted, now)
	if reason == ReasonNone && !isPromoted {
		a.RecordRequest(f.Service, f.Priority)
	}
	return reason
}

func (a *Admitter) decide(f Flow, ranks Ranks, isPromoted bool, now time.Time) Reason {
	serviceUrgency, share := f.Load.Ranks.urgency(f.Priority), shareOf(ranks.urgency(f.Priority))
	switch {
	case isPromoted:
		serviceUrgency, share = 1, shareOf(1).forPromoted()
	case len(ranks) < 2:
		share = onlyShare
	}
	if f.IsCopy {
		share = share.forCopy()
	}
	fits := a.link.fits(share, now)
	if !f.IsCopy {
		a.link.recordFit(fits)
	}
	switch {
	case fits:
	case f.Load.isExhausted():
		return ReasonOverCapacity
	default:
		return ReasonLinkFull
	}
	if f.Load.isExhausted() && f.Load.isOwnShareUsed(serviceUrgency) || f.Load.isOwnShareFarExceeded(serviceUrgency) ||
		f.Load.hasTooManyLongFlows(serviceUrgency) {
		return ReasonOverCapacity
	}
	a.link.admit(share)
	return ReasonNone
}

// MayRefuse reports whether the link has room for the refusal of a new flow, of the given size in bytes. Without
// room the opening packet is better left unanswered.
func (a *Admitter) MayRefuse(reason Reason, size int, now time.Time) bool {
	return a.link.mayRefuse(reason, size, now)
}

// IsLimiting reports whether the link limits new flows at present.
func (a *Admitter) IsLimiting(now time.Time) bool { return a.link.isLimiting(now) }
