package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var (
	errReset    = errors.New("reset by the system")
	errHost     = errors.New("reset by a host")
	errNoAnswer = errors.New("no answer")
)

// clients are the clients of one zone, with one address.
type clients struct {
	w       *world
	zone    string
	address netip.Addr
	conn    *net.UDPConn
	mu      sync.Mutex
	flows   map[flowKey]*clientFlow
	port    uint16
	ids     atomic.Int64
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	c         *clients
	key       flowKey
	in        chan packet
	echo      uint32
	next, got uint32
	isOpen    bool
	unacked   int
}

func (w *world) newClients(i int) (*clients, error) {
	c := &clients{w: w, zone: zones[i], address: w.address(4, i+1), flows: make(map[flowKey]*clientFlow), port: 30000}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.address, w.ports.packets)))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go c.receive()
	return c, nil
}

func (c *clients) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p, sound := decode(buf[:max(n, 0)])
		key := flowKey{client: p.dst, route: p.src}
		c.mu.Lock()
		f := c.flows[key]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		isOwnReset := p.has(flagRST) && p.sum == 0
		if isOwnReset {
			c.w.logf("client %s gets a reset of the system's own", key.client)
			c.w.judgeReset(key)
		} else if !sound {
			c.w.breakf("MIXED: client %s gets a packet that its sender did not write so", key.client)
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// send sends a packet to the entry that the routers choose.
func (f *clientFlow) send(flags byte, ack uint32, data []byte, seq uint32) {
	p := packet{echo: f.echo, seq: seq, ack: ack, flags: flags, src: f.key.client, dst: f.key.route, data: data}
	v := f.c.w.entryFor(f.c.zone, f.key)
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(v.address, f.c.w.ports.packets))
}

// open opens a flow from a new port.
func (c *clients) open(ctx context.Context, route netip.AddrPort) (*clientFlow, error) {
	c.mu.Lock()
	c.port++
	key := flowKey{client: netip.AddrPortFrom(c.address, c.port), route: route}
	f := &clientFlow{c: c, key: key, in: make(chan packet, 256), next: uint32(c.w.rng.intN(1 << 30))}
	c.flows[key] = f
	c.mu.Unlock()
	c.w.recordSent(key)
	began := time.Now()
	for copies, wait := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(flagSYN, uint32(copies), nil, f.next)
		for p, ok := f.await(ctx, began.Add(wait)); ok; p, ok = f.await(ctx, began.Add(wait)) {
			if p.has(flagRST) {
				f.close()
				return nil, errReset
			}
			if p.has(flagSYN) && p.ack == f.next+1 {
				f.echo, f.next, f.got, f.isOpen = p.echo, f.next+1, p.seq+1, true
				f.send(flagACK, f.got, nil, f.next)
				return f, nil
			}
		}
	}
	f.close()
	return nil, errNoAnswer
}

func (f *clientFlow) await(ctx context.Context, until time.Time) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case p := <-f.in:
		return p, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return packet{}, false
}

func (f *clientFlow) close() {
	f.c.mu.Lock()
	delete(f.c.flows, f.key)
	f.c.mu.Unlock()
}

// finish closes the flow with a FIN.
func (f *clientFlow) finish() {
	f.send(flagFIN|flagACK, f.got, nil, f.next)
	f.close()
}

// request sends a request on the flow and waits for the whole answer. It returns whether the flow
// can be used again.
func (f *clientFlow) request(ctx context.Context, method string, deadline time.Duration) (again bool, err error) {
	id := f.c.zone + "-" + strconv.FormatInt(f.c.ids.Add(1), 10)
	data := []byte(fmt.Sprintf("%s /x HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", method, id))
	until := time.Now().Add(deadline)
	f.c.w.logf("client %s sends %s %s", f.key.client, method, id)
	seq := f.next
	f.next += uint32(len(data))
	f.send(flagACK, f.got, data, seq)
	timeout, sentAt, isAcked := 200*time.Millisecond, time.Now(), false
	var answer []byte
	for time.Now().Before(until) && ctx.Err() == nil {
		wait := until
		if at := sentAt.Add(timeout); !isAcked && at.Before(until) {
			wait = at
		}
		p, ok := f.await(ctx, wait)
		if !ok {
			if !isAcked && time.Since(sentAt) >= timeout {
				f.send(flagACK, f.got, data, seq)
				sentAt, timeout = time.Now(), min(2*timeout, 1600*time.Millisecond)
			}
			continue
		}
		if p.has(flagRST) {
			f.c.w.logf("client %s: %s %s fails, the flow is reset", f.key.client, method, id)
			f.close()
			if p.sum == 0 {
				return false, errReset
			}
			return false, errHost
		}
		if p.has(flagSYN) {
			if p.seq+1 == f.got {
				f.send(flagACK, f.got, nil, f.next)
			}
			continue
		}
		f.echo = p.echo
		isAcked = isAcked || int32(p.ack-f.next) >= 0
		if len(p.data) > 0 && p.seq == f.got {
			f.got += uint32(len(p.data))
			answer = append(answer, p.data...)
			f.unacked++
		} else if len(p.data) > 0 {
			f.unacked = 2
		}
		done, status, answered := parseAnswer(answer)
		if done || f.unacked >= 2 {
			f.unacked = 0
			f.send(flagACK, f.got, nil, f.next)
		}
		if !done {
			continue
		}
		if status == 200 && answered != id {
			f.c.w.breakf("MIXED: client %s sent %s and gets the answer of %s", f.key.client, id, answered)
		}
		f.c.w.logf("client %s: %s %s is answered with %d", f.key.client, method, id, status)
		if p.has(flagFIN) {
			f.finish()
			return false, nil
		}
		if status != 200 {
			return true, errHost
		}
		return true, nil
	}
	f.c.w.logf("client %s: %s %s has no answer in time", f.key.client, method, id)
	f.close()
	return false, errNoAnswer
}

func parseAnswer(data []byte) (done bool, status int, id string) {
	head, body, ok := strings.Cut(string(data), "\r\n\r\n")
	if !ok {
		return false, 0, ""
	}
	length := 0
	for _, line := range strings.Split(head, "\r\n") {
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(value)
		}
		if value, ok := strings.CutPrefix(line, "Request-Id: "); ok {
			id = value
		}
	}
	fields := strings.Fields(head)
	if len(fields) > 1 {
		status, _ = strconv.Atoi(fields[1])
	}
	return len(body) >= length, status, id
}

// class is a kind of requests.
type class struct {
	method   string
	route    netip.AddrPort
	deadline time.Duration
	// perFlow is the number of requests after which a client closes a flow.
	perFlow int
}

// meanPause is the mean pause between two requests of a user.
const meanPause = 300 * time.Millisecond

// user sends requests with pauses, one after the other, until ctx ends.
func (c *clients) user(ctx context.Context, k class) {
	var f *clientFlow
	sent := 0
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(float64(meanPause)*c.w.rng.exp()))
		if ctx.Err() != nil {
			break
		}
		var err error
		if f == nil {
			if f, err = c.open(ctx, k.route); err != nil {
				c.w.count("flows not opened, " + err.Error())
				f = nil
				continue
			}
			sent = 0
		}
		sent++
		again, err := f.request(ctx, k.method, k.deadline)
		switch {
		case err != nil && ctx.Err() == nil:
			c.w.count(k.method + " not served, " + err.Error())
		case err == nil:
			c.w.count(k.method + " served")
		}
		if again && sent >= k.perFlow {
			f.finish()
			again = false
		}
		if !again {
			f = nil
		}
	}
	if f != nil {
		f.finish()
	}
}
