package aggregator

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

// merger adds up the sums of several replicas.
type merger struct {
	entries                   float64
	ages                      float64
	groups, arrivals, servers map[figure]float64
}

func newMerger() *merger {
	return &merger{groups: make(map[figure]float64), arrivals: make(map[figure]float64), servers: make(map[figure]float64)}
}

// add adds the sums of a replica that were received at the given age.
func (m *merger) add(s loadsharer.Summary, weight float64, age time.Duration) {
	entries := weight * float64(s.Entries)
	m.entries += entries
	m.ages += entries * float64(s.Age+age)
	for _, g := range s.Load.Groups {
		m.groups[figure{service: g.Service, dataCentre: g.DataCentre}] += weight * float64(g.Requests)
	}
	for _, a := range s.Load.Arrivals {
		m.arrivals[figure{service: a.Service}] += weight * float64(a.PerSecond)
	}
	for _, server := range s.Load.Servers {
		m.servers[figure{token: server.Token}] += weight * float64(server.Flows)
	}
}

func (m *merger) summary() loadsharer.Summary {
	summary := loadsharer.Summary{Entries: rounded(m.entries), HasServers: true, Load: loadsharer.Load{
		Groups: groupsOf(sorted(m.groups)), Arrivals: arrivalsOf(sorted(m.arrivals)), Servers: serversOf(sorted(m.servers)),
	}}
	if m.entries > 0 {
		summary.Age = time.Duration(m.ages / m.entries)
	}
	return summary
}

func sorted(sums map[figure]float64) []total {
	totals := make([]total, 0, len(sums))
	for f, sum := range sums {
		totals = append(totals, total{figure: f, sum: sum})
	}
	slices.SortFunc(totals, func(a, b total) int { return a.figure.compare(b.figure) })
	return totals
}
