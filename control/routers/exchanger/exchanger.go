// Package exchanger serves the load exchange of control: entries report their load to one replica and
// get the sums over all entries, and replicas fetch each other's partial sums.
package exchanger

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/services/aggregator"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	// encodePeriod is how long an encoded summary serves all entries that ask. At 300 entries a replica
	// answers 200 exchanges a second.
	encodePeriod = 100 * time.Millisecond
	// refusalLogsPerSecond limits the log lines about refused reports.
	refusalLogsPerSecond = 1
)

// Reasons of refusals that are not those of loadsharer.ErrInvalid.
const (
	reasonStale          = "stale"
	reasonTooManyEntries = "too_many_entries"
	reasonUnreadable     = "unreadable"
	reasonNotPermitted   = "not_permitted"
)

// Directory knows the members of the system.
type Directory interface {
	// Replicas returns the gRPC addresses of all replicas.
	Replicas() []netip.AddrPort
	// IsReplica and IsEntry report whether the name is that of a replica or of an entry.
	IsReplica(name string) bool
	IsEntry(name string) bool
	// Servers returns all backend servers.
	Servers() []director.Server
}

// Options configure an Exchanger.
type Options struct {
	// Address is the gRPC address of this replica.
	Address   netip.AddrPort
	Directory Directory
	// Pool connects to the other replicas. Connections that stay silent are closed, so no other part may
	// use them.
	Pool *transporter.Pool
	// Clock should count the time in which the VM is suspended, so that figures from before are old.
	Clock    timer.Service
	Counters *reporter.Counters
	Logger   *slog.Logger
}

// Exchanger answers the exchanges of entries. Run must be called once.
type Exchanger struct {
	options     Options
	refusalLogs *log.RateLimiter
	accepted    *expvar.Int
	// unknown counts the figures of unknown services and data centres, which are left out.
	unknown *expvar.Int
	refused *expvar.Map

	mu         sync.Mutex
	aggregator *aggregator.Aggregator
	known      knownGroups
	// exchangedAt is when an entry last made an exchange; zero if none has.
	exchangedAt time.Time
	// The answers with and without the figures of the backend servers, encoded at encodedAt.
	withServers, withoutServers cbor.RawMessage
	encodedAt                   time.Time
	// fetches holds the state of the fetches from each of the other replicas.
	fetches map[netip.AddrPort]*fetchState
}

// New returns an Exchanger without figures.
func New(options Options) *Exchanger {
	e := &Exchanger{
		options: options, refusalLogs: log.NewRateLimiter(refusalLogsPerSecond), aggregator: aggregator.New(), fetches: make(map[netip.AddrPort]*fetchState),
		accepted: options.Counters.Int("load_reports_accepted"), unknown: options.Counters.Int("load_figures_unknown"), refused: options.Counters.Map("load_reports_refused"),
	}
	options.Counters.Func("load_reporters", func() any { return e.partial().Entries })
	options.Counters.Func("load_figures_age_ms", func() any { return e.partial().Age.Milliseconds() })
	options.Counters.Func("load_partial_ages_ms", func() any { return e.partialAges() })
	return e
}

// Service returns the gRPC service for entries and other replicas.
func (e *Exchanger) Service() *transporter.Service {
	s := transporter.NewService(loadsharer.ServiceName)
	s.ObserveUnreadable(func(method string, err error) {
		e.recordRefusal(reasonUnreadable, "", fmt.Errorf("%s: %w", method, err))
	})
	transporter.Handle(s, "Exchange", e.exchange)
	transporter.Handle(s, "Partial", e.servePartial)
	return s
}

// exchange accepts a report and returns the encoded sums: with the figures of the backend servers if
// the report has them.
func (e *Exchanger) exchange(ctx context.Context, report *loadsharer.Report) (*cbor.RawMessage, error) {
	if name := transporter.PeerCommonName(ctx); name != "" && (name != report.Entry || !e.options.Directory.IsEntry(name)) {
		err := errors.New("the certificate of the caller is not that of the reporting entry")
		e.recordRefusal(reasonNotPermitted, name, err)
		return nil, status.Error(codes.PermissionDenied, err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.options.Clock.Now()
	if err := e.accept(report, now); err != nil {
		reason, code := classify(err)
		e.recordRefusal(reason, report.Entry, err)
		return nil, status.Error(code, err.Error())
	}
	e.accepted.Add(1)
	e.exchangedAt = now
	if err := e.encode(now); err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	// The copy of the slice keeps its bytes when the sums are encoded again.
	answer := e.withoutServers
	if report.HasServers {
		answer = e.withServers
	}
	return &answer, nil
}

// accept passes a report on without the figures of unknown services and data centres. The report is
// checked before, so that unknown names do not hide that it is invalid.
func (e *Exchanger) accept(report *loadsharer.Report, now time.Time) error {
	if err := report.Check(); err != nil {
		return err
	}
	e.known.refresh(e.options.Directory, now)
	known, unknown := e.known.filter(report.Load)
	report.Load = known
	e.unknown.Add(int64(unknown))
	return e.aggregator.Accept(*report, now)
}

// classify returns the reason of a refusal as counters show it, and the code of the answer.
func classify(err error) (string, codes.Code) {
	var invalid loadsharer.ErrInvalid
	var stale aggregator.ErrStale
	switch {
	case errors.As(err, &invalid):
		return string(invalid.Reason), codes.InvalidArgument
	case errors.As(err, &stale):
		return reasonStale, codes.FailedPrecondition
	default:
		return reasonTooManyEntries, codes.ResourceExhausted
	}
}

// encode encodes the sums again if they are too old.
func (e *Exchanger) encode(now time.Time) error {
	if !e.encodedAt.IsZero() && now.Sub(e.encodedAt) < encodePeriod {
		return nil
	}
	summary := e.aggregator.Summary(now)
	withServers, err := cbor.Marshal(summary)
	if err != nil {
		return fmt.Errorf("encode the sums: %w", err)
	}
	withoutServers, err := cbor.Marshal(summary.WithoutServers())
	if err != nil {
		return fmt.Errorf("encode the sums: %w", err)
	}
	e.withServers, e.withoutServers, e.encodedAt = withServers, withoutServers, now
	return nil
}

func (e *Exchanger) recordRefusal(reason, entry string, err error) {
	e.refused.Add(reason, 1)
	if leftOut, ok := e.refusalLogs.Allow(e.options.Clock.Now()); ok {
		e.options.Logger.Warn("load report refused", log.FieldReason, reason, "entry", entry, log.FieldError, err, log.FieldLeftOut, leftOut)
	}
}

// servePartial returns the sums over the entries that report to this replica.
func (e *Exchanger) servePartial(ctx context.Context, _ *loadsharer.PartialRequest) (*loadsharer.Summary, error) {
	if name := transporter.PeerCommonName(ctx); name != "" && !e.options.Directory.IsReplica(name) {
		return nil, status.Error(codes.PermissionDenied, "the certificate of the caller is not that of a replica")
	}
	summary := e.partial()
	return &summary, nil
}

func (e *Exchanger) partial() loadsharer.Summary {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.aggregator.Partial(e.options.Clock.Now())
}

func (e *Exchanger) partialAges() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	ages := make(map[string]int64)
	for replica, age := range e.aggregator.PartialAges(e.options.Clock.Now()) {
		ages[replica] = age.Milliseconds()
	}
	return ages
}
