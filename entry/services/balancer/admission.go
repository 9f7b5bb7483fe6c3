package balancer

import (
	"iter"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

// probeInterval is the time between two new flows that may try a service of which no data centre answers.
// Callers wait for these, so that there are few; the others are refused until one is answered.
const probeInterval = 100 * time.Millisecond

// recordSent records what the entry sends for a packet. isKnown is set if it knew the flow before.
func (b *Balancer) recordSent(p Packet, v Verdict, isKnown, isFirstRequest bool, now time.Time) {
	switch v.Action {
	case ActionForward:
		b.admitter.RecordPacket(admitter.Packet{
			Size: p.Size, IsOpening: p.IsOpening, IsCopy: p.IsOpening && isKnown, IsExpected: p.IsOpening || isFirstRequest,
		}, now)
	case ActionReset:
		b.admitter.RecordPacket(admitter.Packet{Size: p.ResetSize, IsRefusal: p.IsOpening}, now)
	case ActionDrop:
	}
}

// linkWait returns how long a packet waits for the link of the entry now, or 0 if no limit of it is known.
func (b *Balancer) linkWait(now time.Time) time.Duration {
	if b.admitter == nil {
		return 0
	}
	return b.admitter.LinkWait(now)
}

// limitRefusal drops an opening packet instead of refusing it if the link has no room for the reset. A copy is
// refused only while the link limits no flow: on deployment R above its capacity, resets of copies took so much of
// the links that fewer callers were served.
func (b *Balancer) limitRefusal(p Packet, v Verdict, now time.Time) Verdict {
	if v.Action != ActionReset || !p.IsOpening {
		return v
	}
	if !b.admitter.MayRefuse(admitterReasonOf(v.Reason), p.ResetSize, now) || p.Retransmissions > 0 && b.admitter.IsLimiting(now) {
		v.Action, v.IsWithheld = ActionDrop, true
	}
	return v
}

// servicesOf yields the services of a route in the order in which a new flow tries them: the given one, then the
// others with a weight.
func servicesOf(route director.Route, first string) iter.Seq[string] {
	return func(yield func(string) bool) {
		if !yield(first) {
			return
		}
		for _, share := range route.Shares {
			if share.Weight > 0 && share.Service != first && !yield(share.Service) {
				return
			}
		}
	}
}

// admit decides whether a new flow is admitted, and returns the service that gets it: the chosen one, or
// another one of the route with a weight if the chosen one is over capacity, unreachable or without a backend
// server. If no service has one, the choice of a backend server gives the reason. admitTo decides on one
// service, and reports whether it has a backend server.
func admit(route director.Route, chosen string, admitTo func(service string) (hasServers bool, reason Reason)) (string, Reason) {
	hasServers, refusal := admitTo(chosen)
	if hasServers && refusal != ReasonOverCapacity && refusal != ReasonUnreachable {
		return chosen, refusal
	}
	for service := range servicesOf(route, chosen) {
		if service == chosen {
			continue
		}
		hasOtherServers, reason := admitTo(service)
		if hasOtherServers && reason == ReasonNone {
			return service, ReasonNone
		}
		if refusal == ReasonNone {
			refusal = reason
		}
	}
	return chosen, refusal
}

// reasonOf returns the reason for a decision of the admitter.
func reasonOf(reason admitter.Reason) Reason {
	switch reason {
	case admitter.ReasonOverCapacity:
		return ReasonOverCapacity
	case admitter.ReasonLinkFull:
		return ReasonLinkFull
	case admitter.ReasonNone:
	}
	return ReasonNone
}

// admitterReasonOf returns the reason of the admitter for a refusal, or admitter.ReasonNone for one that has another
// cause.
func admitterReasonOf(reason Reason) admitter.Reason {
	switch reason {
	case ReasonOverCapacity:
		return admitter.ReasonOverCapacity
	case ReasonLinkFull:
		return admitter.ReasonLinkFull
	default:
		return admitter.ReasonNone
	}
}

// admitTo decides whether a service may get a new flow, if it has a backend server for one.
func (b *Balancer) admitTo(route director.Route, service string, isCopy bool, now time.Time) (hasServers bool, reason Reason) {
	groups := b.selector.groups(service)
	if len(groups) == 0 {
		return false, ReasonNone
	}
	s := b.selector.loads.of(service)
	s.recordFlow(route.Priority, now)
	b.expireRequests(s, now)
	isLinkLimiting := b.admitter.IsLimiting(now)
	if areDown(groups, now) && !isLinkLimiting {
		if now.Before(s.nextProbeAt) {
			return true, ReasonUnreachable
		}
		s.nextProbeAt = now.Add(probeInterval)
	}
	flow := admitter.Flow{Service: service, Priority: route.Priority, IsCopy: isCopy, Load: b.load(s, groups, route, isLinkLimiting, now)}
	return true, reasonOf(b.admitter.Decide(flow, now))
}

// areDown reports whether none of the data centres answers.
func areDown(groups []*group, now time.Time) bool {
	for _, g := range groups {
		if !g.health.isDown(now) {
			return false
		}
	}
	return true
}

// spills reports whether a new flow should avoid the local data centre.
func (s *selector) spills(groups []*group, now time.Time) bool {
	probability := s.spillProbability(groups, now)
	return probability > 0 && s.rng.Float64() < probability
}

// spillProbability returns the probability with which a new flow avoids the local data centre: the requests in
// progress there exceed its slots, and another data centre has a free one. The probability is the excess, so
// that not all entries change to the same data centre until the next summary.
func (s *selector) spillProbability(groups []*group, now time.Time) float64 {
	if age := s.loads.age(now); age < 0 || age > maxSpillAge {
		return 0
	}
	excess, isElsewhereFree := 0.0, false
	for _, g := range groups {
		total, slots := g.load.total(), float64(g.load.slots)
		switch {
		case g.isLocal && total > slots:
			excess = (total - slots) / total
		case !g.isLocal && total < slots && !g.health.isDown(now):
			isElsewhereFree = true
		}
	}
	if !isElsewhereFree {
		return 0
	}
	return excess
}

// setSharedFlows sets the flows of other entries at each backend server.
func (s *selector) setSharedFlows(loads []loadsharer.ServerLoad) {
	for _, b := range s.backends {
		b.sharedFlows = 0
	}
	for _, load := range loads {
		if b := s.backends[load.Token]; b != nil {
			b.sharedFlows = int(load.Flows)
		}
	}
}
