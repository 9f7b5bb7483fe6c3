// Package simulator is a stand-in for the fabric: it hands packets of callers and
// backend servers to a random entry and delivers what entries send.
package simulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/redwingledge/redwingledge/demo/modules/framer"
)

// maxDatagram is the greatest datagram in bytes.
const maxDatagram = 9216

// Host receives the packets that are addressed to it.
type Host interface {
	Receive(segment framer.Segment)
}

// Sprayer is the stand-in fabric. It is safe for concurrent use.
type Sprayer struct {
	conn *net.UDPConn
	vni  uint32

	mu      sync.RWMutex
	random  *rand.Rand
	entries []netip.AddrPort
	hosts   map[netip.Addr]Host

	sprayed, delivered, malformed, unrouted atomic.Uint64
}

// Listen binds the address that entries send to.
func Listen(address netip.AddrPort, vni uint32, seed uint64) (*Sprayer, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind the fabric address: %w", err)
	}
	return &Sprayer{
		conn: conn, vni: vni, random: rand.New(rand.NewPCG(seed, seed)),
		hosts: make(map[netip.Addr]Host),
	}, nil
}

// Addr returns the bound address.
func (s *Sprayer) Addr() netip.AddrPort {
	if udp, ok := s.conn.LocalAddr().(*net.UDPAddr); ok {
		return udp.AddrPort()
	}
	return netip.AddrPort{}
}

// SetEntries replaces the entries that packets are handed to.
func (s *Sprayer) SetEntries(entries []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append([]netip.AddrPort(nil), entries...)
}

// Attach delivers packets for an address to host.
func (s *Sprayer) Attach(address netip.Addr, host Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[address] = host
}

// Send hands a packet to a random entry.
func (s *Sprayer) Send(segment framer.Segment) error {
	inner, err := segment.Encode()
	if err != nil {
		return err
	}
	s.mu.Lock()
	if len(s.entries) == 0 {
		s.mu.Unlock()
		return errors.New("no entry is ready")
	}
	entry := s.entries[s.random.IntN(len(s.entries))]
	s.mu.Unlock()
	if _, err := s.conn.WriteToUDPAddrPort(framer.Encapsulate(s.vni, inner), entry); err != nil {
		return fmt.Errorf("hand a packet to entry %s: %w", entry, err)
	}
	s.sprayed.Add(1)
	return nil
}

// Serve delivers packets from entries until Close is called.
func (s *Sprayer) Serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		s.deliver(append([]byte(nil), buffer[:n]...))
	}
}

// Close ends Serve.
func (s *Sprayer) Close() error { return s.conn.Close() }

// Stats are counts of packets.
type Stats struct {
	Sprayed, Delivered, Malformed, Unrouted uint64
}

// Stats returns the counts so far.
func (s *Sprayer) Stats() Stats {
	return Stats{Sprayed: s.sprayed.Load(), Delivered: s.delivered.Load(), Malformed: s.malformed.Load(), Unrouted: s.unrouted.Load()}
}

func (s *Sprayer) deliver(datagram []byte) {
	inner, err := framer.Decapsulate(s.vni, datagram)
	if err != nil {
		s.malformed.Add(1)
		return
	}
	segment, err := framer.Decode(inner)
	if err != nil {
		s.malformed.Add(1)
		return
	}
	s.mu.RLock()
	host, ok := s.hosts[segment.Destination.Addr()]
	s.mu.RUnlock()
	if !ok {
		s.unrouted.Add(1)
		return
	}
	s.delivered.Add(1)
	host.Receive(segment)
}
