package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// roundTrip is that between two zones: 3.9 ms one way.
const roundTrip = 7800 * time.Microsecond

// retransmissions are the times at which TCP sends a segment again that is not acknowledged: after
// 0.2 s, and then at intervals that double.
var retransmissions = []time.Duration{
	200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 6200 * time.Millisecond, 12600 * time.Millisecond, 25400 * time.Millisecond,
}

// path is the path between a host and the machines of the system. While it is cut, bytes are held
// up: TCP delivers them with the first retransmission after the cut, also if their sender has
// closed the channel meanwhile.
type path struct {
	mu          sync.Mutex
	from, until time.Time
	http        *http.Client
}

func newPath() *path {
	p := &path{}
	p.http = &http.Client{Transport: &http.Transport{DialContext: p.dial, MaxIdleConnsPerHost: 2}, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	return p
}

func (p *path) cut(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.from, p.until = time.Now(), time.Now().Add(length)
}

// heldUntil returns when bytes that are sent now arrive: zero if they arrive at once.
func (p *path) heldUntil() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.from) || !now.Before(p.until) {
		return time.Time{}
	}
	for _, after := range retransmissions {
		if at := now.Add(after); !at.Before(p.until) {
			return at
		}
	}
	return p.until
}

func (p *path) isCut() bool { return !p.heldUntil().IsZero() }

// cutEnd returns the end of the last cut that has begun.
func (p *path) cutEnd() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.from.IsZero() {
		return time.Time{}
	}
	if time.Now().Before(p.until) {
		return time.Now()
	}
	return p.until
}

func (p *path) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if p.isCut() {
		// The opening segment is lost, and TCP repeats it only after a second, when the host has
		// given up.
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: conn, path: p}, nil
}

// heldConn is a channel over a path.
type heldConn struct {
	net.Conn
	path *path
	mu   sync.Mutex
	// busyUntil is when the last of the bytes that are held up arrive.
	busyUntil time.Time
}

func (c *heldConn) Write(b []byte) (int, error) {
	at := c.path.heldUntil()
	c.mu.Lock()
	if c.busyUntil.After(at) {
		at = c.busyUntil
	}
	if at.IsZero() || !at.After(time.Now()) {
		c.mu.Unlock()
		return c.Conn.Write(b)
	}
	c.busyUntil = at
	c.mu.Unlock()
	held := append([]byte(nil), b...)
	time.AfterFunc(time.Until(at), func() { _, _ = c.Conn.Write(held) })
	return len(b), nil
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.path.isCut() {
		time.Sleep(10 * time.Millisecond)
	}
	return n, err
}

// Close closes the channel once the bytes that are held up have arrived. The end of the channel
// is a segment of its own, which follows one round trip later.
func (c *heldConn) Close() error {
	c.mu.Lock()
	at := c.busyUntil
	c.mu.Unlock()
	if at.After(time.Now()) {
		time.AfterFunc(time.Until(at)+roundTrip, func() { _ = c.Conn.Close() })
		return nil
	}
	return c.Conn.Close()
}
