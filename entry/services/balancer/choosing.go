package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// attempt holds the parameters of one choice.
type attempt struct {
	// tried is the backend server that got an earlier copy of the opening packet, or nil. It is
	// used only if there is no other.
	tried *backend
	now   time.Time
	// spills is set if the flow avoids the local data centre because of its shared load.
	spills bool
}

// choice is the best backend server found so far.
type choice struct {
	backend *backend
	load    float64
	ties    int
}

// consider compares count backend servers of equal load, of which pick returns one, with the best
// choice so far. Ties are broken at random, so that entries that see the same loads do not all
// choose the same backend server.
func (c *choice) consider(load float64, count int, rng *rand.Rand, pick func() *backend) {
	switch {
	case c.backend == nil || load < c.load:
		*c = choice{backend: pick(), load: load, ties: count}
	case load == c.load:
		if c.ties += count; rng.IntN(c.ties) < count {
			c.backend = pick()
		}
	}
}

// pick returns the token of the least loaded backend server of a service, or 0. The backend server
// that was tried before is used only if there is no other.
func (s *selector) pick(service string, tried director.Token, now time.Time) director.Token {
	groups := s.groups(service)
	a := attempt{tried: s.backends[tried], now: now, spills: s.spills(groups, now)}
	best := s.findBest(groups, a)
	if best == nil {
		if a.tried == nil || a.tried.group == nil || !slices.Contains(groups, a.tried.group) || !a.tried.coldStart.mayOpenFlow(now) {
			return 0
		}
		best = a.tried
	}
	return best.choose(now)
}

// findBest returns the least loaded backend server of the groups except the one that was tried, or nil.
func (s *selector) findBest(groups []*group, a attempt) *backend {
	var best choice
	remaining := maxImpairedCompared
	for _, g := range groups {
		remaining -= s.compare(g, a, remaining, &best)
	}
	if best.backend == nil {
		// A backend server in its cold start that may take a flow now may be among those not
		// compared.
		for _, g := range groups {
			s.compare(g, a, len(g.impaired), &best)
		}
	}
	return best.backend
}

// choose records that a new flow goes to the backend server, and returns its token.
func (b *backend) choose(now time.Time) director.Token {
	b.coldStart.useTimeSlot(now)
	b.health.recordChoice(now)
	return b.token
}

// penalty returns what is added to the load of each backend server of the group.
func (g *group) penalty(a attempt) float64 {
	penalty := 0.0
	if !g.isLocal {
		penalty += remotePenalty
	}
	if g.health.isAvoided(a.tried != nil, a.now) {
		penalty += outagePenalty
	}
	if g.isLocal && a.spills {
		penalty += saturationPenalty
	}
	return penalty
}

// impairedLoad returns the load by which an impaired backend server is compared, with the penalty of its group.
// It returns false if the backend server may not be chosen now.
func (b *backend) impairedLoad(penalty float64, a attempt) (float64, bool) {
	if b == a.tried || !b.coldStart.mayOpenFlow(a.now) {
		return 0, false
	}
	load := penalty + b.load(a.now)
	if b.isFull() {
		load += saturationPenalty
	}
	if b.isUnresponsive(a.now) {
		load += unresponsivePenalty
	}
	return load, true
}

// compare compares the backend servers of a group with the best choice so far. It visits up to
// limit impaired ones and returns how many it visited.
func (s *selector) compare(g *group, a attempt, limit int, best *choice) int {
	penalty := g.penalty(a)
	if best.backend != nil && penalty > best.load {
		return 0
	}
	visited := g.visitImpaired(limit, a.now, func(b *backend) {
		if load, ok := b.impairedLoad(penalty, a); ok {
			best.consider(load, 1, s.rng, func() *backend { return b })
		}
	})
	if items, level := g.open.LowestLevel(a.tried); items != nil {
		s.considerOneOf(items, penalty+float64(level)/levelsPerFlow, a, best)
	}
	if items, level := g.full.LowestLevel(a.tried); items != nil {
		s.considerOneOf(items, penalty+saturationPenalty+float64(level)/levelsPerFlow, a, best)
	}
	return visited
}

// considerOneOf considers several backend servers with the same load through this entry, except the one
// that was tried. Of two drawn at random, the one with fewer flows through other entries is taken. Taking
// the one with the fewest of all would send the flows of all entries to it until the next summary.
func (s *selector) considerOneOf(items []*backend, load float64, a attempt, best *choice) {
	draw := func() *backend {
		i := s.rng.IntN(len(items))
		if items[i] == a.tried {
			i = (i + 1) % len(items)
		}
		return items[i]
	}
	best.consider(load, len(items), s.rng, func() *backend {
		first := draw()
		if weight := s.loads.weight(a.now); weight == 0 || s.rng.Float64() >= weight {
			return first
		}
		// The greater the difference, the more often the second one is taken: figures are seconds old, and
		// all entries have the same.
		second := draw()
		if x, y := first.sharedFlowsPerSlot(), second.sharedFlowsPerSlot(); s.rng.Float64()*x < flowDifferenceFactor*(x-y) {
			return second
		}
		return first
	})
}
