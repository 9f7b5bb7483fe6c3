package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

// LoadReport returns the load that this entry sees, for a report to the other entries. Open flows at
// backend servers are included if withServers is set.
func (b *Balancer) LoadReport(withServers bool, now time.Time) loadsharer.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var load loadsharer.Load
	for _, s := range b.selector.loads.services {
		b.expireRequests(s, now)
		s.arrivals.advance(now)
		rate := uint32(s.arrivals.perSecond + 0.5)
		s.reportedArrivals = float64(rate)
		// A figure of 0 changes no sum, and the table keeps services that were removed.
		if rate > 0 {
			load.Arrivals = append(load.Arrivals, loadsharer.ServiceArrivals{Service: s.name, PerSecond: rate})
		}
		waiting := b.waiting(s, now)
		for _, g := range s.groups {
			if g.reported = g.requests - waiting[g.dataCentre]; g.reported > 0 {
				load.Groups = append(load.Groups, loadsharer.GroupLoad{Service: s.name, DataCentre: g.dataCentre, Requests: uint32(g.reported)})
			}
		}
	}
	if withServers {
		for token, n := range b.countLongFlows(now) {
			load.Servers = append(load.Servers, loadsharer.ServerLoad{Token: token, Flows: uint32(n)})
		}
		slices.SortFunc(load.Servers, func(a, b loadsharer.ServerLoad) int { return cmp.Compare(a.Token, b.Token) })
	}
	return load
}

// countLongFlows counts the long flows that are in use, by backend server. Short ones end before the other
// entries hear of them.
func (b *Balancer) countLongFlows(now time.Time) map[director.Token]int {
	counts := make(map[director.Token]int)
	for _, f := range b.flows {
		if f.isEstablished && !f.isClosed && now.Sub(f.openedAt) >= longFlowAge && now.Sub(f.lastPacketAt) < sharedLifetime {
			counts[f.token]++
		}
	}
	return counts
}

// SetSharedLoad replaces the shared figures by those of a summary, of which the last LoadReport counts as a
// part.
func (b *Balancer) SetSharedLoad(summary loadsharer.Summary, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selector.loads.sharedAt = now.Add(-summary.Age)
	for _, s := range b.selector.loads.services {
		for _, g := range s.groups {
			g.shared, g.confirmed = 0, g.reported
		}
	}
	// Services and data centres that this entry does not know are left out, so that a summary cannot grow
	// the table.
	arrivals := make(map[string]uint32, len(summary.Load.Arrivals))
	for _, a := range summary.Load.Arrivals {
		arrivals[a.Service] = a.PerSecond
	}
	for name, s := range b.selector.loads.services {
		s.recordArrivals(float64(arrivals[name]))
	}
	for _, g := range summary.Load.Groups {
		if s := b.selector.loads.services[g.Service]; s != nil && s.groups[g.DataCentre] != nil {
			s.groups[g.DataCentre].shared = float64(g.Requests)
		}
	}
	if summary.HasServers {
		b.selector.loads.serversAt = b.selector.loads.sharedAt
		b.selector.setSharedFlows(summary.Load.Servers)
	}
}
