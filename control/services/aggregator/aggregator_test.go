package aggregator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/services/aggregator"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

var start = time.Unix(1000, 0)

// newReport returns a report with one figure of each kind, and with servers only if flows is above 0.
func newReport(entry int, sequence uint64, requests, flows uint32) loadsharer.Report {
	r := loadsharer.Report{Entry: fmt.Sprint("entry-", entry), DataCentre: "kano-a", Sequence: sequence, HasServers: flows > 0}
	r.Load.Groups = []loadsharer.GroupLoad{{Service: "orders", DataCentre: "kano-a", Requests: requests}}
	r.Load.Arrivals = []loadsharer.ServiceArrivals{{Service: "orders", PerSecond: requests}}
	if r.HasServers {
		r.Load.Servers = []loadsharer.ServerLoad{{Token: 7, Flows: flows}}
	}
	return r
}

// acceptAll passes the reports of several entries with the same figures.
func acceptAll(t *testing.T, a *aggregator.Aggregator, entries int, requests, flows uint32, now time.Time) {
	t.Helper()
	for i := range entries {
		require.NoError(t, a.Accept(newReport(i, 1, requests, flows), now))
	}
}

func requireSums(t *testing.T, s loadsharer.Summary, entries int, requests, flows uint32) {
	t.Helper()
	require.NoError(t, s.Check())
	require.Equal(t, entries, int(s.Entries))
	expected := newReport(0, 1, requests, flows).Load
	if entries == 0 {
		expected.Groups, expected.Arrivals = nil, nil
	}
	require.Equal(t, fmt.Sprint(expected), fmt.Sprint(s.Load))
}

// Guards against figures of an entry that is frozen or cut off and that count for longer than 3 s, or
// 6 s for those of backend servers, or that fall in one step.
func TestSilentEntryLosesWeight(t *testing.T) {
	t.Parallel()
	a := aggregator.New()
	acceptAll(t, a, 10, 10, 2, start)
	requireSums(t, a.Summary(start), 10, 100, 20)
	requireSums(t, a.Summary(start.Add(time.Second)), 10, 100, 20)
	requireSums(t, a.Summary(start.Add(2*time.Second)), 10, 50, 20)
	require.Equal(t, 2*time.Second, a.Summary(start.Add(2*time.Second)).Age)
	requireSums(t, a.Summary(start.Add(3*time.Second)), 0, 0, 20)
	requireSums(t, a.Summary(start.Add(6*time.Second)), 0, 0, 0)
}

// Guards against a reporter with false figures that moves the sums far, up or down, also where it is alone.
func TestLyingReporterMovesSumsLittle(t *testing.T) {
	t.Parallel()
	for lie, sums := range map[uint32][2]uint32{loadsharer.MaxFigure: {20*10 + 40, 20*3 + 12}, 1: {20*10 + 1, 20*3 + 1}} {
		a := aggregator.New()
		acceptAll(t, a, 20, 10, 3, start)
		require.NoError(t, a.Accept(newReport(20, 1, lie, lie), start))
		requireSums(t, a.Summary(start), 21, sums[0], sums[1])
	}
	a, report := aggregator.New(), newReport(20, 1, loadsharer.MaxFigure, 3)
	acceptAll(t, a, 20, 10, 3, start)
	report.Load.Groups[0].DataCentre = "kano-b"
	require.NoError(t, a.Accept(report, start))
	require.Equal(t, uint32(4*10), a.Summary(start).Load.Groups[1].Requests)
}

// Guards against a cap that cuts honest figures of few reporters that differ.
func TestHonestFiguresAreNotCapped(t *testing.T) {
	t.Parallel()
	for _, requests := range [][]uint32{{500}, {30, 100}, {1, 1, 1, 8}, {10, 20, 40, 70}, {0, 0, 0, 30, 60, 90}} {
		a, sum := aggregator.New(), uint32(0)
		for i, r := range requests {
			require.NoError(t, a.Accept(newReport(i, 1, r, 0), start))
			sum += r
		}
		requireSums(t, a.Summary(start), len(requests), sum, 0)
	}
}

