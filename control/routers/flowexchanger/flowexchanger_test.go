package flowexchanger

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/services/flowkeeper"
	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// members are the replicas that a replica watches.
type members struct {
	atomic.Pointer[[]netip.AddrPort]
}

func (m *members) Replicas() []netip.AddrPort { return *m.Load() }
func (*members) IsReplica(name string) bool   { return name == "replica-1" }
func (*members) IsEntry(name string) bool     { return name == "entry-1" }

type replica struct {
	*Exchanger
	server *transporter.Server
}

func startReplica(t *testing.T, address string, epoch uint64, m *members) *replica {
	t.Helper()
	pool := transporter.NewPool(nil)
	t.Cleanup(pool.Close)
	r := &replica{Exchanger: New(Options{
		Directory: m, Keeper: flowkeeper.New(epoch), Pool: pool, Clock: timer.NewSystem(), Counters: reporter.NewCounters(), Logger: log.Discard(),
	})}
	var err error
	r.server, err = transporter.Listen(netip.MustParseAddrPort(address), nil, r.Service())
	require.NoError(t, err)
	r.options.Address = netip.MustParseAddrPort(r.server.Addr())
	go func() { _ = r.server.Serve() }()
	t.Cleanup(r.server.Stop)
	return r
}

func newRequest(port uint16) *flowsharer.PublishRequest {
	return &flowsharer.PublishRequest{Entry: "entry-1", Flows: []flowsharer.HeldFlow{{
		Source: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Destination: netip.MustParseAddrPort("198.18.0.1:443"), Token: 5,
	}}}
}

func requireFlows(t *testing.T, r *replica, count int) {
	t.Helper()
	require.Eventually(t, func() bool { return r.options.Keeper.Len() == count }, 10*time.Second, 10*time.Millisecond)
}

// Guards against flows that reach only the entries of one replica, and against those that are lost with the memory of
// the one at which they were published.
func TestReplicasShareFlows(t *testing.T) {
	t.Parallel()
	m := new(members)
	m.Store(&[]netip.AddrPort{})
	a, b := startReplica(t, "127.0.0.1:0", 1, m), startReplica(t, reservertest.Address(t).String(), 2, m)
	m.Store(&[]netip.AddrPort{a.options.Address, b.options.Address})
	go a.Run(t.Context())
	go b.Run(t.Context())
	for i, r := range []*replica{a, b} {
		_, err := r.publish(t.Context(), newRequest(uint16(1+i)))
		require.NoError(t, err)
	}
	requireFlows(t, a, 2)
	requireFlows(t, b, 2)
	b.server.Stop()
	restarted := startReplica(t, b.options.Address.String(), 3, m)
	go restarted.Run(t.Context())
	requireFlows(t, restarted, 2)
	_, err := restarted.publish(t.Context(), newRequest(3))
	require.NoError(t, err)
	requireFlows(t, a, 3)
}

// Guards against polls that end before there are flows, and against polls that miss that a replica has started again.
func TestWatchWaits(t *testing.T) {
	t.Parallel()
	r := startReplica(t, "127.0.0.1:0", 4, new(members))
	response, err := r.watch(t.Context(), &flowsharer.WatchRequest{Wait: time.Hour})
	require.NoError(t, err)
	require.Equal(t, flowsharer.Position{Epoch: 4}, response.UpTo)
	time.AfterFunc(50*time.Millisecond, func() { r.options.Keeper.Add(newRequest(1).Flows, true, time.Now()) })
	response, err = r.watch(t.Context(), &flowsharer.WatchRequest{After: response.UpTo, Wait: time.Hour})
	require.NoError(t, err)
	require.Equal(t, newRequest(1).Flows, response.Flows)
	response, err = r.watch(t.Context(), &flowsharer.WatchRequest{After: response.UpTo, Wait: time.Millisecond})
	require.NoError(t, err)
	require.Empty(t, response.Flows)
}

// Guards against flows from callers that are no entries, and against invalid ones.
func TestBadCallIsRefused(t *testing.T) {
	t.Parallel()
	r, invalid := startReplica(t, "127.0.0.1:0", 4, new(members)), newRequest(1)
	invalid.Flows[0].Token = 0
	_, err := r.publish(t.Context(), invalid)
	require.Equal(t, codes.InvalidArgument, status.Code(err))
	for name, expected := range map[string][2]codes.Code{
		"entry-1": {codes.OK, codes.OK}, "replica-1": {codes.PermissionDenied, codes.OK}, "host-1": {codes.PermissionDenied, codes.PermissionDenied},
	} {
		state := tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: pkix.Name{CommonName: name}}}}
		ctx := peer.NewContext(t.Context(), &peer.Peer{AuthInfo: credentials.TLSInfo{State: state}})
		_, err := r.publish(ctx, newRequest(1))
		require.Equal(t, expected[0], status.Code(err), name)
		_, err = r.watch(ctx, new(flowsharer.WatchRequest))
		require.Equal(t, expected[1], status.Code(err), name)
	}
}
