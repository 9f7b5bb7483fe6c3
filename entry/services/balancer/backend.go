package balancer

import (
	"cmp"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/prioritiser"
)

const (
	// levelsPerFlow is the number of load levels that correspond to one flow per slot.
	levelsPerFlow = 8
	// coldStartFactor multiplies the load of a backend server during its cold start, when requests
	// take longer.
	coldStartFactor = 2.0
	// saturationFactor is the ratio of this entry's pending requests to slots from which a backend
	// server counts as full. A further request would then wait for about as long as one request
	// takes, which is longer than the round trip to another data centre.
	saturationFactor = 1.5
	// requestWeight is the load of a pending request, in flows.
	requestWeight = 2.0
	// initialBackoff is how long a backend server is avoided after one packet without an answer.
	// Each further one doubles the time up to maxBackoff, by which the lease of a failed backend
	// server has expired.
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
)

// backend is the state that an entry keeps of one incarnation of a backend server, which has its
// own token.
type backend struct {
	prioritiser.Position
	token  director.Token
	server director.Server
	// generation is that of the last complete view that contained the backend server.
	generation      uint64
	slots           int
	flows, requests int
	// sharedFlows is the number of long flows through other entries, by the last summary.
	sharedFlows int
	timeouts    timeouts
	isReady     bool
	coldStart   *coldStartState
	health      *dataCentreHealth
	// group is the group that contains the backend server, or nil if it must not get new flows.
	group *group
	// inImpaired is set while the backend server is in group.impaired, at impairedIndex.
	inImpaired    bool
	impairedIndex int
	// countedSlots are the slots that the backend server adds to those of its group.
	countedSlots int
}

// timeouts counts the packets that callers had to repeat since the backend server last answered on
// any flow.
type timeouts struct {
	count      int
	avoidUntil time.Time
}

// backoff returns how long a backend server or a data centre is avoided after count timeouts.
func backoff(count int) time.Duration {
	return min(initialBackoff<<min(count-1, 8), maxBackoff)
}

// level returns the load that this entry puts on each slot, in levels.
func (b *backend) level() int {
	return int((float64(b.flows) + requestWeight*float64(b.requests)) * levelsPerFlow / float64(b.slots))
}

func (b *backend) sharedFlowsPerSlot() float64 { return float64(b.sharedFlows) / float64(b.slots) }

// load returns the load per slot, in flows. It is higher during a cold start.
func (b *backend) load(now time.Time) float64 {
	load := float64(b.level()) / levelsPerFlow
	if b.coldStart.isActive(now) {
		load = (load + 1) * coldStartFactor
	}
	return load
}

func (b *backend) isFull() bool { return float64(b.requests) >= saturationFactor*float64(b.slots) }

func (b *backend) isUnresponsive(now time.Time) bool { return now.Before(b.timeouts.avoidUntil) }

// isRankedByLoad reports whether the load alone decides how the backend server ranks. It does not
// for one that is unresponsive or in its cold start.
func (b *backend) isRankedByLoad(now time.Time) bool {
	return !b.isUnresponsive(now) && !b.coldStart.affectsChoice(now)
}

// group holds the backend servers of a service in one data centre that may get new flows.
type group struct {
	dataCentre string
	health     *dataCentreHealth
	load       *groupLoad
	isLocal    bool
	// open and full hold the backend servers that are ranked by load alone: those below and those
	// at or above the saturation limit.
	open, full prioritiser.BucketQueue[*backend]
	// impaired holds those that are unresponsive or in their cold start.
	impaired []*backend
	// impairedVisits counts the visits of visitImpaired. Modulo the length of impaired, it is the
	// position visited last.
	impairedVisits int
}

// compareGroups orders the local data centre first and the others by name.
func compareGroups(a, b *group) int {
	if a.isLocal != b.isLocal {
		if a.isLocal {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.dataCentre, b.dataCentre)
}

func (g *group) count() int { return g.open.Len() + g.full.Len() + len(g.impaired) }

// each calls f for each backend server of the group.
func (g *group) each(f func(*backend)) {
	for _, levels := range []*prioritiser.BucketQueue[*backend]{&g.open, &g.full} {
		levels.Each(f)
	}
	for _, b := range g.impaired {
		f(b)
	}
}

// classify moves a backend server to the list that fits its state.
func (g *group) classify(b *backend, isRankedByLoad bool) {
	switch {
	case !isRankedByLoad:
		prioritiser.Remove(b)
		g.addImpaired(b)
	case b.isFull():
		g.removeImpaired(b)
		g.full.Put(b, b.level())
	default:
		g.removeImpaired(b)
		g.open.Put(b, b.level())
	}
}

func (g *group) addImpaired(b *backend) {
	if !b.inImpaired {
		b.inImpaired, b.impairedIndex = true, len(g.impaired)
		g.impaired = append(g.impaired, b)
	}
}

func (g *group) removeImpaired(b *backend) {
	if !b.inImpaired {
		return
	}
	last := g.impaired[len(g.impaired)-1]
	g.impaired[b.impairedIndex], last.impairedIndex = last, b.impairedIndex
	g.impaired[len(g.impaired)-1] = nil
	g.impaired = g.impaired[:len(g.impaired)-1]
	b.inImpaired = false
}

// countSlots adds the slots of a backend server to those of the group.
func (g *group) countSlots(b *backend) {
	b.countedSlots = b.slots
	g.load.slots += b.countedSlots
}

// remove removes a backend server from the group.
func (g *group) remove(b *backend) {
	g.load.slots -= b.countedSlots
	b.countedSlots = 0
	prioritiser.Remove(b)
	g.removeImpaired(b)
	b.group = nil
}

// visitImpaired calls f for up to limit impaired backend servers, continuing where the previous
// call ended, and returns how many it visited. Those that are no longer impaired are moved to open
// or full instead.
func (g *group) visitImpaired(limit int, now time.Time, f func(*backend)) int {
	visited := 0
	for visited < limit && visited < len(g.impaired) {
		g.impairedVisits++
		b := g.impaired[g.impairedVisits%len(g.impaired)]
		visited++
		if b.isRankedByLoad(now) {
			g.classify(b, true)
			continue
		}
		f(b)
	}
	return visited
}
