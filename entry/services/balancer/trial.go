package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/explainer"
)

// explainedResetSize is the number of bytes that a reset takes on the link: a header of 34 bytes, and 66 of IPv4,
// UDP and Ethernet.
const explainedResetSize = 100

// trial decides on one new flow without changing the Balancer. It follows openFlow, admitTo and pick, and works
// on copies of what these change. The lock of the Balancer must be held.
type trial struct {
	*Balancer

	now time.Time
	// admitter is a copy, or nil if new flows are not limited.
	admitter *admitter.Admitter
	// loads holds copies of the loads of services, without requests that have expired.
	loads map[string]*serviceLoad
	// expired holds the flows whose requests have expired. endedProgress counts these requests by group, and
	// released names the backend server of each that counted as its load, in the order of expiry.
	expired       map[flowKey]bool
	endedProgress map[*groupLoad]int
	released      []director.Token
	// limits holds the limits on new flows to the services that were asked.
	limits map[string]*explainer.Limits
}

func newTrial(b *Balancer, now time.Time) *trial {
	t := &trial{
		Balancer: b, now: now, loads: make(map[string]*serviceLoad), expired: make(map[flowKey]bool),
		endedProgress: make(map[*groupLoad]int), limits: make(map[string]*explainer.Limits),
	}
	if b.admitter != nil {
		t.admitter = b.admitter.Copy()
	}
	return t
}

// open returns what openFlow would do with a first opening packet whose service the weights have chosen. known
// is the flow that the entry already has from the source, or nil. If it is open, the packet is taken for a copy of its
// opening packet.
func (t *trial) open(route director.Route, chosen string, known *flow) explainer.Outcome {
	tried := director.Token(0)
	if known != nil && known.isClosed {
		known = nil
	}
	if known != nil {
		server, ok := t.directory.Server(known.token)
		switch {
		case ok && t.mayTakeNewFlows(route, server):
			target := explainer.Target{Name: server.DataCentre, Probability: 1, Candidates: 1, Server: server.Address}
			return explainer.Outcome{
				Probability: 1, Chosen: chosen, Service: server.Service, Action: explainer.ActionForward, IsKnownFlow: true,
				DataCentres: []explainer.Target{target},
			}
		case ok && server.State != director.StateGone && known.isEstablished:
			return t.refuseNew(chosen, chosen, ActionDrop, ReasonLateCopy, known)
		}
		tried = known.token
	}
	service := chosen
	if t.admitter != nil && known == nil {
		var reason Reason
		admitTo := func(service string) (bool, Reason) { return t.admitTo(route, service) }
		if service, reason = admit(route, chosen, admitTo); reason != ReasonNone {
			return t.refuseNew(chosen, service, ActionReset, reason, known)
		}
	}
	for candidate := range servicesOf(route, service) {
		if targets, spill := t.place(candidate, tried); targets != nil {
			return explainer.Outcome{
				Probability: 1, Chosen: chosen, Service: candidate, Action: explainer.ActionForward, IsKnownFlow: known != nil,
				SpillProbability: spill, Limits: t.limits[candidate], DataCentres: targets,
			}
		}
	}
	if known != nil {
		return t.refuseNew(chosen, service, ActionDrop, ReasonNoServer, known)
	}
	return t.refuseNew(chosen, service, ActionReset, ReasonNoServer, known)
}

func (t *trial) refuseNew(chosen, service string, action Action, reason Reason, known *flow) explainer.Outcome {
	if action == ActionReset && t.admitter != nil && !t.admitter.MayRefuse(admitterReasonOf(reason), explainedResetSize, t.now) {
		action = ActionDrop
	}
	o := refusal(1, action, reason)
	o.Chosen, o.Service, o.IsKnownFlow, o.Limits = chosen, service, known != nil, t.limits[service]
	return o
}

func (t *trial) admitTo(route director.Route, service string) (hasServers bool, reason Reason) {
	if len(t.selector.groups(service)) == 0 {
		return false, ReasonNone
	}
	s := t.expire(service)
	s.recordFlow(route.Priority, t.now)
	_, groups := t.groups(service)
	isLinkLimiting := t.admitter.IsLimiting(t.now)
	flow := admitter.Flow{Service: service, Priority: route.Priority, Load: t.load(s, groups, route, isLinkLimiting, t.now)}
	t.limits[service] = t.explainLimits(flow)
	if areDown(groups, t.now) && !isLinkLimiting && t.now.Before(s.nextProbeAt) {
		return true, ReasonUnreachable
	}
	return true, reasonOf(t.admitter.Decide(flow, t.now))
}

