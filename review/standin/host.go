package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is a backend server of the users. It follows PROTOCOL.md.
type host struct {
	w             *world
	id            string
	number        uint64
	service, zone string
	address       netip.AddrPort
	path          *path
	firstControl  int

	mu           sync.Mutex
	life         int
	alive        bool
	draining     bool
	drainAckedAt time.Time
	// beatsAt is the control machine that acknowledged the last check-in.
	beatsAt   string
	cold      cold
	born      int64
	seq       int
	lastEvent time.Time
	conn      *net.UDPConn
	health    *http.Server
	cancel    context.CancelFunc
	flows     map[flowKey]*hostFlow
	running   int
	queue     []func()
}

type hostFlow struct {
	echo                 uint32
	isn, next, peer      uint32
	isOpen, isEnding     bool
	unacked              []packet
	sentAt               time.Time
	timeout              time.Duration
	retransmissions      int
	lastRequest, lastRun string
}

func (h *host) isAlive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.alive
}

// disturbedAt returns when the case last started, ended or cut off this host.
func (h *host) disturbedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := h.lastEvent
	if cut := h.path.cutEnd(); cut.After(at) {
		at = cut
	}
	return at
}

func (h *host) start() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(h.address))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", h.address.String())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.life++
	h.alive, h.draining, h.drainAckedAt = true, false, time.Time{}
	h.born, h.seq, h.lastEvent = time.Now().UnixMilli(), 0, time.Now()
	h.conn, h.cancel, h.flows, h.running, h.queue = conn, cancel, make(map[flowKey]*hostFlow), 0, nil
	h.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	health := h.health
	h.mu.Unlock()
	h.w.logf("host %s (%s, %s, %s) starts, life %d, born %d", h.id, h.service, h.zone, h.address, h.life, h.born)
	go func() { _ = health.Serve(listener) }()
	go h.receive(ctx, conn)
	go h.checkIn(ctx)
	return nil
}

// end ends the process of the host. Its flows are discarded.
func (h *host) end(why string) {
	h.mu.Lock()
	if !h.alive {
		h.mu.Unlock()
		return
	}
	h.alive, h.lastEvent = false, time.Now()
	h.cancel()
	_ = h.conn.Close()
	_ = h.health.Close()
	flows := h.flows
	h.flows = make(map[flowKey]*hostFlow)
	h.mu.Unlock()
	for key := range flows {
		h.w.release(key)
	}
	h.w.logf("host %s ends: %s; %d flows were open", h.id, why, len(flows))
}

func (h *host) receive(ctx context.Context, conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for ctx.Err() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		isLost := h.path.isCut() && isMachine(from.Addr())
		if err == nil && n > instanceLen && !isLost {
			h.handle(buf[:n])
		}
		h.retransmit()
	}
}

// isMachine reports whether an address is that of a machine of the system.
func isMachine(a netip.Addr) bool {
	if !a.IsValid() {
		return false
	}
	b := a.As4()
	return b[2] == 1 || b[2] == 2
}

