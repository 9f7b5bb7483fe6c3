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
// transports, so that all its idle connections can be retired after a failure.
type Pool struct {
	mu    sync.Mutex
	addrs map[netip.AddrPort]*pooled
	// used holds when each address was used last.
	used map[netip.AddrPort]time.Time
}

// NewPool returns an empty Pool.
func NewPool() *Pool {
	return &Pool{addrs: make(map[netip.AddrPort]*pooled), used: make(map[netip.AddrPort]time.Time)}
}

// get returns the connections to an address.
func (p *Pool) get(now time.Time, addr netip.AddrPort) *pooled {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used[addr] = now
	if t, ok := p.addrs[addr]; ok {
		return t
	}
	p.expireLocked(now)
	t := newPooled(addr)
	p.addrs[addr] = t
	return t
}

// Retire closes the idle connections to an address after a failure: they may
// be as silent as the one that failed.
func (p *Pool) Retire(addr netip.AddrPort) {
	p.mu.Lock()
	t := p.addrs[addr]
	p.mu.Unlock()
	if t != nil {
		t.kept.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.addrs {
		t.kept.CloseIdleConnections()
	}
}

func (p *Pool) expireLocked(now time.Time) {
	for addr, t := range p.addrs {
		if now.Sub(p.used[addr]) > poolExpiry {
			t.kept.CloseIdleConnections()
			delete(p.addrs, addr)
			delete(p.used, addr)
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
