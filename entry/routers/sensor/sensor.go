// Package sensor reports the load of backend servers, as this entry sees it, to
// control, which makes plans from it.
package sensor

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
	// tickPeriod is how often the sensor looks whether a report is due.
	tickPeriod = time.Second
	// retryInterval is the wait after a report that no replica took.
	retryInterval = 5 * time.Second
	callTimeout   = 2 * time.Second
)

// Source counts the flows of this entry. It returns false when it is busy.
type Source interface {
	CountFlows(ctx context.Context) ([]placer.FlowCount, bool)
}

// Options are what a Sensor needs.
type Options struct {
	// Name is that of the entry.
	Name string
	// Control are the operators' addresses of the control replicas.
	Control  []netip.AddrPort
	Pool     *transporter.Pool
	Source   Source
	Timer    timer.Service
	Counters *reporter.Counters
}

// Sensor reports on one goroutine.
type Sensor struct {
	options Options
	// next is the position of the replica that is asked first.
	next    int
	dueAt   time.Time
	sentAt  time.Time
	before  map[announcer.ID]int64
	sent    *expvar.Int
	failed  *expvar.Int
	started bool
}

// New returns a Sensor that does nothing until Run.
func New(options Options) *Sensor {
	return &Sensor{
		options: options, before: make(map[announcer.ID]int64),
		sent: options.Counters.Int("load_reports_sent"), failed: options.Counters.Int("load_reports_failed"),
	}
}

// Run reports until ctx ends.
func (s *Sensor) Run(ctx context.Context) {
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
		if now := s.options.Timer.Now(); !now.Before(s.dueAt) {
			s.dueAt = now.Add(s.report(ctx, now))
		}
	}
}

// report sends the load and returns the time until the next report.
func (s *Sensor) report(ctx context.Context, now time.Time) time.Duration {
	counts, ok := s.options.Source.CountFlows(ctx)
	if !ok {
		return retryInterval
	}
	report := s.createReport(now, counts)
	for range s.options.Control {
		address := s.options.Control[s.next%len(s.options.Control)]
		answer, err := s.send(ctx, address, &report)
		switch {
		case err != nil:
			s.next++
			continue
		case answer.Leader.IsValid() && answer.Leader != address:
			if answer, err = s.send(ctx, answer.Leader, &report); err != nil {
				continue
			}
		}
		s.sent.Add(1)
		s.remember(now, counts)
		return max(answer.Interval, tickPeriod)
	}
	s.failed.Add(1)
	return retryInterval
}

func (s *Sensor) send(ctx context.Context, address netip.AddrPort, report *observer.Report) (*observer.ReportAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return transporter.Call[observer.Report, observer.ReportAnswer](ctx, s.options.Pool, address, observer.MethodReport, report)
}

// createReport counts as new flows the growth since the last report, which is a
// lower bound of the flows that started.
func (s *Sensor) createReport(now time.Time, counts []placer.FlowCount) observer.Report {
	report := observer.Report{Reporter: s.options.Name, Servers: make([]observer.ServerLoad, 0, len(counts))}
	if s.started {
		report.Period = now.Sub(s.sentAt)
	}
	for _, count := range counts {
		load := observer.ServerLoad{
			ID: count.Record.ID, DataCentre: count.Record.DataCentre, Ready: count.Record.AcceptsNewFlows(),
			Slots: int64(count.Record.Slots), Connections: int64(count.Record.Connections), Flows: count.Flows,
		}
		if before, ok := s.before[load.ID]; ok {
			load.NewFlows = max(0, count.Flows-before)
		}
		report.Servers = append(report.Servers, load)
	}
	return report
}

func (s *Sensor) remember(now time.Time, counts []placer.FlowCount) {
	s.started, s.sentAt = true, now
	clear(s.before)
	for _, count := range counts {
		s.before[count.Record.ID] = count.Flows
	}
}
