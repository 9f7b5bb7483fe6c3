package setting

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// TLS are the flags for mutual TLS, to be embedded in a program's settings.
type TLS struct {
	TLSCert string `name:"tls-cert" env:"REDWINGLEDGE_TLS_CERT" placeholder:"FILE" help:"PEM file with this program's certificate. Without it only loopback addresses are bound."`
	TLSKey  string `name:"tls-key" env:"REDWINGLEDGE_TLS_KEY" placeholder:"FILE" help:"PEM file with the key of the certificate."`
	TLSCA   string `name:"tls-ca" env:"REDWINGLEDGE_TLS_CA" placeholder:"FILE" help:"PEM file with the authorities that peers' certificates are checked against."`
}

// HasCertificates reports whether all three files are set.
func (t TLS) HasCertificates() bool {
	return t.TLSCert != "" && t.TLSKey != "" && t.TLSCA != ""
}

// CheckTLS adds a problem if only some of the files are set or if they cannot be
// loaded.
func (t TLS) CheckTLS(problems *Problems) {
	if t.TLSCert == "" && t.TLSKey == "" && t.TLSCA == "" {
		return
	}
	if !t.HasCertificates() {
		problems.Addf("tls-cert", "--tls-cert, --tls-key and --tls-ca must be set together")
		return
	}
	if _, err := t.Load(); err != nil {
		problems.Addf("tls-cert", "%v", err)
	}
}

// Load returns a configuration for mutual TLS that servers and clients can use. It
// returns nil if no certificates are set.
func (t TLS) Load() (*tls.Config, error) {
	if !t.HasCertificates() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.TLSCert, t.TLSKey)
	if err != nil {
		return nil, fmt.Errorf("load the certificate: %w", err)
	}
	authorities, err := os.ReadFile(t.TLSCA)
	if err != nil {
		return nil, fmt.Errorf("read the authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("%s has no certificate", t.TLSCA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}, nil
}
