// Package collector stores the load reports of entries and gateways, and aggregates
// them for plans. The reports are not replicated: a new leader has no load figures
// until the next reports arrive.
package collector

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Limits of the rate of reports. Reports are at least minReportInterval apart. The
// interval grows with the size of the report, so that the traffic stays below
// maxReportRate: a tenth of the 5 kB/s that an entry may use for control traffic.
const (
	minReportInterval = 2 * time.Second
	maxReportRate     = 500 // bytes per second
	bytesPerServer    = 120 // size of one backend server in a report, with long names
)

// A report expires after expiryIntervals report intervals, but not before minExpiry,
// so that the load figures stay known across a change of the leader or a restart of
// a replica.
const (
	expiryIntervals = 3
	minExpiry       = 30 * time.Second
)

// MaxServers is the maximum number of backend servers in one report. The system is
// designed for 3,900 hosts.
const MaxServers = 20_000

// Collector stores the newest report of each reporter. It is not safe for concurrent
// use.
type Collector struct {
	reports map[string]receivedReport
}

type receivedReport struct {
	report     observer.Report
	receivedAt time.Time
	expiresAt  time.Time
}

// New returns an empty collector.
func New() *Collector { return &Collector{reports: make(map[string]receivedReport)} }

// Add stores the report, replacing the previous one of the same reporter, and returns
// the interval until the next one.
func (c *Collector) Add(now time.Time, report observer.Report) time.Duration {
	interval := max(minReportInterval, time.Duration(len(report.Servers)*bytesPerServer/maxReportRate)*time.Second)
	c.reports[report.Reporter] = receivedReport{report: report, receivedAt: now, expiresAt: now.Add(max(minExpiry, expiryIntervals*interval))}
	return interval
}

// Summarise aggregates the reports of declared entries and gateways. It deletes
// expired reports and those of undeclared reporters.
func (c *Collector) Summarise(now time.Time, catalog cataloger.Catalog) observer.Summary {
	members := slices.Concat(catalog.Entries, catalog.Gateways)
	summary := observer.Summary{Expected: len(members)}
	sum := newSum()
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Name] = true
	}
	names := make([]string, 0, len(c.reports))
	for name, r := range c.reports {
		if !known[name] || !now.Before(r.expiresAt) {
			delete(c.reports, name)
			continue
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(c.reports[b].receivedAt.Compare(c.reports[a].receivedAt), cmp.Compare(a, b))
	})
	for _, name := range names {
		r := c.reports[name]
		summary.Reporters++
		if at := timer.ToTimestamp(r.receivedAt); summary.Oldest == 0 || at < summary.Oldest {
			summary.Oldest = at
		}
		sum.add(r.report)
	}
	summary.Groups, summary.Servers = sum.summarise(catalog.Drained)
	return summary
}
