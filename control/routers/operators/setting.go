// Package operators serves the gRPC services of the control replicas for operators,
// entries and gateways: plans, configuration and load reports.
package operators

import (
	"crypto/tls"
	"encoding/hex"
	"net/netip"

	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

// Settings are the flags of this package, to be embedded in a program's
// settings.
type Settings struct {
	OperatorAddress      netip.AddrPort `name:"operator-address" env:"REDWINGLEDGE_OPERATOR_ADDRESS" default:"127.0.0.1:7301" help:"IP:PORT where operators, entries and gateways reach this replica."`
	BootstrapTokenSHA256 string         `name:"bootstrap-token-sha256" env:"REDWINGLEDGE_BOOTSTRAP_TOKEN_SHA256" placeholder:"HEX" help:"SHA-256 of the token that may apply the first declaration. It is ignored once the configuration has operators."`
}

// CheckOperators adds a problem for each invalid value.
func (s Settings) CheckOperators(problems *setting.Problems, hasCertificates bool) {
	problems.CheckListen("operator-address", s.OperatorAddress, hasCertificates)
	const hashSize = 32
	if decoded, err := hex.DecodeString(s.BootstrapTokenSHA256); s.BootstrapTokenSHA256 != "" && (err != nil || len(decoded) != hashSize) {
		problems.Addf("bootstrap-token-sha256", "must be a SHA-256 in 64 hexadecimal digits")
	}
}

// ServerTLS returns a copy of the configuration that also admits operators
// without a client certificate, who use a bearer token. It returns nil for nil.
func ServerTLS(config *tls.Config) *tls.Config {
	if config == nil {
		return nil
	}
	config = config.Clone()
	config.ClientAuth = tls.VerifyClientCertIfGiven
	return config
}
