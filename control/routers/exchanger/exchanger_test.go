package exchanger

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// members are the replicas that a replica fetches from. They can be replaced while it runs.
type members struct {
	atomic.Pointer[[]netip.AddrPort]
}

func (m *members) Replicas() []netip.AddrPort { return *m.Load() }
func (*members) IsReplica(name string) bool   { return name == "replica-1" }
func (*members) IsEntry(name string) bool     { return name == "entry-1" }
func (*members) Servers() []director.Server {
	return []director.Server{{Token: 7, Service: "orders", DataCentre: "kano-a"}}
}

type replica struct {
	*Exchanger
	t       *testing.T
	server  *transporter.Server
	members *members
}

func startReplica(t *testing.T, address string, others ...netip.AddrPort) *replica {
	t.Helper()
	r := &replica{t: t, members: new(members)}
	r.members.Store(&others)
	r.Exchanger = New(Options{Directory: r.members, Pool: transporter.NewPool(nil), Clock: timer.NewSystem(), Counters: reporter.NewCounters(), Logger: log.Discard()})
	var err error
	r.server, err = transporter.Listen(netip.MustParseAddrPort(address), nil, r.Service())
	require.NoError(t, err)
	r.options.Address = netip.MustParseAddrPort(r.server.Addr())
	go func() { _ = r.server.Serve() }()
	go r.Run(t.Context())
	t.Cleanup(r.server.Stop)
	return r
}

func newReport(entry string, sequence uint64) *loadsharer.Report {
	return &loadsharer.Report{Entry: entry, DataCentre: "kano-a", Sequence: sequence, HasServers: true, Load: loadsharer.Load{
		Groups: []loadsharer.GroupLoad{{Service: "orders", DataCentre: "kano-a", Requests: 5}}, Servers: []loadsharer.ServerLoad{{Token: 7, Flows: 3}},
	}}
}

func (r *replica) call(report any) (*loadsharer.Summary, error) {
	pool := transporter.NewPool(nil)
	defer pool.Close()
	return transporter.Call[any, loadsharer.Summary](r.t.Context(), pool, r.options.Address, loadsharer.ExchangeMethod, &report)
}

// requireShared reports as each entry to its replica until all answers have the sums over so many
// entries.
func requireShared(t *testing.T, entries uint32, replicas map[string]*replica) {
	t.Helper()
	require.Eventually(t, func() bool {
		isComplete := true
		for entry, r := range replicas {
			s, err := r.call(newReport(entry, uint64(time.Now().UnixMilli())))
			isComplete = isComplete && err == nil && s.Entries == entries && s.Load.Groups[0].Requests == 5*entries && s.Load.Servers[0].Flows == 3*entries
		}
		return isComplete
	}, 5*time.Second, 100*time.Millisecond)
}

// requireCount waits for a count, as gRPC may answer an unreadable request before it is counted.
func (r *replica) requireCount(name string, count int) {
	r.t.Helper()
	line := fmt.Sprintf("%s %d\n", name, count)
	require.Eventually(r.t, func() bool { return strings.Contains(r.options.Counters.Text(), line) }, time.Second, time.Millisecond, line)
}

// Guards against sums that lack the entries of other replicas: beside one that is silent and one of an
// earlier version, after two were cut off from each other, and after the restart of one.
func TestReplicasShareSums(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	earlier, err := transporter.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil)
	require.NoError(t, err)
	go func() { _ = earlier.Serve() }()
	defer earlier.Stop()
	others := []netip.AddrPort{netip.MustParseAddrPort(silent.Addr().String()), netip.MustParseAddrPort(earlier.Addr())}
	a, b := startReplica(t, "127.0.0.1:0", others...), startReplica(t, reservertest.Address(t).String())
	requireShared(t, 1, map[string]*replica{"entry-1": a})
	requireShared(t, 1, map[string]*replica{"entry-2": b})

	all := slices.Concat(others, []netip.AddrPort{a.options.Address, b.options.Address})
	a.members.Store(&all)
	b.members.Store(&all)
	requireShared(t, 2, map[string]*replica{"entry-1": a, "entry-2": b})
	a.requireCount("load_reporters", 1)
	require.Contains(t, a.partialAges(), b.options.Address.String())
	require.NotContains(t, a.partialAges(), a.options.Address.String())
	require.NotZero(t, a.options.Counters.Int("load_partials_failed").Value())

	b.server.Stop()
	requireShared(t, 2, map[string]*replica{"entry-1": a, "entry-3": a})
	restarted := startReplica(t, b.options.Address.String(), all...)
	requireShared(t, 3, map[string]*replica{"entry-1": a, "entry-2": restarted, "entry-3": a})
}

