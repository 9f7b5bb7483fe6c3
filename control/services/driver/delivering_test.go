package driver

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/models/storer"
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
