// Package dispatcher receives the packets of callers on a UDP socket and forwards each to
// the backend server that is selected for its flow.
package dispatcher

import (
	"context"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/timestamper"
)

const (
	// maxDatagram is the maximum size of a datagram in bytes.
	maxDatagram = 2048
	// maxPrefix is the maximum size in bytes of the header that a codec prepends to a packet.
	maxPrefix = 64
	// datagramOverhead is the number of bytes that a datagram takes on an Ethernet link beside its payload: 20 and
	// 8 for the headers of IPv4 and UDP, 38 for preamble, header, checksum and gap of the frame (IEEE 802.3).
	datagramOverhead = 66
	// socketBuffer is the requested size in bytes of the kernel's receive buffer.
	socketBuffer = 1 << 20
	// sweepPeriod is the interval between sweeps for idle flows.
	sweepPeriod = time.Second
)

// ErrMalformed reports a datagram that is not a valid packet.
var ErrMalformed = errors.New("the datagram is not a valid packet")

// Codec decodes and encodes the packets of a platform.
type Codec interface {
	// Decode returns the fields of a packet that select its backend server, or
	// ErrMalformed. Size and ResetSize are the bytes that Forward and Reset write.
	Decode(datagram []byte) (balancer.Packet, error)
	// Forward encodes a packet for a backend server, with the server's token, into dst
	// and returns the bytes written.
	Forward(dst, datagram []byte, server director.Server) ([]byte, error)
	// Reset encodes a reset of the flow that a packet belongs to into dst. It returns
	// the bytes written and the address to send them to.
	Reset(dst, datagram []byte) ([]byte, netip.AddrPort, error)
}

// Dispatcher forwards packets from one socket to the backend servers.
type Dispatcher struct {
	conn     *net.UDPConn
	codec    Codec
	balancer *balancer.Balancer
	clock    timer.Service
	logger   *slog.Logger
	running  sync.WaitGroup
	// recorder logs the decisions about flows.
	recorder *recorder

	received, forwarded, resets, malformed, panicked, sendErrors *expvar.Int
	// lateOpenings counts first opening packets that were dropped instead of reset because they waited in the
	// socket.
	lateOpenings *expvar.Int
	// withheldRefusals counts opening packets that were dropped instead of reset because the link had no room.
	withheldRefusals *expvar.Int
	refused, placed  *expvar.Map
	// resetOpening, resetCopies and resetOpen count resets by reason: those that answer the first
	// opening packet of a flow, a copy of one, and a packet of an open flow.
	resetOpening, resetCopies, resetOpen *expvar.Map
	// moved counts packets of flows that were established at another backend server, and kept those
	// whose token names another one than the backend server that holds their flow.
	moved, kept *expvar.Int
	// secondOpenings is nil if second openings are switched off.
	secondOpenings *secondOpenings
}

// Listen binds the address for the packets of callers.
func Listen(address netip.AddrPort, codec Codec, b *balancer.Balancer, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) (*Dispatcher, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("bind the packet address: %w", err)
	}
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		logger.Warn("receive buffer keeps its default size", "error", err)
	}
	if err := timestamper.Enable(conn); err != nil {
		logger.Warn("packets have no time of arrival; late opening packets may be reset", log.FieldError, err)
	}
	return &Dispatcher{
		conn: conn, codec: codec, balancer: b, clock: clock, logger: logger, recorder: newRecorder(logger),
		received: counters.Int("packets_received"), forwarded: counters.Int("packets_forwarded"),
		resets: counters.Int("packets_reset"), malformed: counters.Int("packets_malformed"),
		panicked: counters.Int("packets_panicked"), lateOpenings: counters.Int("opening_packets_late"),
		withheldRefusals: counters.Int("refusals_withheld"),
		sendErrors:       counters.Int("packets_send_errors"), refused: counters.Map("packets_not_forwarded"),
		placed:       counters.Map("flows_placed"),
		resetOpening: counters.Map("packets_reset_opening"), resetCopies: counters.Map("packets_reset_copy"),
		resetOpen: counters.Map("packets_reset_open"), moved: counters.Int("flows_moved"), kept: counters.Int("flows_kept"),
		secondOpenings: newSecondOpenings(b, counters),
	}, nil
}

