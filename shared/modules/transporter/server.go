package transporter

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/modules/catcher"
)

// Service is a named set of unary methods.
type Service struct {
	desc grpc.ServiceDesc
}

// NewService returns an empty service with a full name such as
// "redwingledge.entry.Peer".
func NewService(name string) *Service {
	return &Service{desc: grpc.ServiceDesc{ServiceName: name, HandlerType: (*any)(nil)}}
}

// Handle adds a unary method to the service. Errors should carry a gRPC status.
func Handle[Req, Resp any](s *Service, method string, handler func(context.Context, *Req) (*Resp, error)) {
	full := "/" + s.desc.ServiceName + "/" + method
	s.desc.Methods = append(s.desc.Methods, grpc.MethodDesc{
		MethodName: method,
		Handler: func(_ any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) {
			req := new(Req)
			if err := decode(req); err != nil {
				return nil, err
			}
			if interceptor == nil {
				return contain(ctx, full, req, handler)
			}
			info := &grpc.UnaryServerInfo{FullMethod: full}
			return interceptor(ctx, req, info, func(ctx context.Context, _ any) (any, error) {
				return contain(ctx, full, req, handler)
			})
		},
	})
}

// contain calls a handler. A panic ends the call with codes.Internal, and not the process
// that serves all others.
func contain[Req, Resp any](ctx context.Context, method string, req *Req, handler func(context.Context, *Req) (*Resp, error)) (resp *Resp, err error) {
	caught := catcher.Run(func() { resp, err = handler(ctx, req) })
	if caught != nil {
		logPanic(ctx, method, caught)
		return nil, status.Errorf(codes.Internal, "%s failed: %v", method, caught)
	}
	return resp, err
}

func logPanic(ctx context.Context, method string, caught error) {
	var panicked catcher.ErrPanicked
	errors.As(caught, &panicked)
	slog.ErrorContext(ctx, "call failed; the process goes on", "method", method, "error", caught, "stack", string(panicked.Stack))
}

// Server serves services on one address.
type Server struct {
	listener net.Listener
	grpc     *grpc.Server
}

// Listen binds addr. A nil config serves without TLS.
func Listen(addr netip.AddrPort, config *tls.Config, services ...*Service) (*Server, error) {
	return listen(addr, config, nil, services)
}

// ListenCounted is Listen with calls that count as traffic.
func ListenCounted(addr netip.AddrPort, config *tls.Config, traffic *Traffic, services ...*Service) (*Server, error) {
	return listen(addr, config, []grpc.ServerOption{grpc.StatsHandler(traffic)}, services)
}

func listen(addr netip.AddrPort, config *tls.Config, options []grpc.ServerOption, services []*Service) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("bind the gRPC address: %w", err)
	}
	server := grpc.NewServer(append(options, grpc.Creds(serverCredentials(config)), grpc.ForceServerCodec(codec{}),
		grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window))...)
	for _, s := range services {
		server.RegisterService(&s.desc, struct{}{})
	}
	return &Server{listener: listener, grpc: server}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers calls until Stop or GracefulStop is called.
func (s *Server) Serve() error {
	if err := s.grpc.Serve(s.listener); err != nil {
		return fmt.Errorf("serve gRPC: %w", err)
	}
	return nil
}

// Stop ends all calls at once.
func (s *Server) Stop() { s.grpc.Stop() }

// GracefulStop refuses new calls and waits for the open ones until ctx ends.
func (s *Server) GracefulStop(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.grpc.Stop()
	}
}

// PeerCommonName returns the common name of the caller's certificate, or "" if
// the caller has none.
func PeerCommonName(ctx context.Context) string {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return ""
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return ""
	}
	return info.State.PeerCertificates[0].Subject.CommonName
}

func serverCredentials(config *tls.Config) credentials.TransportCredentials {
	if config == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(config)
}
