package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. It is several times the
	// round trip between two data centres.
	dialTimeout = time.Second
	// idleTimeout bounds how long a connection is kept unused: a connection
	// that went silent is found only by using it.
	idleTimeout = 5 * time.Second
	// responseHeaderLimit bounds the memory for the header of a response.
	responseHeaderLimit = 64 << 10
	// poolExpiry is the time after which the connections to an address that is
	// no longer used are forgotten.
	poolExpiry = time.Minute
)

// Pool keeps the connections to each backend server. Each address has its own
// transport, so that all its idle connections can be retired after a failure.
type Pool struct {
	mu         sync.Mutex
	transports map[netip.AddrPort]*pooled
}

type pooled struct {
	transport *http.Transport
	used      time.Time
}

// NewPool returns an empty Pool.
func NewPool() *Pool { return &Pool{transports: make(map[netip.AddrPort]*pooled)} }

// Get returns the transport for an address.
func (p *Pool) Get(now time.Time, addr netip.AddrPort) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.transports[addr]; ok {
		t.used = now
		return t.transport
	}
	p.expireLocked(now)
	t := &pooled{transport: newTransport(addr), used: now}
	p.transports[addr] = t
	return t.transport
}

// Retire closes the idle connections to an address after a failure: they may
// be as silent as the one that failed.
func (p *Pool) Retire(addr netip.AddrPort) {
	p.mu.Lock()
	t := p.transports[addr]
	p.mu.Unlock()
	if t != nil {
		t.transport.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.transports {
		t.transport.CloseIdleConnections()
	}
}

func (p *Pool) expireLocked(now time.Time) {
	for addr, t := range p.transports {
		if now.Sub(t.used) > poolExpiry {
			t.transport.CloseIdleConnections()
			delete(p.transports, addr)
		}
	}
}

func newTransport(addr netip.AddrPort) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		// Finds a peer that is gone within about 10 s, also while a request
		// waits for its response.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr.String())
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    64,
		MaxResponseHeaderBytes: responseHeaderLimit,
	}
}
