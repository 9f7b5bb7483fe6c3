package admitter

import (
	"math"
	"time"
)

const (
	// maxRequestsPerSlot limits the requests in progress for each slot: one at work and two that wait. More
	// are of no use, because the queue of a backend server is short and its length is not announced.
	maxRequestsPerSlot = 3.0
	// waitShare is the share of the target latency that a request may spend waiting for a slot. The rest is
	// left for its work, the network and a second try.
	waitShare = 0.5
	// nearLimit is the part of the limit on requests in progress from which flows are refused. The share of one
	// entry is a small number, which chance alone exceeds at times.
	nearLimit = 0.9
	// minLongShare is the share of requests on open flows from which the flows of a priority count as long.
	minLongShare = 0.5
	// longFlowMargin is the number of standard deviations by which requests in progress exceed the share of the
	// entry in the slots before long flows of lower ranks are refused. With 2.5 such flows left the highest rank
	// 0.87 of its requests at twice the capacity, with 1.5 less was served at the capacity than without a limit.
	longFlowMargin = 2.0
	// lowUseLongFlowMargin applies while the shared figures show less than lowSlotUse of the slots in use. Chance
	// explains fewer requests then, and a burst that the figures do not show yet explains more.
	lowUseLongFlowMargin = 1.0
	lowSlotUse           = 0.8
	// earlyMargin is the same for the limit on requests in progress, from which flows of lower ranks are refused
	// before the shared figures show a burst.
	earlyMargin = 2
	// highestRankFactor is the part of its share that an entry may use for the highest rank, above 1, so
	// that this rank is refused only when the others already are, up to highestRequestsPerSlot.
	highestRankFactor = 2.5
	// highestRequestsPerSlot limits the requests in progress for each slot from which the highest rank is refused.
	// Backend servers with 2 slots and a queue of 8 have room for 5, and some of them are above the mean. With 7.5
	// they rejected more requests than they served, which took half of the links. With 4 flows of the highest rank
	// were refused beside open flows of lower ones that backend servers still had room for.
	highestRequestsPerSlot = 4.5
	// maxSharedAge is the age from which shared figures are too old to refuse a flow by them.
	maxSharedAge = 2 * time.Second
)

// GroupLoad is the load of the backend servers of a service in one data centre within reach.
type GroupLoad struct {
	Slots int
	// Requests is the number of requests in progress through all entries.
	Requests float64
}

// Load is the load of one service.
type Load struct {
	// Ranks are the priorities of the flows to the service.
	Ranks  Ranks
	Groups []GroupLoad
	// OwnRequests is the number of requests in progress through this entry, of all priorities: if those of lower
	// ones did not count, the highest would fill the links with requests that wait for a slot. Those that wait for
	// the link of the entry do not count.
	OwnRequests int
	// LongShare is the share of the last requests of the flow's priority that came on flows which had one
	// before, 0 to 1.
	LongShare float64
	// OwnArrivals and AllArrivals are the requests per second that arrive at this entry and at all.
	OwnArrivals, AllArrivals float64
	// Age is the age of the shared figures; a negative one means that there are none.
	Age time.Duration
	// ResponseTime is the mean response time of the service without queueing, or 0 if unknown.
	ResponseTime time.Duration
	// TargetLatency is the response time that callers of the route expect, or 0 if none is set.
	TargetLatency time.Duration
}

// isExhausted reports whether the shared figures show that no data centre has room, and that the limit on the
// requests in progress is nearly reached.
func (l Load) isExhausted() bool {
	if l.Age < 0 || l.Age > maxSharedAge {
		return false
	}
	for _, g := range l.Groups {
		if g.Requests < float64(g.Slots) {
			return false
		}
	}
	slots := l.slots()
	return slots > 0 && l.requests() >= nearLimit*float64(slots)*l.requestsPerSlot()
}

// isOwnShareUsed reports whether this entry has used its share of the requests that may be in progress.
func (l Load) isOwnShareUsed(urgency float64) bool {
	limit := l.ownLimit(urgency)
	return limit > 0 && float64(l.OwnRequests) >= limit
}

// isOwnShareFarExceeded reports whether the requests in progress through this entry exceed its share by more than
// chance explains. A burst fills the queues of the backend servers before the figures of the other entries show
// it, which leaves no room for the highest rank.
func (l Load) isOwnShareFarExceeded(urgency float64) bool {
	if len(l.Ranks) < 2 || urgency >= 1 || l.Age < 0 || l.Age > maxSharedAge || l.slots() == 0 {
		return false
	}
	limit := l.ownLimit(0)
	return limit > 0 && float64(l.OwnRequests) >= limit+earlyMargin*math.Sqrt(limit)
}

// hasTooManyLongFlows reports whether this entry must not open another long flow of a lower rank. Nothing
// refuses the requests on a flow once it is open, and under load it has the next one as soon as one is answered.
// As many such flows as slots therefore use all of them for as long as the load lasts. The figures of other
// entries are older than the time in which a burst opens that many, so that the entry goes by its own.
func (l Load) hasTooManyLongFlows(urgency float64) bool {
	limit := l.longFlowLimit(urgency)
	return limit > 0 && float64(l.OwnRequests) > limit
}

// longFlowLimit returns the number of requests in progress above which this entry opens no long flow of a rank,
// or 0 if there is no limit: the flows are not long, the rank is the highest or the figures are too old.
func (l Load) longFlowLimit(urgency float64) float64 {
	slots, share := l.slots(), l.ownShare()
	if l.LongShare < minLongShare || len(l.Ranks) < 2 || urgency >= 1 || l.Age < 0 || l.Age > maxSharedAge || slots == 0 || share == 0 {
		return 0
	}
	own := max(float64(slots)*share, 1)
	margin := longFlowMargin
	if l.requests() < lowSlotUse*float64(slots) {
		margin = lowUseLongFlowMargin
	}
	return own + margin*math.Sqrt(own)
}

// ownLimit returns the number of requests in progress at which this entry has used its share, or 0 if the
// arrivals are not known.
func (l Load) ownLimit(urgency float64) float64 {
	share := l.ownShare()
	if share == 0 {
		return 0
	}
	lowest := l.requestsPerSlot()
	highest := min(lowest*highestRankFactor, highestRequestsPerSlot)
	return max(float64(l.slots())*(lowest+(highest-lowest)*urgency)*share, 1)
}

// requests returns the requests in progress by the shared figures.
func (l Load) requests() float64 {
	sum := 0.0
	for _, g := range l.Groups {
		sum += g.Requests
	}
	return sum
}

func (l Load) slots() int {
	slots := 0
	for _, g := range l.Groups {
		slots += g.Slots
	}
	return slots
}

// ownShare returns the share of this entry, 0 to 1, or 0 if the arrivals are not known. It is that of its
// arrivals, so that entries with more callers may do more.
func (l Load) ownShare() float64 {
	if l.AllArrivals <= 0 || l.OwnArrivals <= 0 {
		return 0
	}
	return min(l.OwnArrivals/l.AllArrivals, 1)
}

// requestsPerSlot returns the requests that may be in progress for each slot.
func (l Load) requestsPerSlot() float64 {
	if l.ResponseTime <= 0 || l.TargetLatency <= 0 {
		return maxRequestsPerSlot
	}
	return min(1+waitShare*float64(l.TargetLatency)/float64(l.ResponseTime), maxRequestsPerSlot)
}
