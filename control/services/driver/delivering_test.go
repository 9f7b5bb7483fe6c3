package driver

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// newTLS returns a function that issues certificates from one certificate authority.
func newTLS(t *testing.T) func(name string) *tls.Config {
	t.Helper()
	issue := func(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		require.NoError(t, err)
		template.NotAfter = time.Now().Add(time.Hour)
		if signer == nil {
			parent, signer = template, key
		}
		der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
		require.NoError(t, err)
		cert, err := x509.ParseCertificate(der)
		require.NoError(t, err)
		return cert, key
	}
	ca, caKey := issue(&x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	return func(name string) *tls.Config {
		cert, key := issue(&x509.Certificate{
			SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		}, ca, caKey)
		return &tls.Config{
			MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, RootCAs: pool,
			Certificates: []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}},
		}
	}
}

// Guards against heartbeats that come ever later while calls take long, because each call took only a few of them.
func TestSmallMessagesShareCalls(t *testing.T) {
	t.Parallel()
	const messages = 100
	var received, calls atomic.Int64
	server, err := transporter.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, NewService(func(_ context.Context, delivery *DeliverRequest) (*DeliverResponse, error) {
		time.Sleep(50 * time.Millisecond)
		calls.Add(1)
		received.Add(int64(len(delivery.Envelopes)))
		return &DeliverResponse{}, nil
	}))
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Stop)
	settings := settingsOf(newPeers(t, 1), 0)
	settings.ElectionTimeout = 30 * time.Second // no call times out
	r := start(t, settings, storer.Settings{Folder: t.TempDir()})
	ring := buffer.NewRing[replicator.Envelope](messages)
	for range messages {
		require.True(t, ring.TryPush(replicator.Envelope{Message: &replicator.AppendRequest{}}))
	}
	r.wg.Add(1)
	go r.runSender(netip.MustParseAddrPort(server.Addr()), ring)
	require.Eventually(t, func() bool { return received.Load() == messages }, 10*time.Second, time.Millisecond)
	ring.Close()
	require.LessOrEqual(t, calls.Load(), int64(2))
}

// Guards against calls that a slow link does not transmit before they time out, and against messages larger than the
// limit that are never sent.
func TestLargeMessagesHaveOwnCalls(t *testing.T) {
	t.Parallel()
	const maxBytes = 64 << 10
	heartbeat := replicator.Envelope{Message: &replicator.AppendRequest{}}
	large := replicator.Envelope{Message: &replicator.SnapshotRequest{Data: make([]byte, maxBytes)}}
	for name, c := range map[string]struct {
		messages []replicator.Envelope
		want     int
	}{
		"one":               {[]replicator.Envelope{heartbeat}, 1},
		"small":             {[]replicator.Envelope{heartbeat, heartbeat, heartbeat, heartbeat, heartbeat}, 5},
		"large first":       {[]replicator.Envelope{large, heartbeat}, 1},
		"large after":       {[]replicator.Envelope{heartbeat, heartbeat, large, heartbeat}, 2},
		"nothing but large": {[]replicator.Envelope{large, large}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, c.want, countForCall(c.messages, maxBytes))
		})
	}
}

// Guards against messages from programs that hold a valid certificate of the system but
// are not replicas.
func TestDeliverChecksCaller(t *testing.T) {
	t.Parallel()
	issue, peers := newTLS(t), newPeers(t, 1)
	store, state, err := storer.Open(storer.Settings{Folder: t.TempDir()})
	require.NoError(t, err)
	defer func() { _ = store.Close() }()
	d, err := New(Options{
		Settings: settingsOf(peers, 0), Store: store, State: state, Applier: new(counter), TLS: issue("r0"),
		Timer: timer.NewSystem(), Counters: reporter.NewCounters(), Logger: log.Discard(),
	})
	require.NoError(t, err)
	server, err := transporter.Listen(peers[0].Address, issue("r0"), d.Service())
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	defer server.Stop()
	for name, want := range map[string]codes.Code{"r0": codes.OK, "entry-1": codes.PermissionDenied} {
		pool := transporter.NewPool(issue(name))
		_, err := transporter.Call[DeliverRequest, DeliverResponse](t.Context(), pool, peers[0].Address, deliverMethod, &DeliverRequest{})
		pool.Close()
		require.Equal(t, want, status.Code(err), "%s: %v", name, err)
	}
	require.Equal(t, int64(1), d.metrics.callersRefused.Value())
}
