package collector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/services/collector"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
)

// Guards against figures of expired or undeclared reporters, double counting after a
// resent report, and reports that exceed the limit of control traffic.
func TestSummarise(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	catalog := cataloger.Catalog{Entries: []cataloger.Member{{Name: "e1"}, {Name: "e2"}}}
	load := func(host string, flows int64) observer.ServerLoad {
		return observer.ServerLoad{ID: announcer.ID{Service: "s", Host: host}, DataCentre: "a", Ready: true, Connections: 10, Slots: 2, Flows: flows, NewFlows: 1}
	}
	c := collector.New()
	require.False(t, c.Summarise(start, catalog).IsKnown())
	report := observer.Report{Reporter: "e1", Period: 10 * time.Second, Servers: []observer.ServerLoad{load("h1", 3), load("h2", 4)}}
	interval := c.Add(start, report)
	c.Add(start, report)
	c.Add(start, observer.Report{Reporter: "stranger", Servers: report.Servers})
	c.Add(start.Add(interval), observer.Report{Reporter: "e2", Period: 10 * time.Second, Servers: []observer.ServerLoad{load("h1", 5)}})

	summary := c.Summarise(start.Add(interval), catalog.WithDrained(announcer.ID{Service: "s", Host: "h2"}, true))
	require.Equal(t, []observer.ServiceLoad{{
		Service: "s", DataCentre: "a", Servers: 2, Ready: 1, Slots: 2, Connections: 10, Flows: 12, NewFlowsPerMinute: 18,
	}}, summary.Groups)
	require.Equal(t, 2, summary.Reporters)
	require.Equal(t, start.UnixMilli(), int64(summary.Oldest))

	stale := max(3*interval, 30*time.Second)
	summary = c.Summarise(start.Add(stale), catalog)
	require.Equal(t, 1, summary.Reporters, "the older report must have expired")
	require.Equal(t, int64(5), summary.Groups[0].Flows)

	const hosts = 1950 // of one region at the design size
	const budget = 5000 / 10
	large := observer.Report{Reporter: "e1", Servers: make([]observer.ServerLoad, hosts)}
	require.GreaterOrEqual(t, c.Add(start, large).Seconds(), float64(hosts*100/budget))
}
