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

	"github.com/redwingledge/redwingledge/shared/modules/recoverer"
)

// Service is a gRPC service with unary methods.
type Service struct {
	desc grpc.ServiceDesc
	// unreadable is nil if requests that cannot be decoded are not observed.
	unreadable func(method string, err error)
}

// NewService returns a service without methods. The name is the full name, such as
// "redwingledge.entry.Peer".
func NewService(name string) *Service {
	return &Service{desc: grpc.ServiceDesc{ServiceName: name, HandlerType: (*any)(nil)}}
}

// ObserveUnreadable makes the service call observe for each request that cannot be decoded. The call
// fails in any case. It must be called before the service is served.
func (s *Service) ObserveUnreadable(observe func(method string, err error)) { s.unreadable = observe }

// Handle adds a unary method to the service. The handler's errors should have a gRPC
// status.
func Handle[Req, Resp any](s *Service, method string, handler func(context.Context, *Req) (*Resp, error)) {
	fullMethod := "/" + s.desc.ServiceName + "/" + method
	s.desc.Methods = append(s.desc.Methods, grpc.MethodDesc{
		MethodName: method,
		Handler: func(_ any, ctx context.Context, decode func(any) error, interceptor grpc.UnaryServerInterceptor) (any, error) {
			req := new(Req)
			if err := decode(req); err != nil {
				if s.unreadable != nil {
					s.unreadable(method, err)
				}
				return nil, err
			}
			if interceptor == nil {
				return callHandler(ctx, fullMethod, req, handler)
			}
			info := &grpc.UnaryServerInfo{FullMethod: fullMethod}
			return interceptor(ctx, req, info, func(ctx context.Context, _ any) (any, error) {
				return callHandler(ctx, fullMethod, req, handler)
			})
		},
	})
}

// callHandler calls a handler and recovers from its panic. A panic fails only this call, with
// codes.Internal, and does not end the process.
func callHandler[Req, Resp any](ctx context.Context, method string, req *Req, handler func(context.Context, *Req) (*Resp, error)) (resp *Resp, err error) {
	panicErr := recoverer.Run(func() { resp, err = handler(ctx, req) })
	if panicErr != nil {
		logPanic(ctx, method, panicErr)
		return nil, status.Errorf(codes.Internal, "%s failed: %v", method, panicErr)
	}
	return resp, err
}

func logPanic(ctx context.Context, method string, panicErr error) {
	var panicked recoverer.ErrPanic
	errors.As(panicErr, &panicked)
	slog.ErrorContext(ctx, "call failed; the process goes on", "method", method, "error", panicErr, "stack", string(panicked.Stack))
}

// Server is a gRPC server on one address.
type Server struct {
	listener net.Listener
	grpc     *grpc.Server
}

// Listen returns a server that is bound to addr. If config is nil, it serves without TLS.
func Listen(addr netip.AddrPort, config *tls.Config, services ...*Service) (*Server, error) {
	return listen(addr, config, nil, services)
}

// ListenWithTraffic is like Listen, and counts the bytes of all calls in traffic.
func ListenWithTraffic(addr netip.AddrPort, config *tls.Config, traffic *Traffic, services ...*Service) (*Server, error) {
	return listen(addr, config, []grpc.ServerOption{grpc.StatsHandler(traffic)}, services)
}

func listen(addr netip.AddrPort, config *tls.Config, options []grpc.ServerOption, services []*Service) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("bind the gRPC address: %w", err)
	}
	server := grpc.NewServer(append(options, grpc.Creds(transportCredentials(config)), grpc.ForceServerCodec(codec{}),
		grpc.InitialWindowSize(windowSize), grpc.InitialConnWindowSize(windowSize))...)
	for _, s := range services {
		server.RegisterService(&s.desc, struct{}{})
	}
	return &Server{listener: listener, grpc: server}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves calls until Stop or GracefulStop is called.
func (s *Server) Serve() error {
	if err := s.grpc.Serve(s.listener); err != nil {
		return fmt.Errorf("serve gRPC: %w", err)
	}
	return nil
}

// Stop cancels all open calls and stops the server immediately.
func (s *Server) Stop() { s.grpc.Stop() }

// GracefulStop refuses new calls and waits for the open ones. When ctx ends, it cancels them.
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

// PeerCommonName returns the common name of the caller's certificate, or "" if the
// caller has no certificate.
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

func transportCredentials(config *tls.Config) credentials.TransportCredentials {
	if config == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(config)
}
