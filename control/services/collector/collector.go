// Package collector keeps the load that entries and gateways report, and sums it
// for plans. It is not replicated: a new leader has no figures until the next
// reports arrive.
package collector

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Pace of reports: at least minInterval apart, and slower for large reports, so
// that they stay below reportRate (a tenth of the control budget of an entry,
// which is 5 kB/s).
const (
	minInterval   = 2 * time.Second
	reportRate    = 500 // bytes per second
	bytesPerEntry = 120 // of one backend server in a report, with long names
)

// A report no longer counts after staleIntervals intervals, and not before
// minStale: a change of the leader or a restart of a replica must not make figures
// unknown.
const (
	staleIntervals = 3
	minStale       = 30 * time.Second
)

// MaxServers bounds one report. The design size has 3,900 hosts.
const MaxServers = 20_000

// Collector keeps the newest report of each reporter. It is not safe for
// concurrent use.
type Collector struct {
	reports map[string]received
}

type received struct {
	report observer.Report
	at     time.Time
	expiry time.Time
}

// New returns an empty collector.
func New() *Collector { return &Collector{reports: make(map[string]received)} }

// Add keeps the report and returns the interval until the next one.
func (c *Collector) Add(now time.Time, report observer.Report) time.Duration {
	interval := max(minInterval, time.Duration(len(report.Servers)*bytesPerEntry/reportRate)*time.Second)
	c.reports[report.Reporter] = received{report: report, at: now, expiry: now.Add(max(minStale, staleIntervals*interval))}
	return interval
}

// Summarise sums the reports of declared members that still count. It forgets
// the others.
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
		if !known[name] || !now.Before(r.expiry) {
			delete(c.reports, name)
			continue
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(c.reports[b].at.Compare(c.reports[a].at), cmp.Compare(a, b))
	})
	for _, name := range names {
		r := c.reports[name]
		summary.Reporters++
		if at := timer.ToTimestamp(r.at); summary.Oldest == 0 || at < summary.Oldest {
			summary.Oldest = at
		}
		sum.add(r.report)
	}
	summary.Groups, summary.Servers = sum.finish(catalog.Drained)
	return summary
}
