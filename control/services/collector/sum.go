package collector

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/observer"
)

// sum adds up reports. The state and capacity of a backend server are taken from the
// first report that names it, so reports must be added newest first.
type sum struct {
	servers map[announcer.ID]*serverSum
}

type serverSum struct {
	observer.ServerLoad
	newFlowsPerMinute float64
}

func newSum() *sum { return &sum{servers: make(map[announcer.ID]*serverSum)} }

func (s *sum) add(report observer.Report) {
	for _, load := range report.Servers {
		server, ok := s.servers[load.ID]
		if !ok {
			server = &serverSum{ServerLoad: load}
			server.Flows, server.NewFlows, server.Requests = 0, 0, 0
			s.servers[load.ID] = server
		}
		server.Flows += max(0, load.Flows)
		server.Requests += max(0, load.Requests)
		if report.Period > 0 {
			server.newFlowsPerMinute += float64(max(0, load.NewFlows)) * float64(time.Minute) / float64(report.Period)
		}
	}
}

// summarise returns the load by service and data centre, and the load of each backend
// server with its new flows per minute in NewFlows. Drained backend servers count as
// not ready.
func (s *sum) summarise(drained []announcer.ID) ([]observer.ServiceLoad, []observer.ServerLoad) {
	type key struct{ service, dataCentre string }
	groups := make(map[key]*observer.ServiceLoad)
	rates := make(map[key]float64)
	servers := make([]observer.ServerLoad, 0, len(s.servers))
	isDrained := make(map[announcer.ID]bool, len(drained))
	for _, id := range drained {
		isDrained[id] = true
	}
	for _, server := range s.servers {
		k := key{server.Service, server.DataCentre}
		g, ok := groups[k]
		if !ok {
			g = &observer.ServiceLoad{Service: server.Service, DataCentre: server.DataCentre}
			groups[k] = g
		}
		g.Servers++
		if server.Ready && !isDrained[server.ID] {
			g.Ready++
			g.Slots += server.Slots
			g.Connections += server.Connections
		}
		g.Flows += server.Flows
		g.Requests += server.Requests
		rates[k] += server.newFlowsPerMinute
		server.NewFlows = int64(server.newFlowsPerMinute + 0.5)
		servers = append(servers, server.ServerLoad)
	}
	list := make([]observer.ServiceLoad, 0, len(groups))
	for k, g := range groups {
		g.NewFlowsPerMinute = int64(rates[k] + 0.5)
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b observer.ServiceLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	slices.SortFunc(servers, func(a, b observer.ServerLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
	})
	return list, servers
}
