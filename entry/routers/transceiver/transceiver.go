// Package transceiver receives and sends UDP datagrams in batches, with one goroutine for
// each direction.
package transceiver

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timestamper"
)

const (
	// maxDatagram is the maximum size of a datagram in bytes: a jumbo frame with outer
	// headers.
	maxDatagram = 9216
	batchSize   = 64
	// sendQueueSize is the maximum number of datagrams that wait to be sent.
	sendQueueSize = 8192
	// socketBuffer is the requested kernel buffer size in bytes for each direction.
	socketBuffer = 4 << 20
)

// Datagram is the payload of a UDP datagram and its remote address. Its memory is
// pooled; Release returns it.
type Datagram struct {
	Payload []byte
	Remote  netip.AddrPort
	// ArrivedAt is when the kernel received the datagram, or when it was read if the kernel
	// does not tell. It is zero for datagrams to be sent.
	ArrivedAt time.Time

	storage []byte
	pool    *sync.Pool
}

// Release returns the memory of the datagram to the pool of its socket. The payload
// must not be used afterwards.
func (d *Datagram) Release() {
	d.Payload = nil
	d.pool.Put(d)
}

// Socket is a UDP socket with a receiving and a sending goroutine.
type Socket struct {
	conn     *net.UDPConn
	batch    *ipv4.PacketConn
	pool     sync.Pool
	outgoing *buffer.Ring[*Datagram]
	done     sync.WaitGroup

	received, sent, sendErrors, sendDropped *expvar.Int
}

// Listen binds a UDP address for packets in the published encapsulation (Geneve). The
// returned socket does not receive until Start.
func Listen(address netip.AddrPort, logger *slog.Logger, counters *reporter.Counters) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind the packet address: %w", err)
	}
	// The kernel caps these sizes at its own limits without an error.
	if err := errors.Join(conn.SetReadBuffer(socketBuffer), conn.SetWriteBuffer(socketBuffer)); err != nil {
		return nil, errors.Join(fmt.Errorf("set socket buffers: %w", err), conn.Close())
	}
	if err := timestamper.Enable(conn); err != nil {
		logger.Warn("packets have no time of arrival; late opening packets may be relayed", log.FieldError, err)
	}
	s := &Socket{
		conn: conn,
		// ReadBatch and WriteBatch of the ipv4 package also work on IPv6 sockets, because
		// they only pass through the addresses of the socket calls.
		batch:       ipv4.NewPacketConn(conn),
		outgoing:    buffer.NewRing[*Datagram](sendQueueSize),
		received:    counters.Int("packets_received"),
		sent:        counters.Int("packets_sent"),
		sendErrors:  counters.Int("packets_send_errors"),
		sendDropped: counters.Int("packets_dropped_send_queue_full"),
	}
	s.pool.New = func() any {
		return &Datagram{storage: make([]byte, maxDatagram), pool: &s.pool}
	}
	return s, nil
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort {
	if udp, ok := s.conn.LocalAddr().(*net.UDPAddr); ok {
		return udp.AddrPort()
	}
	return netip.AddrPort{}
}

// Start starts the two goroutines. handle is called on the receiving goroutine for each
// datagram, which it must release.
func (s *Socket) Start(handle func(*Datagram)) {
	s.done.Add(2)
	go func() {
		defer s.done.Done()
		s.receive(handle)
	}()
	go func() {
		defer s.done.Done()
		s.send()
	}()
}

// Send queues a datagram whose payload write appends to an empty slice. The datagram is
// dropped and counted if the queue is full or the payload is empty.
func (s *Socket) Send(to netip.AddrPort, write func(dst []byte) []byte) {
	d, ok := s.pool.Get().(*Datagram)
	if !ok {
		return
	}
	d.Payload = write(d.storage[:0])
	d.Remote, d.ArrivedAt = to, time.Time{}
	if len(d.Payload) == 0 || !s.outgoing.TryPush(d) {
		s.sendDropped.Add(1)
		d.Release()
	}
}

// Close sends the queued datagrams, at most until ctx ends. It then closes the socket and
// waits for both goroutines.
func (s *Socket) Close(ctx context.Context) error {
	s.outgoing.Close()
	for s.outgoing.Len() > 0 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	err := s.conn.Close()
	s.done.Wait()
	return err
}

func (s *Socket) receive(handle func(*Datagram)) {
	messages := make([]ipv4.Message, batchSize)
	datagrams := make([]*Datagram, batchSize)
	for i := range messages {
		messages[i].OOB = make([]byte, timestamper.AncillarySize())
	}
	for {
		for i := range messages {
			if datagrams[i] != nil {
				continue
			}
			d, ok := s.pool.Get().(*Datagram)
			if !ok {
				return
			}
			datagrams[i] = d
			messages[i].Buffers = [][]byte{d.storage}
		}
		n, err := s.batch.ReadBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// Other errors, such as an ICMP error for a refused datagram, were caused by an
		// earlier send and do not end reception.
		now := time.Now()
		for i := range max(n, 0) {
			d := datagrams[i]
			datagrams[i] = nil
			d.Payload = d.storage[:messages[i].N]
			d.ArrivedAt = now.Add(-timestamper.Waited(messages[i].OOB[:messages[i].NN], now))
			if udp, ok := messages[i].Addr.(*net.UDPAddr); ok {
				d.Remote = udp.AddrPort()
			}
			s.received.Add(1)
			handle(d)
		}
	}
}

func (s *Socket) send() {
	messages := make([]ipv4.Message, batchSize)
	datagrams := make([]*Datagram, batchSize)
	for {
		n := s.outgoing.PopBatch(datagrams)
		if n == 0 {
			return
		}
		for i, d := range datagrams[:n] {
			messages[i].Buffers = [][]byte{d.Payload}
			messages[i].Addr = net.UDPAddrFromAddrPort(d.Remote)
		}
		s.write(messages[:n])
		for _, d := range datagrams[:n] {
			d.Release()
		}
	}
}

func (s *Socket) write(messages []ipv4.Message) {
	for len(messages) > 0 {
		n, err := s.batch.WriteBatch(messages, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The first of the remaining messages failed. Skip it and send the others.
			s.sendErrors.Add(1)
			n = max(n, 1)
		} else {
			s.sent.Add(int64(n))
		}
		messages = messages[n:]
	}
}