// Addr returns the address for the packets of callers.
func (d *Dispatcher) Addr() net.Addr { return d.conn.LocalAddr() }

// Run forwards packets until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.running.Add(1)
	go d.sweep(ctx)
	if d.secondOpenings != nil {
		d.running.Go(func() { d.sendSecondOpenings(ctx) })
	}
	stop := context.AfterFunc(ctx, func() {
		if err := d.conn.Close(); err != nil {
			d.logger.Warn("packet socket was not closed", "error", err)
		}
	})
	defer stop()
	in, ancillary, out := make([]byte, maxDatagram), make([]byte, timestamper.AncillarySize()), make([]byte, maxDatagram+maxPrefix)
	for {
		n, ancillarySize, _, _, err := d.conn.ReadMsgUDPAddrPort(in, ancillary)
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			d.logger.Warn("packet was not read", "error", err)
			continue
		}
		d.received.Add(1)
		d.processRecovering(in[:n], ancillary[:ancillarySize], out)
	}
	d.running.Wait()
}

func (d *Dispatcher) sweep(ctx context.Context) {
	defer d.running.Done()
	ticks := d.clock.Subscribe("idle flows", sweepPeriod)
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C:
			d.balancer.Sweep(now)
		}
	}
}

// processRecovering processes a packet and recovers from a panic, so that a faulty packet
// is dropped without ending the process.
func (d *Dispatcher) processRecovering(datagram, ancillary, out []byte) {
	defer func() {
		if value := recover(); value != nil {
			d.panicked.Add(1)
			d.logger.Error("packet dropped; the entry goes on", log.FieldError, fmt.Sprintf("panic: %v", value), "packet", hex.EncodeToString(datagram), "stack", string(debug.Stack()))
		}
	}()
	d.process(datagram, ancillary, out)
}

func (d *Dispatcher) process(datagram, ancillary, out []byte) {
	packet, err := d.codec.Decode(datagram)
	if err != nil {
		d.malformed.Add(1)
		return
	}
	packet.Size += datagramOverhead
	packet.ResetSize += datagramOverhead
	now := d.clock.Now()
	if packet.IsOpening {
		packet.Waited = timestamper.Waited(ancillary, time.Now())
	}
	verdict := d.decide(packet, datagram, now)
	if verdict.Reason != balancer.ReasonNone {
		d.refused.Add(verdict.Reason.String(), 1)
	}
	if verdict.IsLate {
		d.lateOpenings.Add(1)
	}
	if verdict.IsWithheld {
		d.withheldRefusals.Add(1)
	}
	if verdict.Placement.IsNew {
		d.placed.Add(verdict.Placement.Kind(), 1)
	}
	if verdict.MovedFrom != 0 {
		d.moved.Add(1)
	}
	if verdict.IsKept {
		d.kept.Add(1)
	}
	if verdict.Overtaken != 0 {
		d.secondOpenings.won.Add(1)
	}
	d.recorder.record(packet, verdict, now)
	switch verdict.Action {
	case balancer.ActionForward:
		bytes, err := d.codec.Forward(out[:0], datagram, verdict.Server)
		if err != nil {
			d.sendErrors.Add(1)
			return
		}
		d.send(bytes, verdict.Server.Address, d.forwarded)
	case balancer.ActionReset:
		bytes, to, err := d.codec.Reset(out[:0], datagram)
		if err != nil {
			d.sendErrors.Add(1)
			return
		}
		d.countReset(packet, verdict.Reason)
		d.send(bytes, to, d.resets)
	case balancer.ActionDrop:
	}
}

func (d *Dispatcher) countReset(p balancer.Packet, reason balancer.Reason) {
	counter := d.resetOpen
	switch {
	case p.IsOpening && p.Retransmissions > 0:
		counter = d.resetCopies
	case p.IsOpening:
		counter = d.resetOpening
	}
	counter.Add(reason.String(), 1)
}

func (d *Dispatcher) send(bytes []byte, to netip.AddrPort, sent *expvar.Int) {
	if _, err := d.conn.WriteToUDPAddrPort(bytes, to); err != nil {
		d.sendErrors.Add(1)
		return
	}
	sent.Add(1)
}