func (h *host) handle(datagram []byte) {
	var number uint64
	for _, b := range datagram[:instanceLen] {
		number = number<<8 | uint64(b)
	}
	if number != 0 && number != h.number {
		return
	}
	p, sound := decode(datagram[instanceLen:])
	if !sound {
		h.w.breakf("UNASKED: host %s gets a packet that its sender did not write so", h.id)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.alive {
		return
	}
	key := flowKey{client: p.src, route: p.dst}
	f := h.flows[key]
	switch {
	case p.has(flagSYN) && p.has(flagACK):
		return
	case p.has(flagSYN):
		h.handleSYN(key, f, p)
	case f == nil && p.has(flagRST):
		return
	case f == nil:
		h.send(packet{flags: flagRST, seq: p.ack, src: key.route, dst: key.client})
	default:
		h.handleOpen(key, f, p)
	}
}

func (h *host) handleSYN(key flowKey, f *hostFlow, p packet) {
	if f == nil {
		f = &hostFlow{isn: uint32(h.w.rng.intN(math.MaxInt32)), peer: p.seq + 1}
		f.next = f.isn + 1
		h.flows[key] = f
		now := time.Now()
		h.w.logf("host %s takes the opening packet of %s, copy %d", h.id, key.client, p.ack)
		if h.draining && !h.drainAckedAt.IsZero() && now.Sub(h.drainAckedAt) > drainLimit {
			h.w.breakf("DRAIN: opening packet of %s reaches host %s %.1f s after its draining was acknowledged", key.client, h.id, now.Sub(h.drainAckedAt).Seconds())
		}
		h.judgeCold(key, now)
	}
	f.echo = p.echo
	h.send(packet{flags: flagSYN | flagACK, echo: f.echo, seq: f.isn, ack: f.peer, src: key.route, dst: key.client})
}

func (h *host) handleOpen(key flowKey, f *hostFlow, p packet) {
	if p.has(flagRST) {
		delete(h.flows, key)
		h.w.release(key)
		return
	}
	f.echo = p.echo
	if !f.isOpen {
		if p.ack != f.isn+1 {
			return
		}
		f.isOpen = true
		h.w.hold(key, h)
	}
	h.w.use(key)
	progressed := false
	for len(f.unacked) > 0 && int32(p.ack-(f.unacked[0].seq+uint32(len(f.unacked[0].data)))) >= 0 && len(f.unacked[0].data) > 0 {
		f.unacked, progressed = f.unacked[1:], true
	}
	if progressed {
		f.sentAt, f.timeout, f.retransmissions = time.Now(), 200*time.Millisecond, 0
		h.transmitWindow(f, false)
	}
	if len(p.data) > 0 && p.seq == f.peer {
		f.peer += uint32(len(p.data))
		h.accept(key, f, p.data)
	} else if len(p.data) > 0 {
		// A copy is the second packet without an acknowledgement.
		h.send(packet{flags: flagACK, echo: f.echo, seq: f.next, ack: f.peer, src: key.route, dst: key.client})
	}
	if p.has(flagFIN) {
		h.send(packet{flags: flagACK | flagFIN, echo: f.echo, seq: f.next, ack: p.seq + uint32(len(p.data)) + 1, src: key.route, dst: key.client})
		delete(h.flows, key)
		h.w.release(key)
	}
}

// accept runs a request, or queues it, or rejects it.
func (h *host) accept(key flowKey, f *hostFlow, data []byte) {
	method, id := parseRequest(data)
	f.lastRequest = id
	life := h.life
	if (h.running >= 2 || h.isOverCold()) && len(h.queue) >= 8 {
		h.respond(key, f, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	run := func() {
		h.running++
		h.w.logf("host %s runs %s %s", h.id, method, id)
		time.AfterFunc(h.work(), func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if !h.alive || h.life != life {
				return
			}
			h.running--
			if h.flows[key] == f {
				f.lastRun = id
				body := strings.Repeat("x", 600+h.w.rng.intN(1200))
				h.respond(key, f, fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Signature: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, id, len(body), body))
			} else {
				h.w.logf("host %s has run %s, whose flow is gone", h.id, id)
			}
			h.runQueued()
		})
	}
	h.queue = append(h.queue, run)
	h.runQueued()
}

// runQueued starts queued requests while slots are free.
func (h *host) runQueued() {
	for len(h.queue) > 0 && h.running < 2 && !h.isOverCold() {
		next := h.queue[0]
		h.queue = h.queue[1:]
		h.cold.started(time.Now())
		next()
	}
}

// work returns how long a request takes: log-normal with a mean of 29 ms and a spread of 0.5, and
// 180 ms at most. A cold host is slower.
func (h *host) work() time.Duration {
	ms := min(29*math.Exp(0.5*h.w.rng.norm()-0.125), 180)
	if h.cold.isActive(time.Now()) {
		ms *= coldSlowness
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func parseRequest(data []byte) (method, id string) {
	lines := strings.Split(string(data), "\r\n")
	method = strings.SplitN(lines[0], " ", 2)[0]
	for _, line := range lines {
		if value, ok := strings.CutPrefix(line, "Request-Id: "); ok {
			id = value
		}
	}
	return method, id
}

func (h *host) respond(key flowKey, f *hostFlow, text string) {
	for data := []byte(text); len(data) > 0; {
		n := min(len(data), maxData)
		p := packet{flags: flagACK, seq: f.next, ack: f.peer, src: key.route, dst: key.client, data: data[:n]}
		f.next += uint32(n)
		f.unacked = append(f.unacked, p)
		data = data[n:]
	}
	if h.draining {
		f.isEnding = true
	}
	f.sentAt, f.timeout, f.retransmissions = time.Now(), 200*time.Millisecond, 0
	h.transmitWindow(f, true)
}

// transmitWindow sends the unacknowledged packets, at most 16.
func (h *host) transmitWindow(f *hostFlow, all bool) {
	for i, p := range f.unacked {
		if i >= 16 || !all && i > 0 {
			return
		}
		if f.isEnding && i == len(f.unacked)-1 {
			p.flags |= flagFIN
		}
		p.echo = f.echo
		h.send(p)
	}
}

func (h *host) retransmit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runQueued()
	for key, f := range h.flows {
		if len(f.unacked) == 0 || time.Since(f.sentAt) < f.timeout {
			continue
		}
		if f.retransmissions++; f.retransmissions > 8 {
			delete(h.flows, key)
			h.w.release(key)
			continue
		}
		f.sentAt, f.timeout = time.Now(), min(2*f.timeout, 1600*time.Millisecond)
		h.transmitWindow(f, false)
	}
}

// send sends a packet to a client, at the port of the datagram address.
func (h *host) send(p packet) {
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), h.w.ports.packets))
}

