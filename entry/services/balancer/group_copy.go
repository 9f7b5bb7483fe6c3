package balancer

import (
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/explainer"
	"github.com/redwingledge/redwingledge/shared/modules/prioritiser"
)

// groupCopy is a copy of a group that holds copies of those backend servers that a decision may change: the
// impaired ones, and those whose requests have expired. The others are read from the original, because copies
// of thousands would hold up packets.
type groupCopy struct {
	*group

	original *group
	copies   map[director.Token]*backend
}

// groups returns new copies of the groups that may get new flows of a service, and the same as plain groups.
func (t *trial) groups(service string) ([]groupCopy, []*group) {
	var copies []groupCopy
	var groups []*group
	for _, original := range t.selector.groups(service) {
		g := t.copyOf(original)
		copies, groups = append(copies, g), append(groups, g.group)
	}
	return copies, groups
}

// copyOf returns a copy of a group without requests that have expired.
func (t *trial) copyOf(original *group) groupCopy {
	load := *original.load
	load.requests -= t.endedProgress[original.load]
	g := groupCopy{
		group: &group{
			dataCentre: original.dataCentre, health: original.health, load: &load, isLocal: original.isLocal, impairedVisits: original.impairedVisits,
		},
		original: original, copies: make(map[director.Token]*backend),
	}
	for _, b := range original.impaired {
		g.add(b)
	}
	for _, token := range t.released {
		b := t.selector.backends[token]
		if b == nil || b.group != original {
			continue
		}
		if g.copies[token] == nil {
			g.add(b)
		}
		c := g.copies[token]
		c.requests = max(c.requests-1, 0)
		g.classify(c, c.isRankedByLoad(t.now))
	}
	return g
}

// add adds a copy of a backend server of the original.
func (g groupCopy) add(b *backend) {
	c := *b
	c.Position, c.group, c.inImpaired = prioritiser.Position{}, g.group, false
	g.copies[b.token] = &c
	g.classify(&c, !b.inImpaired)
}

// eachRanked calls f for each backend server that is ranked by load alone.
func (g groupCopy) eachRanked(f func(*backend)) {
	g.open.Each(f)
	g.full.Each(f)
	for _, levels := range []*prioritiser.BucketQueue[*backend]{&g.original.open, &g.original.full} {
		levels.Each(func(b *backend) {
			if g.copies[b.token] == nil {
				f(b)
			}
		})
	}
}

// describe returns the state of a group.
func (t *trial) describe(g groupCopy) explainer.DataCentre {
	d := explainer.DataCentre{
		Name: g.dataCentre, IsLocal: g.isLocal, IsTakenOut: t.selector.takenOut[g.dataCentre], IsDown: g.health.isDown(t.now),
		Slots: g.load.slots, Requests: g.load.total(), OwnRequests: g.load.requests,
	}
	describe := func(b *backend) {
		d.Servers++
		if t.admitter == nil {
			d.OwnRequests += b.requests
			d.Requests += float64(b.requests)
		}
		if b.isFull() {
			d.Full++
		}
		if b.isUnresponsive(t.now) {
			d.Unresponsive++
		}
		if b.coldStart.affectsChoice(t.now) {
			d.Cold++
		}
		if !b.coldStart.mayOpenFlow(t.now) {
			d.Waiting++
			return
		}
		if level := b.load(t.now); d.LoadLevel == nil || level < *d.LoadLevel {
			d.LoadLevel = &level
		}
	}
	for _, b := range g.impaired {
		describe(b)
	}
	g.eachRanked(describe)
	return d
}
