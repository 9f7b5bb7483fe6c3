package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// flowState is what a host holds of a flow.
type flowState struct {
	initial uint32
	isOpen  bool
	// isEnded is set once both ends have sent a FIN.
	isEnded bool
	echo    uint32
}

// host is one lifetime of a host.
type host struct {
	d             *deployment
	api           *api
	id            uint32
	name          string
	service, zone string
	address       netip.AddrPort
	born          int64
	conn          *net.UDPConn
	// slowOpening is how late it answers a SYN, as a host does that has just started.
	slowOpening time.Duration
	slowUntil   time.Time
	// cold is how long it stays cold.
	cold   time.Duration
	bornAt time.Time
	// onSYN is called with each opening packet that the host takes.
	onSYN func(h *host, p packet)

	mu     sync.Mutex
	flows  map[netip.AddrPort]*flowState
	seq    int
	checks int
}

func startHost(ctx context.Context, d *deployment, a *api, id uint32, i int, service, zone string, change func(*host)) (*host, error) {
	h := &host{
		d: d, api: a, id: id, name: fmt.Sprintf("i-%08x", id), service: service, zone: zone, address: netip.AddrPortFrom(d.address(3, i), 8080),
		born: time.Now().UnixMilli(), bornAt: time.Now(), flows: make(map[netip.AddrPort]*flowState),
	}
	if change != nil {
		change(h)
	}
	var err error
	if h.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.address)); err != nil {
		return nil, err
	}
	go h.serve()
	go h.announce(ctx)
	return h, nil
}

// stop ends the host at once.
func (h *host) stop() { _ = h.conn.Close() }

func (h *host) coldRemaining() time.Duration { return max(0, h.cold-time.Since(h.bornAt)) }

// announce checks in about every heartbeat, at one machine after the other until one acknowledges.
func (h *host) announce(ctx context.Context) {
	for first := rand.IntN(len(h.d.cores)); ctx.Err() == nil; {
		for try := range len(h.d.cores) {
			h.mu.Lock()
			h.seq++
			seq := h.seq
			h.mu.Unlock()
			body, err := json.Marshal(object{
				"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "max-concurrency": 2, "state": "ready",
				"cold-remaining-ms": h.coldRemaining().Milliseconds(), "seq": seq, "born": h.born,
			})
			if err != nil {
				panic(err) // plain values always have an encoding
			}
			m := h.d.cores[(first+try)%len(h.d.cores)]
			status, _ := h.api.once(ctx, m, "PUT", "/redwingledge/instances/"+h.name, body)
			if status == 200 {
				first = (first + try) % len(h.d.cores)
				h.mu.Lock()
				h.checks++
				isFirst := h.checks == 1
				h.mu.Unlock()
				if isFirst {
					h.d.record.add("host %s (%s, %s): first check-in acknowledged", h.name, h.service, h.zone)
				}
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (h *host) isRegistered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checks > 0
}

func (h *host) serve() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if intended := binary.BigEndian.Uint64(buf); intended != 0 && intended != uint64(h.id) {
			continue
		}
		if p, ok := decode(buf[8:n]); ok {
			h.handle(p)
		}
	}
}

func (h *host) handle(p packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.src]
	reply := packet{echo: p.echo, src: p.dst, dst: p.src, ack: p.seq + 1}
	switch {
	case p.flags&flagRST != 0:
		delete(h.flows, p.src)
	case p.flags&flagSYN != 0:
		if f == nil || f.isEnded {
			f = &flowState{initial: rand.Uint32()}
			h.flows[p.src] = f
			h.d.record.add("host %s (%s, %s) takes the opening packet of %s, copy %d", h.name, h.service, h.zone, p.src, p.ack)
			if h.onSYN != nil {
				h.onSYN(h, p)
			}
		}
		f.echo = p.echo
		reply.flags, reply.seq = flagSYN|flagACK, f.initial
		if time.Now().Before(h.slowUntil) {
			time.AfterFunc(h.slowOpening, func() { h.send(reply) })
			return
		}
		h.send(reply)
	case f != nil && f.isEnded && len(p.data) == 0:
		if p.flags&flagFIN != 0 {
			reply.flags, reply.seq = flagACK, p.ack
			h.send(reply)
		}
	case f == nil || f.isEnded || !f.isOpen && p.ack != f.initial+1:
		// It does not hold this flow: the flow is unknown, or has opened at another host.
		h.d.record.add("host %s gets a packet of %s, a flow that it does not hold, and sends an RST", h.name, p.src)
		reply.flags, reply.seq = flagRST, p.ack
		h.send(reply)
	default:
		if !f.isOpen {
			h.d.record.add("host %s holds the open flow of %s", h.name, p.src)
		}
		f.isOpen, f.echo = true, p.echo
		switch {
		case p.flags&flagFIN != 0:
			f.isEnded = true
			reply.flags, reply.seq = flagFIN|flagACK, p.ack
			h.send(reply)
		case len(p.data) > 0:
			h.d.record.add("host %s (%s, %s) runs %q of %s", h.name, h.service, h.zone, p.data, p.src)
			reply.flags, reply.seq, reply.ack, reply.data = flagACK, p.ack, p.seq+uint32(len(p.data)), p.data
			h.send(reply)
		}
	}
}

// send sends a packet to the client, past the system.
func (h *host) send(p packet) {
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), portPackets))
}