func (t *trial) explainLimits(flow admitter.Flow) *explainer.Limits {
	limits := t.admitter.Copy().Explain(flow, t.now)
	l := &explainer.Limits{
		Rank: limits.Rank, IsExhausted: limits.IsExhausted, OwnRequests: flow.Load.OwnRequests, OwnLimit: limits.OwnLimit,
		IsLinkLimiting: limits.IsLinkLimiting, LinkFill: limits.LinkFill,
	}
	if l.OwnLimit > 0 {
		l.ShareUsed = float64(l.OwnRequests) / l.OwnLimit
	}
	return l
}

// expire returns a copy of the load of a service, without the requests that expireRequests would end.
func (t *trial) expire(service string) *serviceLoad {
	if s := t.loads[service]; s != nil {
		return s
	}
	original := t.selector.loads.services[service]
	if original == nil {
		original = &serviceLoad{name: service}
	}
	s := *original
	s.priorities = original.priorities.Copy()
	t.loads[service] = &s
	for _, r := range s.inProgress {
		f := t.flows[r.key]
		if f == nil || f.progress == nil || f.progress.service != original || !f.progressSince.Equal(r.since) || t.expired[r.key] {
			continue
		}
		if t.now.Sub(r.since) < s.expiry() {
			break
		}
		t.expired[r.key] = true
		t.endedProgress[f.progress]++
		s.requests--
		if f.isRequestPending && !f.isRequestExpired {
			t.released = append(t.released, f.token)
		}
	}
	return &s
}

// place returns the data centres in which pick may place a flow, or nil if there is none, and the probability
// that it avoids the local one.
func (t *trial) place(service string, tried director.Token) ([]explainer.Target, float64) {
	copies, groups := t.groups(service)
	spill := t.selector.spillProbability(groups, t.now)
	targets := make(map[string]explainer.Target)
	t.addTargets(targets, copies, tried, false, 1-spill)
	if spill > 0 {
		copies, _ = t.groups(service)
		t.addTargets(targets, copies, tried, true, spill)
	}
	if len(targets) == 0 {
		return nil, 0
	}
	return slices.SortedFunc(maps.Values(targets), func(x, y explainer.Target) int {
		return cmp.Or(cmp.Compare(y.Probability, x.Probability), cmp.Compare(x.Name, y.Name))
	}), spill
}

// addTargets adds the data centres of the backend servers that pick may choose from the groups. It adds none if
// there is no such backend server.
func (t *trial) addTargets(targets map[string]explainer.Target, groups []groupCopy, tried director.Token, spills bool, probability float64) {
	a := attempt{tried: t.selector.backends[tried], now: t.now, spills: spills}
	isTriedUsable := false
	for _, g := range groups {
		isTriedUsable = isTriedUsable || a.tried != nil && a.tried.group == g.original
		if c := g.copies[tried]; c != nil {
			a.tried, isTriedUsable = c, true
		}
	}
	var best ties
	remaining := maxImpairedCompared
	for _, g := range groups {
		remaining -= t.compare(g, a, remaining, &best)
	}
	if len(best.backends) == 0 {
		for _, g := range groups {
			t.compare(g, a, len(g.impaired), &best)
		}
	}
	if len(best.backends) == 0 && isTriedUsable && a.tried.coldStart.mayOpenFlow(t.now) {
		best.backends = []*backend{a.tried}
	}
	counts := make(map[string]int)
	for _, b := range best.backends {
		counts[b.server.DataCentre]++
	}
	for _, b := range best.backends {
		target, isKnown := targets[b.server.DataCentre]
		target.Name = b.server.DataCentre
		target.Candidates = max(target.Candidates, counts[target.Name])
		target.Probability += probability / float64(len(best.backends))
		if !isKnown && target.Candidates == 1 {
			target.Server = b.server.Address
		}
		targets[target.Name] = target
	}
}

// ties holds the backend servers with the least load so far, of which choice draws one.
type ties struct {
	backends []*backend
	load     float64
}

func (c *ties) consider(load float64, b *backend) {
	switch {
	case len(c.backends) == 0 || load < c.load:
		c.backends, c.load = append(c.backends[:0], b), load
	case load == c.load:
		c.backends = append(c.backends, b)
	}
}

// compare follows selector.compare, and keeps all ties.
func (t *trial) compare(g groupCopy, a attempt, limit int, best *ties) int {
	penalty := g.penalty(a)
	if len(best.backends) > 0 && penalty > best.load {
		return 0
	}
	visited := g.visitImpaired(limit, t.now, func(b *backend) {
		if load, ok := b.impairedLoad(penalty, a); ok {
			best.consider(load, b)
		}
	})
	g.eachRanked(func(b *backend) {
		if b == a.tried {
			return
		}
		load := penalty
		if b.isFull() {
			load += saturationPenalty
		}
		best.consider(load+float64(b.Level())/levelsPerFlow, b)
	})
	return visited
}
