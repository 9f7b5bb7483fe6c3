// Package injector runs a cluster of control processes on loopback and injects faults for
// tests. Relays between the processes simulate network partitions and delays.
package injector

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const relayBuffer = 32 << 10

// Relay forwards TCP connections to one address. While it is partitioned, connections stay open
// and new ones are accepted, but no bytes are forwarded.
type Relay struct {
	listener net.Listener
	target   netip.AddrPort
	running  sync.WaitGroup

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	delay       time.Duration
	// unblocked is a closed channel while bytes may be forwarded.
	unblocked chan struct{}
	done      chan struct{}
}

// NewRelay listens on address and forwards to target.
func NewRelay(address, target netip.AddrPort) (*Relay, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("bind the address of a relay: %w", err)
	}
	r := &Relay{listener: listener, target: target, connections: make(map[net.Conn]bool), unblocked: make(chan struct{}), done: make(chan struct{})}
	close(r.unblocked)
	r.running.Go(r.serve)
	return r, nil
}

// Close stops listening and closes all connections.
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

// Partition stops forwarding until Heal is called.
func (r *Relay) Partition() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unblocked = make(chan struct{})
}

// Heal undoes Partition and SetDelay.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = 0
	select {
	case <-r.unblocked:
	default:
		close(r.unblocked)
	}
}

// SetDelay delays each forwarded block of bytes until Heal is called.
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
		if n > 0 && r.waitUnblocked() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUnblocked waits until bytes may be forwarded, and returns false if the relay is closed.
func (r *Relay) waitUnblocked() bool {
	r.mu.Lock()
	unblocked, delay := r.unblocked, r.delay
	r.mu.Unlock()
	select {
	case <-unblocked:
	case <-r.done:
		return false
	}
	time.Sleep(delay)
	return true
}
