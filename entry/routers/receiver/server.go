package receiver

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/shared/modules/drainer"
)

// Server serves the endpoint on one TCP address.
type Server struct {
	*drainer.Server
}

// Listen binds addr. If config is nil, the server does not use TLS. Client certificates
// are optional, because a backend server may use a bearer token instead.
func Listen(addr netip.AddrPort, config *tls.Config, handler *Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("bind the announcement address: %w", err)
	}
	if config != nil {
		config = config.Clone()
		config.ClientAuth = tls.VerifyClientCertIfGiven
		listener = tls.NewListener(listener, config)
	}
	return &Server{drainer.New(&http.Server{
		Handler: handler, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}, listener)}, nil
}
