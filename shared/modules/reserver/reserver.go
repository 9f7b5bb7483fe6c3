// Package reserver hands out loopback addresses to the demonstration and to tests that must know an address before a
// server listens at it.
package reserver

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Ports are chosen below the ephemeral port range of Linux, so that no outgoing connection
// takes a port before a server binds it.
const (
	firstPort = 15_000
	lastPort  = 32_000
)

// reservations are sockets on 127.0.0.2 that mark the ports returned by this process, so that
// concurrent processes never return the same port. They are closed when the process ends.
var (
	reservationsMu sync.Mutex
	reservations   []*net.UDPConn
)

// nextPort starts at a random offset, so that two processes on one machine rarely try the same
// ports.
var nextPort = newPortCounter()

func newPortCounter() *atomic.Uint32 {
	counter := new(atomic.Uint32)
	counter.Store(rand.Uint32N(lastPort - firstPort))
	return counter
}

// Addresses returns addresses on 127.0.0.1 whose TCP and UDP ports were free when checked. No
// two calls return the same address, even in different processes, until the process of the
// first call ends. It returns an error if fewer ports than count are left.
func Addresses(count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	for range lastPort - firstPort {
		if len(addresses) == count {
			return addresses, nil
		}
		address := netip.AddrPortFrom(loopback, uint16(firstPort+nextPort.Add(1)%(lastPort-firstPort)))
		if reserve(address) {
			addresses = append(addresses, address)
		}
	}
	return nil, fmt.Errorf("only %d of %d ports are free between %d and %d", len(addresses), count, firstPort, lastPort)
}

// reserve marks the port of an address as returned. It reports false if the port is already marked
// or in use. The mark comes first: a check binds the address, which must not disturb the process
// that has it.
func reserve(address netip.AddrPort) bool {
	mark := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 2}), address.Port())
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(mark))
	if err != nil {
		return false
	}
	if !isAvailable(address) {
		_ = conn.Close()
		return false
	}
	reservationsMu.Lock()
	defer reservationsMu.Unlock()
	reservations = append(reservations, conn)
	return true
}

func isAvailable(address netip.AddrPort) bool {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return false
	}
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		_ = listener.Close()
		return false
	}
	return errors.Join(listener.Close(), packets.Close()) == nil
}
