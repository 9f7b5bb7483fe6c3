package operators_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/routers/operators"
	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// authority issues certificates for tests.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, pool: x509.NewCertPool()}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	certificate := a.issue(template, nil)
	var err error
	a.cert, err = x509.ParseCertificate(certificate.Certificate[0])
	require.NoError(t, err)
	a.key = certificate.PrivateKey.(*ecdsa.PrivateKey)
	a.pool.AddCert(a.cert)
	return a
}

func (a *authority) issue(template, parent *x509.Certificate) tls.Certificate {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	signer := a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	require.NoError(a.t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// config returns a TLS configuration with a certificate for the name, or without a
// certificate for "".
func (a *authority) config(name string) *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: a.pool, ClientCAs: a.pool, ClientAuth: tls.RequireAndVerifyClientCert}
	if name != "" {
		config.Certificates = []tls.Certificate{a.issue(&x509.Certificate{
			SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), Subject: pkix.Name{CommonName: name},
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		}, a.cert)}
	}
	return config
}

// Guards against a certificate that grants more than its own role: an entry that
// acts as an operator, an operator that reads the configuration with its token
// hashes, and a certificate of another authority.
func TestCertificates(t *testing.T) {
	t.Parallel()
	authority := newAuthority(t)
	n := &node{machine: planner.NewMachine()}
	service := planner.NewService(n, n.machine, timer.NewSystem(), rand.Reader)
	router := operators.New(service, operators.Settings{BootstrapTokenSHA256: hashOf("first")}, true, reporter.NewCounters(), log.Discard())
	server, err := transporter.Listen(netip.MustParseAddrPort("127.0.0.1:0"), operators.ServerTLS(authority.config("control-1")), router.Services()...)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Stop)
	connect := func(config *tls.Config) *fixture {
		f := &fixture{t: t, node: n, address: netip.MustParseAddrPort(server.Addr()), pool: transporter.NewPool(config)}
		t.Cleanup(f.pool.Close)
		return f
	}
	withToken, amina, entry := connect(authority.config("")), connect(authority.config("amina")), connect(authority.config("entry-1"))
	withToken.bootstrap()
	getStatus := func(f *fixture, token string) codes.Code {
		return status.Code(callError[operator.GetStatusRequest, operator.Status](f, token, operator.MethodGetStatus))
	}
	fetch := func(f *fixture, token string) codes.Code {
		return status.Code(callError[operator.FetchRequest, operator.FetchResponse](f, token, operator.MethodFetch))
	}
	report := func(f *fixture, reporter string) codes.Code {
		_, err := call[observer.Report, observer.ReportResponse](f, "", observer.MethodReport, observer.Report{Reporter: reporter})
		return status.Code(err)
	}
	tests := map[string]struct {
		got, want codes.Code
	}{
		"operator":                     {getStatus(amina, ""), codes.OK},
		"token without certificate":    {getStatus(withToken, "dayo's token"), codes.OK},
		"token before certificate":     {getStatus(entry, "dayo's token"), codes.OK},
		"entry as operator":            {getStatus(entry, ""), codes.Unauthenticated},
		"nothing":                      {getStatus(withToken, ""), codes.Unauthenticated},
		"entry fetches":                {fetch(entry, ""), codes.OK},
		"operator fetches":             {fetch(amina, "amina's token"), codes.Unauthenticated},
		"nobody fetches":               {fetch(withToken, ""), codes.Unauthenticated},
		"entry reports":                {report(entry, "entry-1"), codes.OK},
		"entry reports for another":    {report(entry, "entry-2"), codes.Unauthenticated},
		"certificate of another group": {getStatus(connect(withForeignCertificate(t, authority)), ""), codes.Unavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.got) })
	}
	require.Nil(t, amina.create("", "c1", drain).Refusal)
}

// withForeignCertificate returns a TLS configuration that trusts the authority, but
// presents a certificate of another one.
func withForeignCertificate(t *testing.T, trusted *authority) *tls.Config {
	config := newAuthority(t).config("amina")
	config.RootCAs = trusted.pool
	return config
}
