package transporter

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// connectParams set a short maximum backoff for lost peers. With gRPC's default of up
// to 120 s the two sides of a network partition would stay disconnected long after
// its end.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: 2 * time.Second,
}

// windowSize is the HTTP/2 flow-control window of a stream and of a connection in bytes.
// With a fixed size gRPC sends no pings to estimate the bandwidth, which saves about
// 50 bytes and two packets per call. A whole snapshot chunk fits into the window.
const windowSize = 1 << 20

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithConnectTimeout sets the timeout of a connection attempt. The default of 2 s suits slow
// links. Callers that can use other peers should set a shorter timeout: the kernel
// retransmits the first packet to a VM that was down only after 1 s.
func WithConnectTimeout(d time.Duration) PoolOption {
	return func(p *Pool) { p.params.MinConnectTimeout = d }
}

// Pool keeps one connection for each peer address. It is safe for concurrent
// use.
type Pool struct {
	config *tls.Config
	params grpc.ConnectParams
	// traffic is nil if traffic is not counted.
	traffic *Traffic
	mu      sync.Mutex
	conns   map[netip.AddrPort]*grpc.ClientConn
}

// NewPool returns an empty pool. If config is nil, it connects without TLS.
func NewPool(config *tls.Config, options ...PoolOption) *Pool {
	p := &Pool{config: config, params: connectParams, conns: make(map[netip.AddrPort]*grpc.ClientConn)}
	for _, option := range options {
		option(p)
	}
	return p
}

// Call invokes a unary method, such as "/redwingledge.entry.Peer/Deliver", at addr.
// Errors of the call have a gRPC status.
func Call[Req, Resp any](ctx context.Context, p *Pool, addr netip.AddrPort, method string, req *Req) (*Resp, error) {
	conn, err := p.getConn(addr)
	if err != nil {
		return nil, err
	}
	resp := new(Resp)
	if err := conn.Invoke(ctx, method, req, resp, grpc.ForceCodec(codec{})); err != nil {
		return nil, fmt.Errorf("call %s at %s: %w", method, addr, err)
	}
	return resp, nil
}

// Disconnect closes the connection to a peer that has left.
func (p *Pool) Disconnect(addr netip.AddrPort) {
	p.mu.Lock()
	conn := p.conns[addr]
	delete(p.conns, addr)
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, addr)
	}
}

func (p *Pool) getConn(addr netip.AddrPort) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[addr]; ok {
		return conn, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(transportCredentials(p.config)), grpc.WithNoProxy(),
		grpc.WithConnectParams(p.params), grpc.WithInitialWindowSize(windowSize), grpc.WithInitialConnWindowSize(windowSize),
	}
	if p.traffic != nil {
		options = append(options, grpc.WithStatsHandler(p.traffic))
	}
	conn, err := grpc.NewClient("passthrough:///"+addr.String(), options...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	p.conns[addr] = conn
	return conn, nil
}
