// Package commander implements the commands of rwctl.
package commander

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/redwingledge/redwingledge/rwctl/services/presenter"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// settings are the global flags.
type settings struct {
	Control   []netip.AddrPort `name:"control" env:"REDWINGLEDGE_CONTROL" default:"127.0.0.1:7301" help:"IP:PORT of control replicas, separated by commas. One is enough; the others are tried when it does not answer."`
	TokenFile string           `name:"token-file" env:"REDWINGLEDGE_TOKEN_FILE" placeholder:"FILE" help:"File with the operator's bearer token."`
	TLSCert   string           `name:"tls-cert" env:"REDWINGLEDGE_TLS_CERT" placeholder:"FILE" help:"PEM file with the operator's certificate."`
	TLSKey    string           `name:"tls-key" env:"REDWINGLEDGE_TLS_KEY" placeholder:"FILE" help:"PEM file with the key of the certificate."`
	TLSCA     string           `name:"tls-ca" env:"REDWINGLEDGE_TLS_CA" placeholder:"FILE" help:"PEM file with the authorities that control's certificates are checked against."`
	Timeout   time.Duration    `name:"timeout" env:"REDWINGLEDGE_TIMEOUT" default:"30s" help:"Time in which control must answer, with all attempts."`
	Output    presenter.Format `name:"output" short:"o" env:"REDWINGLEDGE_OUTPUT" default:"text" enum:"text,json" help:"Form of the output: text or json."`

	Version kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// changeFlags are the flags of commands that send a request with an id.
type changeFlags struct {
	RequestID string `name:"request-id" placeholder:"ID" help:"Id of the request. Give the printed id of an earlier try to get its answer instead of a second run."`
}

// planFlags are the flags of commands that create a plan.
type planFlags struct {
	changeFlags
	BaseVersion uint64 `name:"base-version" placeholder:"N" help:"Refuse the request unless this configuration version is in force."`
}

// AfterApply validates the settings.
func (s *settings) AfterApply() error {
	if len(s.Control) == 0 {
		return fmt.Errorf("--control: must have at least one address")
	}
	if s.Timeout <= 0 {
		return fmt.Errorf("--timeout: must be above 0")
	}
	if (s.TLSCert == "") != (s.TLSKey == "") || (s.TLSCert != "" && s.TLSCA == "") {
		return fmt.Errorf("--tls-cert: needs --tls-key and --tls-ca")
	}
	return nil
}

func (s *settings) loadToken() (string, error) {
	if s.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return "", fmt.Errorf("read the token: %w", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return "", fmt.Errorf("read the token: %s must have exactly one line", s.TokenFile)
	}
	return token, nil
}

// loadTLS returns the TLS configuration, or nil if no certificate authorities are set.
func (s *settings) loadTLS() (*tls.Config, error) {
	if s.TLSCA == "" {
		return nil, nil
	}
	authorities, err := os.ReadFile(s.TLSCA)
	if err != nil {
		return nil, fmt.Errorf("read the authorities: %w", err)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !config.RootCAs.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("read the authorities: %s has no certificate", s.TLSCA)
	}
	if s.TLSCert == "" {
		return config, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
	if err != nil {
		return nil, fmt.Errorf("load the certificate: %w", err)
	}
	config.Certificates = []tls.Certificate{certificate}
	return config, nil
}

// AfterApply validates the request id.
func (f *changeFlags) AfterApply() error {
	if len(f.RequestID) > operator.MaxRequestIDLength {
		return fmt.Errorf("--request-id: must have at most %d bytes", operator.MaxRequestIDLength)
	}
	return nil
}
