package loadsharer

import (
	"cmp"
	"slices"

	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// WithLimits returns a copy with the largest figures up to the limits and the servers in the order of
// their tokens, and the number of figures that were left out. Equal figures of servers are selected by
// a hash with the seed: if the same servers were left out each time, they would look free to all.
func (l Load) WithLimits(limits Limits, seed uint64) (limited Load, leftOut int) {
	limited = Load{Groups: slices.Clone(l.Groups), Arrivals: slices.Clone(l.Arrivals), Servers: slices.Clone(l.Servers)}
	if excess := len(limited.Groups) - limits.Groups; excess > 0 {
		leftOut += excess
		slices.SortStableFunc(limited.Groups, func(a, b GroupLoad) int { return cmp.Compare(b.Requests, a.Requests) })
		limited.Groups = limited.Groups[:limits.Groups]
	}
	if excess := len(limited.Arrivals) - limits.Services; excess > 0 {
		leftOut += excess
		slices.SortStableFunc(limited.Arrivals, func(a, b ServiceArrivals) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
		limited.Arrivals = limited.Arrivals[:limits.Services]
	}
	if excess := len(limited.Servers) - limits.Servers; excess > 0 {
		leftOut += excess
		slices.SortFunc(limited.Servers, func(a, b ServerLoad) int {
			return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(hasher.Pair(uint64(a.Token), seed), hasher.Pair(uint64(b.Token), seed)))
		})
		limited.Servers = limited.Servers[:limits.Servers]
	}
	slices.SortFunc(limited.Servers, func(a, b ServerLoad) int { return cmp.Compare(a.Token, b.Token) })
	return limited, leftOut
}

// WithoutServers returns a copy without the figures of the backend servers.
func (s Summary) WithoutServers() Summary {
	s.HasServers, s.Load.Servers = false, nil
	return s
}
