package aggregator

import (
	"cmp"
	"math"
	"slices"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

const (
	// A contribution is capped at max(minCap, capFactor times the median).
	minCap, capFactor = 8, 4
	// minMedianReporters is the smallest number of reporters whose median a single faulty one cannot set.
	minMedianReporters = 3
)

// figure identifies what a sum counts: a service in a data centre, the arrivals of a service, or a
// backend server. Unused fields are empty.
type figure struct {
	service, dataCentre string
	token               director.Token
}

func (f figure) compare(other figure) int {
	return cmp.Or(cmp.Compare(f.token, other.token), cmp.Compare(f.service, other.service), cmp.Compare(f.dataCentre, other.dataCentre))
}

// contribution is the value that one reporter has for a figure.
type contribution struct {
	// origin is the number of the reporter's data centre in its collection.
	origin uint32
	value  uint32
	weight float64
}

// total is the sum of a figure.
type total struct {
	figure figure
	sum    float64
}

// collection holds the contributions of several reporters to the figures of one kind.
type collection struct {
	contributions map[figure][]contribution
	// origins numbers the data centres of the reporters, because numbers sort faster than names. origin is
	// that of the current reporter.
	origins map[string]uint32
	origin  uint32
	// largest holds the largest contribution of each reporter.
	largest []uint32
}

func newCollection() *collection {
	return &collection{contributions: make(map[figure][]contribution), origins: make(map[string]uint32)}
}

// addReporter makes the contributions that follow those of another reporter, which is in the given data
// centre.
func (c *collection) addReporter(dataCentre string) {
	origin, isKnown := c.origins[dataCentre]
	if !isKnown {
		origin = uint32(len(c.origins))
		c.origins[dataCentre] = origin
	}
	c.origin = origin
	c.largest = append(c.largest, 0)
}

// add adds a contribution of the current reporter. One of 0 changes no sum, and would lower the median
// of those that have a part in the figure.
func (c *collection) add(f figure, value uint32, weight float64) {
	if value == 0 {
		return
	}
	c.contributions[f] = append(c.contributions[f], contribution{origin: c.origin, value: value, weight: weight})
	last := len(c.largest) - 1
	c.largest[last] = max(c.largest[last], value)
}

// totals returns the sums of the capped contributions, sorted by figure.
func (c *collection) totals() []total {
	slices.Sort(c.largest)
	totals := make([]total, 0, len(c.contributions))
	for f, contributions := range c.contributions {
		totals = append(totals, total{figure: f, sum: c.cappedSum(contributions)})
	}
	slices.SortFunc(totals, func(a, b total) int { return a.figure.compare(b.figure) })
	return totals
}

// cappedSum sums the contributions to one figure, and sorts them. The cap follows the median of the
// reporters of the same data centre, because entries send most of their flows to their own one: with one
// median for all, few reporters with many requests count too low beside many reporters with few.
func (c *collection) cappedSum(contributions []contribution) float64 {
	slices.SortFunc(contributions, func(a, b contribution) int {
		if a.origin != b.origin {
			return cmp.Compare(a.origin, b.origin)
		}
		return cmp.Compare(a.value, b.value)
	})
	sum := 0.0
	for start, end := 0, 0; start < len(contributions); start = end {
		for end < len(contributions) && contributions[end].origin == contributions[start].origin {
			end++
		}
		group := contributions[start:end]
		var median uint32
		if len(group) >= minMedianReporters {
			median = lowerMedian(group)
		} else {
			median = c.commonMedian(contributions)
		}
		limit := max(minCap, capFactor*uint64(median))
		for _, one := range group {
			sum += float64(min(uint64(one.value), limit)) * one.weight
		}
	}
	return sum
}

// commonMedian returns the median of all reporters of a figure, for data centres with too few of them. If
// all are too few, it returns the median of the largest contributions of all reporters, which must be
// sorted.
func (c *collection) commonMedian(contributions []contribution) uint32 {
	if len(contributions) < minMedianReporters {
		return c.largest[(len(c.largest)-1)/2]
	}
	byValue := slices.Clone(contributions)
	slices.SortFunc(byValue, func(a, b contribution) int { return cmp.Compare(a.value, b.value) })
	return lowerMedian(byValue)
}

// lowerMedian returns the median of contributions sorted by value. Of two values in the middle the lower
// one counts, so that sums are too low rather than too high: too low ones refuse less.
func lowerMedian(contributions []contribution) uint32 {
	return contributions[(len(contributions)-1)/2].value
}

func groupsOf(totals []total) []loadsharer.GroupLoad {
	groups := make([]loadsharer.GroupLoad, 0, len(totals))
	for _, t := range totals {
		groups = append(groups, loadsharer.GroupLoad{Service: t.figure.service, DataCentre: t.figure.dataCentre, Requests: rounded(t.sum)})
	}
	return groups
}

func arrivalsOf(totals []total) []loadsharer.ServiceArrivals {
	arrivals := make([]loadsharer.ServiceArrivals, 0, len(totals))
	for _, t := range totals {
		arrivals = append(arrivals, loadsharer.ServiceArrivals{Service: t.figure.service, PerSecond: rounded(t.sum)})
	}
	return arrivals
}

func serversOf(totals []total) []loadsharer.ServerLoad {
	servers := make([]loadsharer.ServerLoad, 0, len(totals))
	for _, t := range totals {
		servers = append(servers, loadsharer.ServerLoad{Token: t.figure.token, Flows: rounded(t.sum)})
	}
	return servers
}

func rounded(sum float64) uint32 { return uint32(min(math.Round(sum), math.MaxUint32)) }
