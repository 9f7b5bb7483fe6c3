package loadexchanger

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// fixture is an Exchanger of which the test is the follower, the caller, the source and the sink.
type fixture struct {
	*Exchanger
	t       *testing.T
	clock   *timer.Fake
	logs    bytes.Buffer
	replica netip.AddrPort
	// answer is the answer to the next calls; nil is a valid one.
	answer    func(ctx context.Context) (*loadsharer.Summary, error)
	reports   []*loadsharer.Report
	summaries []loadsharer.Summary
}

func newFixture(t *testing.T, seed uint64) *fixture {
	t.Helper()
	f := &fixture{t: t, clock: timer.NewFake(time.Unix(1000, 0)), replica: netip.MustParseAddrPort("10.0.0.1:1")}
	f.Exchanger = New(Options{
		Name: "entry-1", DataCentre: "kano-a", Follower: f, Caller: f, Source: f, Sink: f, Clock: f.clock,
		Random: rand.New(rand.NewPCG(seed, seed)), Counters: reporter.NewCounters(), Logger: slog.New(slog.NewTextHandler(&f.logs, nil)),
	})
	return f
}

func (f *fixture) Followed() (netip.AddrPort, bool) { return f.replica, f.replica.IsValid() }

func (f *fixture) Exchange(ctx context.Context, _ netip.AddrPort, report *loadsharer.Report) (*loadsharer.Summary, error) {
	f.reports = append(f.reports, report)
	if f.answer != nil {
		return f.answer(ctx)
	}
	f.clock.Advance(20 * time.Millisecond)
	return &loadsharer.Summary{Entries: 3, Age: 100 * time.Millisecond}, nil
}

// LoadReport returns more servers than a report may have.
func (f *fixture) LoadReport(withServers bool, _ time.Time) (load loadsharer.Load) {
	for i := 0; withServers && i < 300; i++ {
		load.Servers = append(load.Servers, loadsharer.ServerLoad{Token: director.Token(i + 1), Flows: 1})
	}
	return load
}

func (f *fixture) SetSharedLoad(summary loadsharer.Summary, _ time.Time) {
	f.summaries = append(f.summaries, summary)
}

// exchangeAll makes exchanges with the answer, one each period.
func (f *fixture) exchangeAll(count int, answer func(context.Context) (*loadsharer.Summary, error)) {
	f.answer = answer
	for range count {
		f.exchange(f.t.Context())
		f.clock.Advance(period)
	}
}

// requireCounts checks counters, and the number of exchanges whose sums were handed on.
func (f *fixture) requireCounts(handedOn int, lines ...string) {
	f.t.Helper()
	require.Len(f.t, f.summaries, handedOn)
	for _, line := range lines {
		require.Contains(f.t, f.options.Counters.Text(), line+"\n")
	}
}

func fail(code codes.Code) func(context.Context) (*loadsharer.Summary, error) {
	return func(context.Context) (*loadsharer.Summary, error) { return nil, status.Error(code, "refused") }
}

// Guards against sums that are not handed on or look newer than they are, reports that the replica
// refuses, and calls while the entry searches a replica. Backend servers (x) in each report would take
// four times the budget, but a replica that is new or may have started again must get them at once.
func TestSumsAreHandedOn(t *testing.T) {
	t.Parallel()
	f, sent, previous, reported := newFixture(t, 1), "", uint64(0), make(map[director.Token]bool)
	f.requireCounts(0, "load_figures_age_ms -1")
	f.exchangeAll(6, nil)
	f.replica = netip.AddrPort{}
	f.exchangeAll(1, nil)
	f.requireCounts(6, "load_figures_age_ms 1120", "load_figures_left_out 88", "load_exchanges_sent 6")
	require.Equal(t, loadsharer.Summary{Entries: 3, Age: 120 * time.Millisecond}, f.summaries[0])
	f.replica = netip.MustParseAddrPort("10.0.0.2:1")
	f.exchangeAll(2, nil)
	f.exchangeAll(1, fail(codes.Unavailable))
	f.exchangeAll(2, nil)
	for _, r := range f.reports {
		require.NoError(t, r.Check())
		require.Greater(t, r.Sequence, previous)
		sent, previous = sent+map[bool]string{true: "x", false: "-"}[r.HasServers], r.Sequence
		for _, s := range r.Load.Servers {
			reported[s.Token] = true
		}
	}
	require.Greater(t, len(reported), 290, "servers that are left out each time would look free to all")
	require.Equal(t, "x---x-"+"x--x-", sent)
}

// Guards against a failure that hands bad sums on, ends the exchange, or fills the log: a replica of an
// earlier version fails for a long time. A replica that does not answer costs one exchange.
func TestFailureCostsOneExchange(t *testing.T) {
	t.Parallel()
	for reason, answer := range map[string]func(context.Context) (*loadsharer.Summary, error){
		"no_answer": func(ctx context.Context) (*loadsharer.Summary, error) {
			<-ctx.Done()
			return nil, status.FromContextError(ctx.Err()).Err()
		},
		"unknown_service": fail(codes.Unimplemented), "refused": fail(codes.FailedPrecondition), "unreadable": fail(codes.Internal),
		"invalid_answer": func(context.Context) (*loadsharer.Summary, error) { return &loadsharer.Summary{Age: -1}, nil },
	} {
		f := newFixture(t, 1)
		f.exchangeAll(1, answer)
		f.exchangeAll(1, nil)
		f.requireCounts(1, "load_exchanges_failed."+reason+" 1")
		require.Contains(t, f.logs.String(), "reason="+reason)
	}
	f := newFixture(t, 1)
	f.exchangeAll(240, fail(codes.Unimplemented))
	f.requireCounts(0, "load_exchanges_failed.unknown_service 240")
	require.Equal(t, 2, strings.Count(f.logs.String(), "load exchange failed"), "2 minutes passed")
}

// Guards against entries that all call at the same moment after a common start.
func TestPhasesDiffer(t *testing.T) {
	t.Parallel()
	phases := make(map[time.Duration]bool)
	for seed := range uint64(40) {
		phases[newFixture(t, seed).phase/(period/10)] = true
	}
	require.Len(t, phases, 10)
}
