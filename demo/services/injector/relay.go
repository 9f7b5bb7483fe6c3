// Package injector runs a cluster of control processes on loopback, with relays
// between them that cut and delay, and injects faults for tests.
package injector

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const relayBuffer = 32 << 10

// Relay forwards TCP connections to one address. While it is cut, open
// connections stay silent and new ones get no bytes through.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort
	running  sync.WaitGroup

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	delay       time.Duration
	// open is closed while bytes may pass.
	open chan struct{}
	done chan struct{}
}

// NewRelay listens on address and forwards to target.
func NewRelay(address, target netip.AddrPort) (*Relay, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("bind a relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, connections: make(map[net.Conn]bool), open: make(chan struct{}), done: make(chan struct{})}
	close(r.open)
	r.running.Go(r.serve)
	return r, nil
}

// Close ends all connections.
func (r *Relay) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.done)
	}
	for c := range r.connections {
		_ = c.Close()
	}
	r.mu.Unlock()
	_ = r.listener.Close()
	r.running.Wait()
}

// Cut stops all bytes until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = make(chan struct{})
}

// Heal ends Cut and SetDelay.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = 0
	select {
	case <-r.open:
	default:
		close(r.open)
	}
}

// SetDelay delays each block of bytes.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

func (r *Relay) serve() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.DialTimeout("tcp", r.target.String(), time.Second)
		if err != nil {
			_ = from.Close()
			continue
		}
		if !r.add(from, to) {
			return
		}
		r.running.Go(func() { r.forward(from, to) })
		r.running.Go(func() { r.forward(to, from) })
	}
}

func (r *Relay) add(connections ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range connections {
		if r.closed {
			_ = c.Close()
			continue
		}
		r.connections[c] = true
	}
	return !r.closed
}

func (r *Relay) forward(from, to net.Conn) {
	defer func() {
		_, _ = from.Close(), to.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.connections, from)
		delete(r.connections, to)
	}()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 && r.pass() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until bytes may pass, and returns false if the relay is closed.
func (r *Relay) pass() bool {
	r.mu.Lock()
	open, delay := r.open, r.delay
	r.mu.Unlock()
	select {
	case <-open:
	case <-r.done:
		return false
	}
	time.Sleep(delay)
	return true
}