// Guards against a cap that cuts the many requests of few reporters of one data centre to 4 times the few
// of the many reporters of the others, and against one that lets a faulty reporter move the sum further than 4 times
// the median of its own data centre, or of all reporters where its data centre has fewer than 3.
func TestCapFollowsDataCentreOfReporter(t *testing.T) {
	t.Parallel()
	const lie = loadsharer.MaxFigure
	for name, c := range map[string]struct {
		reporters map[string][]uint32
		sum       uint32
	}{
		"honest":                     {reporters: map[string][]uint32{"kano-a": slices.Repeat([]uint32{24}, 9), "kano-b": slices.Repeat([]uint32{1}, 18)}, sum: 234},
		"liar among many":            {reporters: map[string][]uint32{"kano-a": append(slices.Repeat([]uint32{24}, 8), lie), "kano-b": slices.Repeat([]uint32{1}, 18)}, sum: 8*24 + 4*24 + 18},
		"liar among few":             {reporters: map[string][]uint32{"kano-a": slices.Repeat([]uint32{24}, 9), "kano-b": append(slices.Repeat([]uint32{1}, 17), lie)}, sum: 9*24 + 17 + 8},
		"liar alone in data centre":  {reporters: map[string][]uint32{"kano-a": slices.Repeat([]uint32{24}, 9), "kano-c": {lie}}, sum: 9*24 + 4*24},
		"two liars in a data centre": {reporters: map[string][]uint32{"kano-b": slices.Repeat([]uint32{1}, 18), "kano-c": {lie, lie}}, sum: 18 + 2*8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, entries := aggregator.New(), 0
			for dataCentre, values := range c.reporters {
				for _, value := range values {
					report := newReport(entries, 1, value, value)
					report.DataCentre = dataCentre
					require.NoError(t, a.Accept(report, start))
					entries++
				}
			}
			requireSums(t, a.Summary(start), entries, c.sum, c.sum)
		})
	}
}

// Guards against late reports that replace newer ones, against an entry that starts again with a lower
// sequence and is refused for longer than 3 s, and against reports without servers that remove these.
func TestStaleReportIsRefused(t *testing.T) {
	t.Parallel()
	a := aggregator.New()
	require.NoError(t, a.Accept(newReport(1, 5, 7, 3), start))
	require.NoError(t, a.Accept(newReport(1, 6, 8, 0), start))
	for _, sequence := range []uint64{6, 4} {
		err := a.Accept(newReport(1, sequence, 9, 9), start.Add(3*time.Second))
		require.Equal(t, aggregator.ErrStale{Entry: "entry-1", Sequence: sequence, Last: 6}, err)
	}
	requireSums(t, a.Summary(start), 1, 8, 3)
	require.NoError(t, a.Accept(newReport(1, 1, 9, 4), start.Add(3*time.Second+1)))
	requireSums(t, a.Summary(start.Add(3*time.Second+1)), 1, 9, 4)
}

// Guards against memory that grows with made-up names, and against names that have gone and block others.
func TestEntriesAreBounded(t *testing.T) {
	t.Parallel()
	a := aggregator.New()
	acceptAll(t, a, 2048, 1, 0, start)
	require.Equal(t, aggregator.ErrTooManyEntries{Entry: "entry-2048"}, a.Accept(newReport(2048, 1, 1, 0), start.Add(time.Second)))
	require.NoError(t, a.Accept(newReport(2048, 1, 1, 0), start.Add(3*time.Second)))
}

