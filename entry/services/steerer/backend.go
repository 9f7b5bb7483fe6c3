package steerer

import (
	"cmp"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/leveller"
)

const (
	// loadSteps is the number of levels for one flow a slot.
	loadSteps = 8
	// coldPenalty multiplies the load of a backend server during its cold start,
	// when requests take longer.
	coldPenalty = 2.0
	// saturationFactor is how many times this entry alone fills the slots of a backend
	// server that counts as full: its next request waits for about as long as one takes,
	// which is longer than the way to another data centre.
	saturationFactor = 1.5
	// requestWeight is the load of a request at work, in flows.
	requestWeight = 2.0
	// silenceHold is how long a backend server is avoided after one packet without
	// an answer; each further one doubles it up to maxSilenceHold, by when the lease
	// of a dead one has expired.
	silenceHold    = time.Second
	maxSilenceHold = 4 * time.Second
)

// backend is what an entry knows of the load of one start of a backend server.
type backend struct {
	leveller.Position
	token  director.Token
	server director.Server
	// generation is that of the last whole view that had the backend server.
	generation      uint64
	slots           int
	flows, requests int
	silence         silence
	isReady         bool
	cold            *turns
	reach           *reach
	// group holds the backend server while it may get new flows.
	group *group
	// isAside tells that it stands in the list of the group, at asideIndex.
	isAside    bool
	asideIndex int
}

// silence is what speaks for the death of a backend server: packets that callers
// had to repeat, without any answer on another flow since.
type silence struct {
	count int
	until time.Time
}

// holdAfter returns how long something is avoided after count signs of silence.
func holdAfter(count int) time.Duration {
	return min(silenceHold<<min(count-1, 8), maxSilenceHold)
}

// level returns the load of this entry for each slot, in steps.
func (b *backend) level() int {
	return int((float64(b.flows) + requestWeight*float64(b.requests)) * loadSteps / float64(b.slots))
}

// load returns the load for each slot, in flows, and higher during a cold start.
func (b *backend) load(now time.Time) float64 {
	load := float64(b.level()) / loadSteps
	if b.cold.isCold(now) {
		load = (load + 1) * coldPenalty
	}
	return load
}

func (b *backend) isFull() bool { return float64(b.requests) >= saturationFactor*float64(b.slots) }

func (b *backend) isSilent(now time.Time) bool { return now.Before(b.silence.until) }

// isPlain reports whether the load alone says how well the backend server serves.
func (b *backend) isPlain(now time.Time) bool { return !b.isSilent(now) && !b.cold.isLimited(now) }

// group holds the backend servers of a service in one data centre that may get new flows.
type group struct {
	dataCentre string
	reach      *reach
	isLocal    bool
	// open and full hold those whose load alone counts, full those without a free slot.
	open, full leveller.Levels[*backend]
	// aside holds those that are silent or cold.
	aside []*backend
	// nextAside is where the next look at aside begins.
	nextAside int
}

// compareGroups orders the home of the entry first, and the others by name.
func compareGroups(a, b *group) int {
	if a.isLocal != b.isLocal {
		if a.isLocal {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.dataCentre, b.dataCentre)
}

func (g *group) count() int { return g.open.Len() + g.full.Len() + len(g.aside) }

// each calls f for all backend servers.
func (g *group) each(f func(*backend)) {
	for _, levels := range []*leveller.Levels[*backend]{&g.open, &g.full} {
		levels.Each(f)
	}
	for _, b := range g.aside {
		f(b)
	}
}

// arrange puts a backend server where its state belongs.
func (g *group) arrange(b *backend, isPlain bool) {
	switch {
	case !isPlain:
		leveller.Remove(b)
		g.putAside(b)
	case b.isFull():
		g.removeAside(b)
		g.full.Put(b, b.level())
	default:
		g.removeAside(b)
		g.open.Put(b, b.level())
	}
}

func (g *group) putAside(b *backend) {
	if !b.isAside {
		b.isAside, b.asideIndex = true, len(g.aside)
		g.aside = append(g.aside, b)
	}
}

func (g *group) removeAside(b *backend) {
	if !b.isAside {
		return
	}
	last := g.aside[len(g.aside)-1]
	g.aside[b.asideIndex], last.asideIndex = last, b.asideIndex
	g.aside[len(g.aside)-1] = nil
	g.aside = g.aside[:len(g.aside)-1]
	b.isAside = false
}

// remove takes a backend server out of the group.
func (g *group) remove(b *backend) {
	leveller.Remove(b)
	g.removeAside(b)
	b.group = nil
}

// look calls f for up to limit backend servers that stand aside, others at each call, and
// returns their number. Those that need not stand aside any more are put back first.
func (g *group) look(limit int, now time.Time, f func(*backend)) int {
	looked := 0
	for looked < limit && looked < len(g.aside) {
		g.nextAside++
		b := g.aside[g.nextAside%len(g.aside)]
		looked++
		if b.isPlain(now) {
			g.arrange(b, true)
			continue
		}
		f(b)
	}
	return looked
}
