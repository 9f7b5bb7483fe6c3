package balancer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/explainer"
)

// Explain returns what the entry would do with the first opening packet of a flow to a route now. Without a
// valid source it returns an outcome for each service that the weights may choose. It changes no state, so that
// later decisions are the same as without it. The lock is held while the backend servers of the route are
// visited, so that callers must limit how often they call it.
func (b *Balancer) Explain(route, source netip.AddrPort, now time.Time) explainer.Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := explainer.Explanation{Entry: b.settings.Name, DataCentre: b.settings.DataCentre, Route: route, Source: source}
	if !b.updatedAt.IsZero() {
		e.View = explainer.View{
			IsKnown: b.directory.Version > 0, Index: b.index, Version: b.directory.Version, AgeMilliseconds: now.Sub(b.updatedAt).Milliseconds(),
		}
	}
	if age := b.selector.loads.age(now); age >= 0 {
		e.SharedFigures = explainer.SharedFigures{IsKnown: true, AgeMilliseconds: age.Milliseconds()}
	}
	found, ok := b.directory.Route(route)
	switch {
	case b.directory.Version == 0:
		e.Outcomes = []explainer.Outcome{refusal(1, ActionDrop, ReasonNoView)}
	case !ok:
		v := b.refuseUnknownAddress(Packet{Source: source, Destination: route, IsOpening: true}, now)
		e.Outcomes = []explainer.Outcome{newTrial(b, now).refuseNew("", "", v.Action, v.Reason, nil)}
	default:
		e.Services = b.explainServices(found, now)
		e.Outcomes = b.explainOutcomes(found, source, now)
		e.Chances = b.explainChances(e, now)
	}
	return e
}

// refusal returns the outcome of a flow that is not forwarded.
func refusal(probability float64, action Action, reason Reason) explainer.Outcome {
	name := explainer.ActionDrop
	if action == ActionReset {
		name = explainer.ActionReset
	}
	return explainer.Outcome{Probability: probability, Action: name, Reason: reason.String()}
}

// explainOutcomes returns the outcome for the service that the weights choose, or for each that they may
// choose if the source is not known.
func (b *Balancer) explainOutcomes(route director.Route, source netip.AddrPort, now time.Time) []explainer.Outcome {
	key := flowKey{source: source, destination: route.Address}
	if source.IsValid() {
		return []explainer.Outcome{newTrial(b, now).open(route, route.PickService(key.hashFraction()), b.flows[key])}
	}
	total := 0.0
	for _, share := range route.Shares {
		total += float64(share.Weight)
	}
	if total == 0 {
		return []explainer.Outcome{newTrial(b, now).open(route, "", nil)}
	}
	var outcomes []explainer.Outcome
	for _, share := range route.Shares {
		if share.Weight > 0 {
			outcome := newTrial(b, now).open(route, share.Service, nil)
			outcome.Probability = float64(share.Weight) / total
			outcomes = append(outcomes, outcome)
		}
	}
	return outcomes
}

// explainServices returns the state of the services of a route with a weight.
func (b *Balancer) explainServices(route director.Route, now time.Time) []explainer.Service {
	t := newTrial(b, now)
	var services []explainer.Service
	for _, share := range route.Shares {
		if share.Weight == 0 {
			continue
		}
		service := explainer.Service{Name: share.Service, Weight: share.Weight}
		if t.admitter != nil {
			t.expire(share.Service)
		}
		if p := b.selector.pools[share.Service]; p != nil {
			groups := p.ready
			if len(b.selector.usable(p.ready)) == 0 && len(b.selector.usable(p.lapsed)) > 0 {
				groups, service.UsesLapsed = p.lapsed, true
			}
			for _, g := range groups {
				if g.count() > 0 {
					service.DataCentres = append(service.DataCentres, t.describe(t.copyOf(g)))
				}
			}
		}
		slices.SortFunc(service.DataCentres, func(x, y explainer.DataCentre) int {
			if x.IsLocal != y.IsLocal {
				if x.IsLocal {
					return -1
				}
				return 1
			}
			return cmp.Compare(x.Name, y.Name)
		})
		services = append(services, service)
	}
	return services
}

// explainChances says where the outcomes depend on chance.
func (b *Balancer) explainChances(e explainer.Explanation, now time.Time) []string {
	var chances []string
	if len(e.Outcomes) > 1 {
		chances = append(chances, "the weights choose the service by the address of the caller, which is not given")
	}
	for _, o := range e.Outcomes {
		if o.SpillProbability > 0 {
			chances = append(chances, fmt.Sprintf("%s: the flow avoids the local data centre with probability %.2f, because requests in progress exceed the slots there", o.Service, o.SpillProbability))
		}
		for _, target := range o.DataCentres {
			if target.Candidates < 2 {
				continue
			}
			text := fmt.Sprintf("%s: one of %d equally loaded backend servers in %s is drawn", o.Service, target.Candidates, target.Name)
			if b.selector.loads.weight(now) > 0 {
				text += "; those with fewer flows through other entries are drawn more often"
			}
			chances = append(chances, text)
		}
	}
	return chances
}
