package announcements

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Server serves the endpoint on one address.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen binds addr. A nil config serves without TLS. Client certificates are
// optional, because a backend server may use a token.
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
	return &Server{listener: listener, http: &http.Server{
		Handler: handler, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
	}}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers requests until Shutdown is called.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve announcements: %w", err)
	}
	return nil
}

// Shutdown stops the server after its open requests or when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
