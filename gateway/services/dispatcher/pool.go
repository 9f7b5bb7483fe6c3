package dispatcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// dialTimeout limits the time to open a connection, without pauses of this process. It is several
	// times the round-trip time between two data centres.
	dialTimeout = time.Second
	// dialTicks is the number of ticks that dialTimeout consists of. A pause counts as one or two.
	dialTicks = 10
	// maxDialDelay is how much later than dialTimeout a failed attempt to connect may end while
	// this process runs. The timers of a running process end within a few milliseconds.
	maxDialDelay = 100 * time.Millisecond
	// idleTimeout is how long an unused connection is kept. A connection whose peer no longer
	// answers is detected only when it is used.
	idleTimeout = 5 * time.Second
	// responseHeaderLimit limits the memory for the header of a response, in bytes.
	responseHeaderLimit = 64 << 10
	// poolExpiry is the time after its last use at which the connections to an address are
	// removed from the pool.
	poolExpiry = time.Minute
)

// errDialTimeout is returned if a backend server does not accept a connection within dialTimeout.
var errDialTimeout = errors.New("the backend server did not accept a connection in time")

// Pool holds the connections to the backend servers. Each address has its own transports, so
// that all its idle connections can be closed after a failure.
type Pool struct {
	clock  timer.Service
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*addrConns
	// lastUsed holds the time of the last use of each address.
	lastUsed map[netip.AddrPort]time.Time
}

// NewPool returns an empty Pool.
func NewPool(clock timer.Service) *Pool {
	return &Pool{clock: clock, byAddr: make(map[netip.AddrPort]*addrConns), lastUsed: make(map[netip.AddrPort]time.Time)}
}

// get returns the connections to an address and creates them if there are none.
func (p *Pool) get(now time.Time, addr netip.AddrPort) *addrConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed[addr] = now
	if conns, ok := p.byAddr[addr]; ok {
		return conns
	}
	p.expireLocked(now)
	conns := newAddrConns(p.clock, addr)
	p.byAddr[addr] = conns
	return conns
}

// CloseIdle closes the idle connections to an address after a failure, since their peer may
// have stopped answering on them as well.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	conns := p.byAddr[addr]
	p.mu.Unlock()
	if conns != nil {
		conns.keepAlive.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.byAddr {
		conns.keepAlive.CloseIdleConnections()
	}
}

func (p *Pool) expireLocked(now time.Time) {
	for addr, conns := range p.byAddr {
		if now.Sub(p.lastUsed[addr]) > poolExpiry {
			conns.keepAlive.CloseIdleConnections()
			delete(p.byAddr, addr)
			delete(p.lastUsed, addr)
		}
	}
}

// withDialTimeout returns a context that is cancelled with errDialTimeout after dialTimeout. It counts ticks,
// of which a pause of this process delivers one at most: after several short pauses, the timer of an attempt
// to connect would end the attempt before the answer of the backend server is read.
func withDialTimeout(ctx context.Context, clock timer.Service) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	ticks := clock.Subscribe("dial", dialTimeout/dialTicks)
	go func() {
		defer ticks.Cancel()
		for range dialTicks {
			select {
			case <-ticks.C:
			case <-ctx.Done():
				return
			}
		}
		cancel(errDialTimeout)
	}()
	return ctx, func() { cancel(context.Canceled) }
}

func newTransport(clock timer.Service, addr netip.AddrPort) *http.Transport {
	dialer := &net.Dialer{
		// Detects a peer that no longer answers within about 10 s, also while a request waits
		// for its response.
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 4 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			ctx, cancel := withDialTimeout(ctx, clock)
			defer cancel()
			conn, err := dialer.DialContext(ctx, network, addr.String())
			if err != nil && errors.Is(context.Cause(ctx), errDialTimeout) {
				return nil, errDialTimeout
			}
			return conn, err
		},
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    64,
		MaxResponseHeaderBytes: responseHeaderLimit,
	}
}
