// Package loadreporter reports the load of backend servers, as this entry sees it, to
// control, which bases plans on it.
package loadreporter

import (
	"context"
	"expvar"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	// tickPeriod is the interval at which the Sender checks whether a report is due.
	tickPeriod = time.Second
	// retryInterval is the delay after a report that no replica accepted.
	retryInterval = 5 * time.Second
	callTimeout   = 2 * time.Second
)

// Source counts the flows of this entry. CountFlows returns false if the source is busy
// or ctx ends.
type Source interface {
	CountFlows(ctx context.Context) ([]placer.FlowCount, bool)
}

// Options configure a Sender.
type Options struct {
	// Name is the name of the entry.
	Name string
	// Control are the operator addresses of the control replicas.
	Control  []netip.AddrPort
	Pool     *transporter.Pool
	Source   Source
	Timer    timer.Service
	Counters *reporter.Counters
}

// Sender sends load reports from one goroutine.
type Sender struct {
	options Options
	// nextReplica is the index, modulo their number, of the replica that is tried first.
	nextReplica   int
	nextReportAt  time.Time
	lastReportAt  time.Time
	previousFlows map[announcer.ID]int64
	sent          *expvar.Int
	failed        *expvar.Int
	hasReported   bool
}

// New returns a Sender that does nothing until Run.
func New(options Options) *Sender {
	return &Sender{
		options: options, previousFlows: make(map[announcer.ID]int64),
		sent: options.Counters.Int("load_reports_sent"), failed: options.Counters.Int("load_reports_failed"),
	}
}

// Run sends reports until ctx ends. It returns at once if there are no control replicas.
func (s *Sender) Run(ctx context.Context) {
	if len(s.options.Control) == 0 {
		return
	}
	ticks := s.options.Timer.Subscribe("load reports", tickPeriod)
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if now := s.options.Timer.Now(); !now.Before(s.nextReportAt) {
			s.nextReportAt = now.Add(s.report(ctx, now))
		}
	}
}

// report sends the load to the first control replica that accepts it, or to the leader
// that this replica names. It returns the time until the next report.
func (s *Sender) report(ctx context.Context, now time.Time) time.Duration {
	counts, ok := s.options.Source.CountFlows(ctx)
	if !ok {
		return retryInterval
	}
	report := s.createReport(now, counts)
	for range s.options.Control {
		address := s.options.Control[s.nextReplica%len(s.options.Control)]
		answer, err := s.send(ctx, address, &report)
		switch {
		case err != nil:
			s.nextReplica++
			continue
		case answer.Leader.IsValid() && answer.Leader != address:
			if answer, err = s.send(ctx, answer.Leader, &report); err != nil {
				continue
			}
		}
		s.sent.Add(1)
		s.storeCounts(now, counts)
		return max(answer.Interval, tickPeriod)
	}
	s.failed.Add(1)
	return retryInterval
}

func (s *Sender) send(ctx context.Context, address netip.AddrPort, report *observer.Report) (*observer.ReportResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return transporter.Call[observer.Report, observer.ReportResponse](ctx, s.options.Pool, address, observer.MethodReport, report)
}

// createReport builds a report. It counts the growth since the last report as new flows,
// which is a lower bound of the number of flows that started.
func (s *Sender) createReport(now time.Time, counts []placer.FlowCount) observer.Report {
	report := observer.Report{Reporter: s.options.Name, Servers: make([]observer.ServerLoad, 0, len(counts))}
	if s.hasReported {
		report.Period = now.Sub(s.lastReportAt)
	}
	for _, count := range counts {
		load := observer.ServerLoad{
			ID: count.Record.ID, DataCentre: count.Record.DataCentre, Ready: count.Record.AcceptsNewFlows(),
			Slots: int64(count.Record.Slots), Connections: int64(count.Record.Connections), Flows: count.Flows,
		}
		if previous, ok := s.previousFlows[load.ID]; ok {
			load.NewFlows = max(0, count.Flows-previous)
		}
		report.Servers = append(report.Servers, load)
	}
	return report
}

func (s *Sender) storeCounts(now time.Time, counts []placer.FlowCount) {
	s.hasReported, s.lastReportAt = true, now
	clear(s.previousFlows)
	for _, count := range counts {
		s.previousFlows[count.Record.ID] = count.Flows
	}
}
