package balancer

import (
	"math"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// arrivalWindow is the interval over which arrivals are counted, and arrivalSmoothing the weight of the
	// newest one.
	arrivalWindow    = 250 * time.Millisecond
	arrivalSmoothing = 0.4
	// shareSmoothing is the weight of the newest summary in the arrivals from which an entry computes its share.
	// The share changes only when entries start or end, and a count of 250 ms may hold few arrivals.
	shareSmoothing = 0.3
	// longShareWindow is the number of requests over which the share of those on open flows is averaged.
	longShareWindow = 50
	// expiryFactor is the multiple of the smoothed response time after which a request is no longer counted
	// as in progress. A caller that has given up sends nothing, and neither does one whose flow its backend
	// server has reset.
	expiryFactor = 8
	// minExpiry is above the 200 ms after which callers send lost data again. A longer one refuses flows to a
	// service with response times of 20 ms, although slots are free, for as long after packets were lost.
	minExpiry = 250 * time.Millisecond
	maxExpiry = 2 * time.Second
	// firstExpiry applies until a response time is known.
	firstExpiry = time.Second
	// responseSmoothing is the weight of one response time in the smoothed one.
	responseSmoothing = 0.05
	// unloadedUse is the share of the slots in use below which requests do not wait for one.
	unloadedUse = 0.7
	// maxSpillAge is the age from which shared figures send no flow to another data centre.
	maxSpillAge = 2 * time.Second
	// longFlowAge is the age from which a flow counts as a long one. Most flows with a single request end sooner.
	// Figures of backend servers are 2 s old before the next ones come, and a higher age adds to that.
	longFlowAge = 300 * time.Millisecond
	// sharedLifetime is the age at which shared figures have lost all weight.
	sharedLifetime = 6 * time.Second
)

// groupLoad counts the requests in progress at the backend servers of a service in one data centre.
type groupLoad struct {
	service    *serviceLoad
	dataCentre string
	// requests counts those through this entry, reported is the figure of its last report, which leaves out what
	// waits for the link, and confirmed the one that shared contains. They differ while an exchange runs and after one that has failed.
	requests, reported, confirmed int
	// shared is the number through all entries at the time of the last summary.
	shared float64
	// slots are those of the backend servers that are ready.
	slots int
}

// total estimates the requests in progress through all entries: the shared figure with the change of this
// entry since the report that it contains.
func (g *groupLoad) total() float64 {
	return max(g.shared-float64(g.confirmed), 0) + float64(g.requests)
}

// longRequests tells how many of the last requests of one priority of a service came on long flows.
type longRequests struct {
	// share is that of the last requests, counted up to longShareWindow, that came on flows which had one before.
	share   float64
	counted int
}

// record records a request that begins.
func (p *longRequests) record(isOnOpenFlow bool) {
	p.counted = min(p.counted+1, longShareWindow)
	value := 0.0
	if isOnOpenFlow {
		value = 1
	}
	p.share += (value - p.share) / float64(p.counted)
}

// serviceLoad is the load of one service as this entry knows it.
type serviceLoad struct {
	name     string
	groups   map[string]*groupLoad
	requests int
	// longRequests are those of each priority.
	longRequests [math.MaxUint8 + 1]longRequests
	arrivals     rateMeter
	// sharedArrivals are the smoothed arrivals per second at all entries, and ownArrivals those at this entry by
	// the reports that they contain. reportedArrivals is the figure of the last report.
	sharedArrivals, ownArrivals, reportedArrivals float64
	// responseTime is the smoothed response time, and unloadedTime that while slots were free.
	responseTime, unloadedTime time.Duration
	// inProgress holds the requests in the order of their begin.
	inProgress []requestInProgress
	// ranks are the priorities in use by the flows to the service, as priorities tells them.
	priorities admitter.RankTracker
	ranks      admitter.Ranks
	// nextProbeAt is when one new flow may try the service although no data centre answers.
	nextProbeAt time.Time
}

// loadTable holds the load of all services and the shared figures.
type loadTable struct {
	services map[string]*serviceLoad
	// sharedAt is the time that the shared figures describe; zero if there are none.
	sharedAt time.Time
	// serversAt is the time that the shared figures of backend servers describe, which only some summaries
	// contain; zero if there are none.
	serversAt time.Time
}

func newLoadTable() *loadTable { return &loadTable{services: make(map[string]*serviceLoad)} }

func (t *loadTable) of(service string) *serviceLoad {
	s := t.services[service]
	if s == nil {
		s = &serviceLoad{name: service, groups: make(map[string]*groupLoad)}
		t.services[service] = s
	}
	return s
}

func (s *serviceLoad) group(dataCentre string) *groupLoad {
	g := s.groups[dataCentre]
	if g == nil {
		g = &groupLoad{service: s, dataCentre: dataCentre}
		s.groups[dataCentre] = g
	}
	return g
}

// age returns the age of the shared figures, or -1 if there are none.
func (t *loadTable) age(now time.Time) time.Duration {
	if t.sharedAt.IsZero() {
		return -1
	}
	return max(now.Sub(t.sharedAt), 0)
}

// weight returns the weight of the shared figures of backend servers: 1 when the summary is new, 0 from
// sharedLifetime on, and 0 if no summary had such figures for that long.
func (t *loadTable) weight(now time.Time) float64 {
	age := t.age(now)
	if age < 0 || now.Sub(t.serversAt) >= sharedLifetime {
		return 0
	}
	return max(1-float64(age)/float64(sharedLifetime), 0)
}

// recordArrivals records the arrivals per second at all entries. The last report of this entry is a part of
// them: compared with later arrivals, they would let the share of each entry grow with the load.
func (s *serviceLoad) recordArrivals(shared float64) {
	if s.sharedArrivals == 0 {
		s.sharedArrivals, s.ownArrivals = shared, s.reportedArrivals
		return
	}
	s.sharedArrivals += shareSmoothing * (shared - s.sharedArrivals)
	s.ownArrivals += shareSmoothing * (s.reportedArrivals - s.ownArrivals)
}

// arrivalsForShare returns the arrivals per second at this entry that relate to sharedArrivals. Before the
// first report they are those at present.
func (s *serviceLoad) arrivalsForShare() float64 {
	if s.ownArrivals > 0 {
		return s.ownArrivals
	}
	return s.arrivals.perSecond
}

// recordFlow records a new flow, admitted or not.
func (s *serviceLoad) recordFlow(priority uint8, now time.Time) {
	s.arrivals.add(now)
	s.ranks = s.priorities.Record(priority, now)
}

// load returns the load of a service for a decision on a new flow. Data centres that do not answer are left
// out, because their slots serve nothing, unless the link of this entry may have lost the packets.
func (b *Balancer) load(s *serviceLoad, groups []*group, route director.Route, isLinkLimiting bool, now time.Time) admitter.Load {
	s.arrivals.advance(now)
	l := admitter.Load{
		Ranks: s.ranks, OwnRequests: s.requests, LongShare: s.longRequests[route.Priority].share,
		OwnArrivals: s.arrivalsForShare(), AllArrivals: s.sharedArrivals,
		Age: b.selector.loads.age(now), ResponseTime: s.unloadedTime, TargetLatency: route.TargetLatency,
	}
	waiting := b.waiting(s, now)
	for _, n := range waiting {
		l.OwnRequests -= n
	}
	for _, g := range groups {
		if g.health.isDown(now) && !isLinkLimiting {
			continue
		}
		l.Groups = append(l.Groups, admitter.GroupLoad{Slots: g.load.slots, Requests: g.load.total() - float64(waiting[g.load.dataCentre])})
	}
	return l
}
