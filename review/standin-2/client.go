package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router forwards packets of the clients of a zone to an entry, as the platform's routers do: by a hash over the
// entries in rotation, which it probes twice per second.
type router struct {
	d       *deployment
	zone    string
	mu      sync.Mutex
	misses  map[*machine]int
	entries []*machine
	stop    chan struct{}
}

func startRouter(d *deployment, zone string) *router {
	r := &router{d: d, zone: zone, misses: make(map[*machine]int), stop: make(chan struct{})}
	for _, m := range d.entries {
		if m.zone == zone {
			r.entries = append(r.entries, m)
			r.misses[m] = 2
		}
	}
	for _, m := range r.entries {
		go r.probe(m)
	}
	return r
}

func (r *router) probe(m *machine) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + netip.AddrPortFrom(m.ip, portReady).String() + "/redwingledge/ready")
		isReady := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		r.mu.Lock()
		before := r.misses[m] < 2
		if isReady {
			r.misses[m] = 0
		} else {
			r.misses[m]++
		}
		if now := r.misses[m] < 2; now != before {
			r.d.record.add("router of %s: %s in rotation: %t", r.zone, m.name, now)
		}
		r.mu.Unlock()
		select {
		case <-r.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (r *router) inRotation() []*machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*machine
	for _, m := range r.entries {
		if r.misses[m] < 2 {
			in = append(in, m)
		}
	}
	if 2*len(in) < len(r.entries) {
		return r.entries
	}
	return in
}

// isComplete reports whether all entries are in rotation.
func (r *router) isComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.entries {
		if r.misses[m] != 0 {
			return false
		}
	}
	return true
}

// pick returns the entry for a flow.
func (r *router) pick(src netip.AddrPort) *machine {
	in := r.inRotation()
	return in[int(src.Port())%len(in)]
}

// client is the address of a client, with a socket to which hosts and the system send packets.
type client struct {
	d      *deployment
	router *router
	ip     netip.Addr
	conn   *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*flow
}

func newClient(d *deployment, r *router, i int) (*client, error) {
	c := &client{d: d, router: r, ip: d.address(4, i), flows: make(map[uint16]*flow)}
	var err error
	if c.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, portPackets))); err != nil {
		return nil, err
	}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil && f.route == p.src {
			f.take(p)
		}
	}
}

// transmit sends a packet through the router.
func (c *client) transmit(p packet) {
	m := c.router.pick(p.src)
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(m.ip, portPackets))
}

// flow is the client's end of a flow.
type flow struct {
	c     *client
	src   netip.AddrPort
	route netip.AddrPort

	mu     sync.Mutex
	echo   uint32
	seq    uint32
	ack    uint32
	isOpen bool
	// isReset is set once an RST has ended the flow, and isFinished once the host has sent a FIN.
	isReset, isFinished bool
	answers             chan packet
	opened              chan struct{}
	reset               chan struct{}
}

// take handles a packet for the flow.
func (f *flow) take(p packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isReset {
		return
	}
	switch {
	case p.flags&flagRST != 0:
		f.isReset = true
		f.c.d.record.add("client %s: RST on a flow that is open: %t", f.src, f.isOpen)
		close(f.reset)
		return
	case p.flags&flagSYN != 0:
		// Each end returns the last echo that it received on the flow.
		f.echo = p.echo
		if f.isOpen {
			f.c.d.record.add("client %s: later answer to the opening packet, echo %d", f.src, p.echo)
			return
		}
		f.isOpen, f.ack = true, p.seq+1
		f.seq++
		f.c.d.record.add("client %s: flow opens, echo %d", f.src, p.echo)
		close(f.opened)
	case p.flags&flagFIN != 0:
		f.echo, f.isFinished = p.echo, true
		f.c.transmit(packet{echo: f.echo, seq: f.seq, ack: f.ack + 1, flags: flagACK, src: f.src, dst: f.route})
		f.c.d.record.add("client %s: FIN of the host acknowledged, flow closed", f.src)
	default:
		f.echo = p.echo
		f.ack = p.seq + uint32(len(p.data))
		select {
		case f.answers <- p:
		default:
		}
	}
	f.c.transmit(packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagACK, src: f.src, dst: f.route})
}

// open opens a flow from a port: a SYN, and copies after 200 ms and 600 ms. It gives up after 1.4 s.
func (c *client) open(port uint16, to netip.AddrPort) *flow {
	f := &flow{
		c: c, src: netip.AddrPortFrom(c.ip, port), route: to, seq: rand.Uint32(),
		answers: make(chan packet, 16), opened: make(chan struct{}), reset: make(chan struct{}),
	}
	c.mu.Lock()
	c.flows[port] = f
	c.mu.Unlock()
	began := time.Now()
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		select {
		case <-f.opened:
			return f
		case <-f.reset:
			return f
		case <-time.After(time.Until(began.Add(at))):
		}
		if copies < 3 {
			c.transmit(packet{seq: f.seq, ack: uint32(copies), flags: flagSYN, src: f.src, dst: to})
		}
	}
	return f
}

func (f *flow) isUsable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isOpen && !f.isReset && !f.isFinished
}

// request sends a request and waits for its answer. Missing packets are sent again after 200 ms.
func (f *flow) request(id string) bool {
	f.mu.Lock()
	p := packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagACK, src: f.src, dst: f.route, data: []byte(id)}
	f.seq += uint32(len(id))
	f.mu.Unlock()
	for wait := 200 * time.Millisecond; wait <= 1600*time.Millisecond; wait *= 2 {
		f.c.transmit(p)
		select {
		case a := <-f.answers:
			ok := string(a.data) == id
			f.c.d.record.add("client %s: %q answered: %t", f.src, id, ok)
			return ok
		case <-f.reset:
			return false
		case <-time.After(wait):
		}
	}
	f.c.d.record.add("client %s: %q not answered", f.src, id)
	return false
}

// closeFlow closes the flow: a FIN, the FIN of the host, and its acknowledgement.
func (f *flow) closeFlow() {
	f.mu.Lock()
	p := packet{echo: f.echo, seq: f.seq, ack: f.ack, flags: flagFIN | flagACK, src: f.src, dst: f.route}
	f.seq++
	f.mu.Unlock()
	for range 5 {
		f.c.transmit(p)
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			f.mu.Lock()
			done := f.isFinished
			f.mu.Unlock()
			if done {
				return
			}
		}
	}
}

func (f *flow) String() string { return fmt.Sprintf("%s to %s", f.src, f.route) }

// netipSource returns the source address of a flow from a port.
func netipSource(c *client, port uint16) netip.AddrPort { return netip.AddrPortFrom(c.ip, port) }
