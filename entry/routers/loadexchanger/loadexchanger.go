// Package loadexchanger reports the load that an entry sees to the control replica that the entry
// follows, and hands on the sums over all entries.
package loadexchanger

import (
	"context"
	"errors"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	period  = 500 * time.Millisecond
	timeout = 300 * time.Millisecond
	// serversPeriod is the number of reports after which one has the figures of the backend servers
	// again. They are most of its bytes.
	serversPeriod = 4
	// failureLogPeriod is the time between two log lines about the same kind of failure.
	failureLogPeriod = time.Minute
)

// Source has the load that this entry sees.
type Source interface {
	// LoadReport returns the figures of this entry, and those of the backend servers if withServers is
	// true.
	LoadReport(withServers bool, now time.Time) loadsharer.Load
}

// Sink takes the sums over all entries, which include those of this entry.
type Sink interface {
	// SetSharedLoad takes new sums. Those without the figures of the backend servers leave these as they
	// are; see loadsharer.Summary.HasServers.
	SetSharedLoad(summary loadsharer.Summary, now time.Time)
}

// Follower knows the replica that the entry follows. It is safe for concurrent use.
type Follower interface {
	Followed() (netip.AddrPort, bool)
}

// Options configure an Exchanger.
type Options struct {
	// Name and DataCentre are those of the entry.
	Name, DataCentre string
	Follower         Follower
	Caller           Caller
	Source           Source
	Sink             Sink
	Clock            timer.Service
	// Random selects the phase of the exchanges.
	Random   *rand.Rand
	Counters *reporter.Counters
	Logger   *slog.Logger
}

// Exchanger exchanges loads from one goroutine.
type Exchanger struct {
	options Options
	// phase is the delay of the first exchange.
	phase    time.Duration
	sequence uint64
	// sinceServers is the number of reports since the last one with the figures of the backend servers,
	// which replica has got if it is valid.
	sinceServers int
	replica      netip.AddrPort
	// failure is the code of the last exchange, and codes.OK if it has succeeded. loggedAt is when each
	// kind of failure was last logged.
	failure  codes.Code
	loggedAt map[codes.Code]time.Time

	sent, leftOut *expvar.Int
	failed        *expvar.Map

	// mu guards the time of the figures, which the gauge reads.
	mu         sync.Mutex
	reportedAt time.Time
}

// New returns an Exchanger that does nothing until Run.
func New(options Options) *Exchanger {
	e := &Exchanger{
		options: options, phase: 1 + time.Duration(options.Random.Int64N(int64(period))), loggedAt: make(map[codes.Code]time.Time),
		// The sequence of a later start must be above that of an earlier one, which this start at half
		// seconds with 2 reports a second ensures. Milliseconds would take 4 more bytes. If the time of day
		// has gone back, the replicas refuse the reports as stale for at most 3 s.
		sequence: uint64(max(options.Clock.Now().UnixMilli(), 0) / period.Milliseconds()),
		sent:     options.Counters.Int("load_exchanges_sent"), failed: options.Counters.Map("load_exchanges_failed"),
		leftOut: options.Counters.Int("load_figures_left_out"),
	}
	options.Counters.Func("load_figures_age_ms", func() any { return e.ageMilliseconds() })
	return e
}

// ageMilliseconds returns the age of the newest sums, or -1 if there are none.
func (e *Exchanger) ageMilliseconds() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportedAt.IsZero() {
		return -1
	}
	return e.options.Clock.Now().Sub(e.reportedAt).Milliseconds()
}

// Run makes exchanges until ctx ends. The first is due after a random part of the period, so that
// entries that start together do not all call at the same moment.
func (e *Exchanger) Run(ctx context.Context) {
	phase := e.options.Clock.Subscribe("phase of load exchanges", e.phase)
	defer phase.Cancel()
	select {
	case <-ctx.Done():
		return
	case <-phase.C:
	}
	phase.Cancel()
	ticks := e.options.Clock.Subscribe("load exchanges", period)
	defer ticks.Cancel()
	for {
		e.exchange(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// exchange makes one exchange with the replica that the entry follows, if there is one.
func (e *Exchanger) exchange(ctx context.Context) {
	replica, ok := e.options.Follower.Followed()
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := e.options.Clock.Now()
	report := e.report(replica, sentAt)
	e.sent.Add(1)
	summary, err := e.options.Caller.Exchange(call, replica, report)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		err = summary.Check()
	}
	if err != nil {
		e.recordFailure(replica, err)
		return
	}
	now := e.options.Clock.Now()
	// The sums may be as old as the call.
	summary.Age += now.Sub(sentAt)
	e.recordSuccess(replica, report, *summary, now)
	e.options.Sink.SetSharedLoad(*summary, now)
}

// report returns the next report. It has the figures of the backend servers if they are due, or if the
// replica may not have them: it is another one, or the last exchange has failed.
func (e *Exchanger) report(replica netip.AddrPort, now time.Time) *loadsharer.Report {
	e.sequence++
	e.sinceServers++
	withServers := e.sinceServers >= serversPeriod || e.replica != replica
	load, leftOut := e.options.Source.LoadReport(withServers, now).WithLimits(loadsharer.ReportLimits, e.sequence)
	e.leftOut.Add(int64(leftOut))
	return &loadsharer.Report{Entry: e.options.Name, DataCentre: e.options.DataCentre, Sequence: e.sequence, HasServers: withServers, Load: load}
}

func (e *Exchanger) recordSuccess(replica netip.AddrPort, report *loadsharer.Report, summary loadsharer.Summary, now time.Time) {
	if report.HasServers {
		e.sinceServers, e.replica = 0, replica
	}
	if e.failure != codes.OK || e.ageMilliseconds() < 0 {
		e.options.Logger.Info("load exchange works", log.FieldReplica, replica, "entries", summary.Entries, log.FieldAge, summary.Age)
	}
	e.failure = codes.OK
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedAt = now.Add(-summary.Age)
}

// recordFailure counts a failed exchange. It logs each kind of failure at most once in failureLogPeriod:
// the entry goes on without shared figures, with a replica of an earlier version for a long time.
func (e *Exchanger) recordFailure(replica netip.AddrPort, err error) {
	code := status.Code(err)
	if code != codes.Unimplemented {
		// The replica may not have the figures of the backend servers. One that does not know the service will
		// not take them next time either.
		e.replica = netip.AddrPort{}
	}
	var invalid loadsharer.ErrInvalid
	if errors.As(err, &invalid) {
		// gRPC itself never returns this code, so it stands for answers that break a rule.
		code = codes.DataLoss
	}
	e.failure = code
	e.failed.Add(reasonOf(code), 1)
	now := e.options.Clock.Now()
	if last, ok := e.loggedAt[code]; ok && now.Sub(last) < failureLogPeriod {
		return
	}
	e.loggedAt[code] = now
	e.options.Logger.Warn("load exchange failed; going on without new shared figures", log.FieldReplica, replica, log.FieldReason, reasonOf(code), log.FieldError, err)
}

// reasonOf returns the reason of a failure as counters and logs show it.
func reasonOf(code codes.Code) string {
	switch code {
	case codes.Unimplemented:
		return "unknown_service"
	case codes.DeadlineExceeded:
		return "no_answer"
	case codes.Unavailable:
		return "unavailable"
	case codes.DataLoss:
		return "invalid_answer"
	case codes.Internal:
		// gRPC returns this code for messages that the codec cannot read.
		return "unreadable"
	case codes.InvalidArgument, codes.FailedPrecondition, codes.PermissionDenied, codes.ResourceExhausted:
		return "refused"
	default:
		return "other"
	}
}