// Guards against partial sums of a replica that has ended or is cut off: its entries report to other
// replicas by then and would count twice. A replica that starts again must have complete sums from the
// first partial sums and reports on.
func TestPartialSumsLoseWeight(t *testing.T) {
	t.Parallel()
	other := aggregator.New()
	acceptAll(t, other, 10, 10, 1, start)
	for age, share := range map[time.Duration]uint32{0: 10, 500 * time.Millisecond: 10, time.Second: 5, 1500 * time.Millisecond: 0} {
		a := aggregator.New()
		requireSums(t, a.Summary(start.Add(-time.Second)), 0, 0, 0)
		a.AcceptPartial("10.0.0.2:1", other.Partial(start), start)
		acceptAll(t, a, 4, 10, 1, start.Add(age))
		requireSums(t, a.Summary(start.Add(age)), int(4+share), 10*(4+share), 4+share)
		requireSums(t, a.Partial(start.Add(age)), 4, 40, 4)
	}
}

// callOverhead is the number of bytes that a call adds to its messages; see TestMessageOverhead. An entry
// makes 2 calls a second, one in 4 with the figures of the backend servers.
const callOverhead, callsPerSecond, callsWithServers, budgetEntries, budgetServers = 113, 2.0, 0.5, 300, 600

// newBudgetReport returns the report of one of 300 entries in three data centres with 600 backend
// servers of two services. Flows at all of them take more bytes than flows at those of one data centre.
func newBudgetReport(random *rand.Rand, entry, flows int) loadsharer.Report {
	r := loadsharer.Report{Entry: fmt.Sprintf("i-%010x", 1<<36+entry), DataCentre: "egy-north-a", Sequence: 3_580_000_000, HasServers: true}
	for _, service := range []string{"rollcall", "aastaraamat"} {
		for _, dataCentre := range []string{"egy-north-a", "egy-north-b", "egy-north-c"} {
			r.Load.Groups = append(r.Load.Groups, loadsharer.GroupLoad{Service: service, DataCentre: dataCentre, Requests: 1 + random.Uint32N(20)})
		}
		r.Load.Arrivals = append(r.Load.Arrivals, loadsharer.ServiceArrivals{Service: service, PerSecond: 1 + random.Uint32N(40)})
	}
	counts := make(map[int]uint32)
	for range flows {
		counts[random.IntN(budgetServers)]++
	}
	for server, flows := range counts {
		// Tokens have gaps, as each start of a backend server takes one.
		r.Load.Servers = append(r.Load.Servers, loadsharer.ServerLoad{Token: director.Token(5000 + 3*server - server%2), Flows: flows})
	}
	r.Load, _ = r.Load.WithLimits(loadsharer.ReportLimits, uint64(entry))
	return r
}

// Guards against an exchange that takes 1 KB/s or more of an entry's link, both directions together,
// with 300 entries and 600 backend servers.
func TestExchangeStaysWithinBudget(t *testing.T) {
	t.Parallel()
	sizeOf := func(message any) float64 {
		data, err := cbor.Marshal(message)
		require.NoError(t, err)
		return float64(len(data))
	}
	for _, flowsPerServer := range []int{2, 20, 50, 200} {
		random := rand.New(rand.NewPCG(1, 2))
		a, flows := aggregator.New(), flowsPerServer*budgetServers/budgetEntries
		for i := range budgetEntries {
			require.NoError(t, a.Accept(newBudgetReport(random, i, flows), start.Add(-time.Duration(random.Int64N(500e6)))))
		}
		report, summary := newBudgetReport(random, 0, flows), a.Summary(start)
		require.Equal(t, uint32(budgetEntries), summary.Entries)
		withServers := sizeOf(report) + sizeOf(summary)
		report.HasServers, report.Load.Servers = false, nil
		without := sizeOf(report) + sizeOf(summary.WithoutServers())
		perSecond := callsPerSecond*(callOverhead+without) + callsWithServers*(withServers-without)
		t.Logf("%d flows per server: %.0f bytes/s; %.0f bytes an exchange, %.0f with %d servers", flowsPerServer, perSecond, without, withServers, len(summary.Load.Servers))
		require.Less(t, perSecond, 1000.0)
	}
}