// checkIn sends a check-in about every heartbeat. One that is not acknowledged within a second
// is sent to the next control machine.
func (h *host) checkIn(ctx context.Context) {
	at := h.w.controlAddress(h.firstControl)
	index, backoff := h.firstControl, 100*time.Millisecond
	for ctx.Err() == nil {
		next, ok := h.checkInOnce(ctx, h.path.http, at)
		if ok {
			at, backoff = next, 100*time.Millisecond
			sleep(ctx, heartbeat)
			continue
		}
		index++
		at = h.w.controlAddress(index % len(h.w.cores))
		sleep(ctx, backoff)
		backoff = min(2*backoff, heartbeat)
	}
}

func (h *host) checkInOnce(ctx context.Context, client *http.Client, at string) (string, bool) {
	h.mu.Lock()
	h.seq++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "max-concurrency": 2, "state": state,
		"cold-remaining-ms": h.cold.remaining().Milliseconds(), "seq": h.seq, "born": h.born,
	})
	seq := h.seq
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+at+"/redwingledge/instances/"+h.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if err != nil || resp.StatusCode/100 != 2 {
		h.w.logf("host %s: check-in %d (%s, born %d) is refused by %s: %d %s", h.id, seq, state, h.born, at, resp.StatusCode, strings.TrimSpace(string(text)))
		h.w.count("check-ins refused with " + strconv.Itoa(resp.StatusCode))
		return "", false
	}
	h.mu.Lock()
	h.beatsAt = at
	if state == "draining" && h.drainAckedAt.IsZero() {
		h.drainAckedAt = time.Now()
		h.w.logf("host %s: its draining is acknowledged by %s", h.id, at)
	}
	h.mu.Unlock()
	var answer struct {
		URL string `json:"heartbeat-url"`
	}
	if json.Unmarshal(text, &answer) == nil && answer.URL != "" {
		at = answer.URL
	}
	return at, true
}

func (h *host) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.w.logf("host %s begins to drain", h.id)
}

// awaitDrained waits until the draining has been acknowledged for some time.
func (h *host) awaitDrained(ctx context.Context, since time.Duration) error {
	for ctx.Err() == nil {
		h.mu.Lock()
		at := h.drainAckedAt
		h.mu.Unlock()
		if !at.IsZero() && time.Since(at) >= since {
			return nil
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return ctx.Err()
}

// withdraw sends the DELETE of a planned shutdown to a control machine; it has no body, as the
// page shows it. It follows a 307 twice.
func (h *host) withdraw(ctx context.Context, at string) bool {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+at+"/redwingledge/instances/"+h.id, nil)
	resp, err := h.path.http.Do(req)
	if err != nil {
		h.w.logf("host %s: DELETE to %s gets no answer: %v", h.id, at, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	h.w.logf("host %s: DELETE to %s is answered with %d", h.id, at, resp.StatusCode)
	return resp.StatusCode/100 == 2
}
