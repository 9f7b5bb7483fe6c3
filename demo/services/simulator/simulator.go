// Package simulator simulates the network fabric: it sends each packet of a caller or backend
// server to a random entry and delivers the packets that entries send.
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

// maxDatagram is the size of the largest datagram in bytes.
const maxDatagram = 9216

// Host receives the packets that are addressed to it.
type Host interface {
	Receive(segment framer.Segment)
}

// Fabric is the simulated fabric. It is safe for concurrent use.
type Fabric struct {
	conn *net.UDPConn
	vni  uint32

	mu      sync.RWMutex
	random  *rand.Rand
	entries []netip.AddrPort
	hosts   map[netip.Addr]Host

	sent, delivered, malformed, unrouted, unready atomic.Uint64
}

// ListenFabric returns a Fabric at the address that entries send to. The seed determines the
// random choice of entries.
func ListenFabric(address netip.AddrPort, vni uint32, seed uint64) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind the fabric address: %w", err)
	}
	return &Fabric{
		conn: conn, vni: vni, random: rand.New(rand.NewPCG(seed, seed)),
		hosts: make(map[netip.Addr]Host),
	}, nil
}

// Addr returns the bound address.
func (f *Fabric) Addr() netip.AddrPort {
	if udp, ok := f.conn.LocalAddr().(*net.UDPAddr); ok {
		return udp.AddrPort()
	}
	return netip.AddrPort{}
}

// SetEntries replaces the entries that packets are sent to.
func (f *Fabric) SetEntries(entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append([]netip.AddrPort(nil), entries...)
}

// Attach registers host as the receiver of packets for an address.
func (f *Fabric) Attach(address netip.Addr, host Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[address] = host
}

// Send sends a packet to a random entry. While no entry is ready, it drops the packet, as a real
// fabric does, so that the sender has to send it again.
func (f *Fabric) Send(segment framer.Segment) error {
	inner, err := segment.Encode()
	if err != nil {
		return err
	}
	f.mu.Lock()
	if len(f.entries) == 0 {
		f.mu.Unlock()
		f.unready.Add(1)
		return nil
	}
	entry := f.entries[f.random.IntN(len(f.entries))]
	f.mu.Unlock()
	if _, err := f.conn.WriteToUDPAddrPort(framer.Encapsulate(f.vni, inner), entry); err != nil {
		return fmt.Errorf("send a packet to entry %s: %w", entry, err)
	}
	f.sent.Add(1)
	return nil
}

// Serve delivers packets from entries until Close is called.
func (f *Fabric) Serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		f.deliver(append([]byte(nil), buffer[:n]...))
	}
}

// Close ends Serve.
func (f *Fabric) Close() error { return f.conn.Close() }

// Stats are counts of packets. Unready counts those that were dropped because no entry was ready.
type Stats struct {
	Sent, Delivered, Malformed, Unrouted, Unready uint64
}

// Stats returns the counts so far.
func (f *Fabric) Stats() Stats {
	return Stats{Sent: f.sent.Load(), Delivered: f.delivered.Load(), Malformed: f.malformed.Load(), Unrouted: f.unrouted.Load(), Unready: f.unready.Load()}
}

func (f *Fabric) deliver(datagram []byte) {
	inner, err := framer.Decapsulate(f.vni, datagram)
	if err != nil {
		f.malformed.Add(1)
		return
	}
	segment, err := framer.Decode(inner)
	if err != nil {
		f.malformed.Add(1)
		return
	}
	f.mu.RLock()
	host, ok := f.hosts[segment.Destination.Addr()]
	f.mu.RUnlock()
	if !ok {
		f.unrouted.Add(1)
		return
	}
	f.delivered.Add(1)
	host.Receive(segment)
}