// Guards against bad reports that stop the exchange, change sums, or are not counted by reason, and
// against certificates that grant more than their role: reports in the name of another entry or of a
// backend server, and partial sums for entries.
func TestBadCallIsRefused(t *testing.T) {
	t.Parallel()
	r, tooLong := startReplica(t, "127.0.0.1:0"), newReport("entry-2", 1)
	tooLong.Load.Servers = make([]loadsharer.ServerLoad, 300)
	requireCode := func(code codes.Code, report any) {
		t.Helper()
		_, err := r.call(report)
		require.Equal(t, code, status.Code(err), err)
	}
	requireCode(codes.OK, newReport("entry-1", 2))
	requireCode(codes.FailedPrecondition, newReport("entry-1", 2))
	requireCode(codes.InvalidArgument, tooLong)
	requireCode(codes.Internal, "text")
	requireCode(codes.Internal, []any{"entry-2", "kano-a", 1, true, []any{[]byte{9, 9}, []int{}, []int{}, nil, nil}})
	const ok, denied = codes.OK, codes.PermissionDenied
	for name, expected := range map[string][2]codes.Code{"entry-1": {ok, denied}, "entry-2": {denied, denied}, "replica-1": {denied, ok}} {
		state := tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: pkix.Name{CommonName: name}}}}
		ctx := peer.NewContext(t.Context(), &peer.Peer{AuthInfo: credentials.TLSInfo{State: state}})
		for _, entry := range []string{"entry-1", "entry-2", "replica-1"} {
			_, err := r.exchange(ctx, newReport(entry, 3))
			require.Equal(t, entry == name && expected[0] == ok, err == nil, name)
		}
		_, err := r.servePartial(ctx, &loadsharer.PartialRequest{})
		require.Equal(t, expected[1], status.Code(err), name)
	}
	for reason, count := range map[string]int{"stale": 1, "too_long": 1, "unreadable": 2, "not_permitted": 8} {
		r.requireCount("load_reports_refused."+reason, count)
	}
	s, err := r.call(&loadsharer.Report{Entry: "entry-1", DataCentre: "kano-a", Sequence: 4})
	require.NoError(t, err)
	require.Equal(t, uint32(1), s.Entries)
	require.False(t, s.HasServers, "an answer has the servers only if the report has them")
}

// Guards against an entry whose report has long made-up names, which add 16 KB to each answer to
// every other entry, and take room from the figures of others in the sums.
func TestUnknownNamesAreLeftOut(t *testing.T) {
	t.Parallel()
	r, report, longName := startReplica(t, "127.0.0.1:0"), newReport("entry-1", 1), strings.Repeat("s", director.MaxNameLength-3)
	for i := range loadsharer.ReportLimits.Groups - 1 {
		service, dataCentre := fmt.Sprintf("%02d%s", i, longName), fmt.Sprintf("%02dc%s", i, longName)
		report.Load.Groups = append(report.Load.Groups, loadsharer.GroupLoad{Service: service, DataCentre: dataCentre, Requests: 9})
		report.Load.Arrivals = append(report.Load.Arrivals, loadsharer.ServiceArrivals{Service: service, PerSecond: 9})
	}
	_, err := r.call(report)
	require.NoError(t, err)
	answer, err := r.exchange(t.Context(), newReport("entry-2", 1))
	require.NoError(t, err)
	require.Less(t, len(*answer), 100)
	r.requireCount("load_figures_unknown", 2*(loadsharer.ReportLimits.Groups-1))
}

// Guards against replicas that call each other 4 times a second although overload control is off, and
// against one that does not start to when the first entry reports.
func TestReplicaFetchesOnlyWhileInUse(t *testing.T) {
	t.Parallel()
	other := startReplica(t, "127.0.0.1:0")
	r := startReplica(t, "127.0.0.1:0", other.options.Address)
	time.Sleep(3 * fetchPeriod)
	require.NotContains(t, r.options.Counters.Text(), "load_partials_fetched")
	_, err := r.call(newReport("entry-1", 1))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return strings.Contains(r.options.Counters.Text(), "load_partials_fetched") }, 5*time.Second, 10*time.Millisecond)
}
