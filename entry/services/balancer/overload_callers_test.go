package balancer_test

import (
	"math"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
)

const (
	// headerBytes is the size on the link of a forwarded packet without data: 42 bytes with its prefix, and 66 of
	// IPv4, UDP and Ethernet. resetBytes is that of a reset.
	headerBytes = 108
	resetBytes  = 100
	minResend   = 200 * time.Millisecond
	maxResend   = 1600 * time.Millisecond
	maxAttempts = 3
)

// copyTimes are when a caller sends its opening packet and the copies, and when it gives up.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// modelCall is a request of a caller with its latest flow.
type modelCall struct {
	flow                      *modelFlow
	route, attempts           int
	createdAt, deadline, work time.Duration
	isReceived, isDone        bool
}

type modelFlow struct {
	source             netip.AddrPort
	entry              *modelEntry
	server, comingTo   *modelServer // server is nil until the flow is open
	sequence, received uint32
	isClosed           bool
	// isForwarded is set once an entry has forwarded an opening packet, and isReset once a reset has arrived.
	isForwarded, isReset bool
}

// repeat sends a packet until it is no longer needed, and four times at most.
func (r *overloadRun) repeat(c *modelCall, p balancer.Packet, size int, wait time.Duration, isOver func() bool, arrive func()) {
	if wait <= maxResend && !isOver() {
		r.send(c, p, size, func(*modelServer) {
			if !isOver() {
				arrive()
			}
		})
		r.after(wait, func() { r.repeat(c, p, size, 2*wait, isOver, arrive) })
	}
}

// begin begins a request, on an idle flow if there is one.
func (r *overloadRun) begin(route int) {
	t := r.routes[route]
	work := float64(t.work) * math.Exp(r.spread*r.rng.NormFloat64()-r.spread*r.spread/2)
	if r.rng.Float64() < r.slowShare {
		work *= 7
	}
	c := &modelCall{route: route, createdAt: r.now, deadline: r.now + t.timeout, work: time.Duration(work)}
	r.recordOffered(c)
	// Flows that stay open begin one after the other, so that entries hear of earlier ones.
	wanted := float64(r.callers) * min(r.now.Seconds()/r.calm.Seconds(), 1)
	if idle := r.idle[route]; len(idle) > 0 && float64(r.open[route]) >= wanted {
		c.flow, r.idle[route] = idle[0], idle[1:]
		r.request(c)
		return
	}
	r.attempt(c)
}

// attempt opens a new flow for a request. The hash of its port chooses the entry.
func (r *overloadRun) attempt(c *modelCall) {
	c.attempts++
	r.flows++
	hash := uint64(r.flows) * 0x9e3779b97f4a7c15 >> 32
	c.flow = &modelFlow{
		source: addressPort(100<<24|r.flows>>8, 1024+uint16(r.flows&0xff)), received: r.rng.Uint32(),
		entry: r.entries[hash%uint64(len(r.entries))],
	}
	r.sendOpening(c, c.flow, 0)
}

// sendOpening sends the opening packet or one of its copies. The caller ignores the answer of a second backend
// server.
func (r *overloadRun) sendOpening(c *modelCall, f *modelFlow, copies int) {
	switch {
	case f.isClosed || f.server != nil:
		return
	case copies == len(copyTimes)-1 || r.now >= c.deadline:
		r.fail(c, f)
		return
	}
	r.send(c, balancer.Packet{IsOpening: true, Retransmissions: uint32(copies)}, headerBytes, func(s *modelServer) {
		r.after(callerLatency, func() {
			if !f.isClosed && f.server == nil {
				f.server = s
				r.open[c.route]++
				r.send(c, balancer.Packet{}, headerBytes, func(*modelServer) {})
				r.request(c)
			}
		})
	})
	wait := min(copyTimes[copies+1]-copyTimes[copies], c.deadline-r.now)
	r.after(wait, func() { r.sendOpening(c, f, copies+1) })
}

// fail ends an attempt and begins the next one at once, which is the hardest case. Only attempts end here
// whose request has not run: the flow did not open, or the backend server refused the request.
func (r *overloadRun) fail(c *modelCall, f *modelFlow) {
	if f.isClosed {
		return
	}
	r.close(c, f)
	if c.attempts < maxAttempts && r.now < c.deadline {
		r.attempt(c)
		return
	}
	r.recordOutcome(c, false)
}

// request sends a request on the open flow of a call until the backend server has it.
func (r *overloadRun) request(c *modelCall) {
	f, size := c.flow, r.routes[c.route].request
	f.sequence += uint32(size)
	f.expect(f.server)
	isOver := func() bool { return f.isClosed || c.flow != f || c.isReceived }
	r.repeat(c, balancer.Packet{HasData: true, Sequence: f.sequence}, headerBytes+size, minResend, isOver, func() {
		c.isReceived = true
		f.expect(nil)
		if s := f.server; s.running < serverSlots || len(s.queue) < serverQueue {
			s.queue = append(s.queue, c)
			r.run(s)
			return
		}
		r.sheds++
		r.respond(c, false)
	})
	r.after(c.deadline-r.now, func() {
		if c.flow == f && !f.isClosed && !c.isDone {
			r.close(c, f)
			r.recordOutcome(c, false)
		}
	})
}

// run runs the next request of a backend server if a slot is free, also if its caller has gone meanwhile.
func (r *overloadRun) run(s *modelServer) {
	if s.running == serverSlots || len(s.queue) == 0 {
		return
	}
	c := s.queue[0]
	s.queue = s.queue[1:]
	s.running++
	r.after(c.work, func() {
		s.running--
		if r.isBurst(r.now) {
			s.served++
		}
		r.respond(c, true)
		r.run(s)
	})
}

// respond sends a response, or the refusal of a request, directly to the caller, which acknowledges every
// second packet. The last packet is repeated until its acknowledgement arrives.
func (r *overloadRun) respond(c *modelCall, isRun bool) {
	f := c.flow
	r.after(callerLatency, func() {
		if f.isClosed {
			return
		}
		for n := r.routes[c.route].response; isRun && n > 2400; n -= 2400 {
			f.received += 2400
			r.send(c, balancer.Packet{}, headerBytes, func(*modelServer) {})
		}
		f.received += 1200
		isOver := false
		r.repeat(c, balancer.Packet{}, headerBytes, minResend, func() bool { return isOver || f.isClosed }, func() { isOver = true })
		switch {
		case !isRun:
			c.isReceived = false
			r.fail(c, f)
		case r.routes[c.route].isLong:
			r.recordOutcome(c, true)
			r.idle[c.route] = append(r.idle[c.route], f)
		default:
			r.recordOutcome(c, true)
			r.close(c, f)
		}
	})
}

// close ends a flow; if it was open, by a last packet.
func (r *overloadRun) close(c *modelCall, f *modelFlow) {
	f.isClosed = true
	f.expect(nil)
	if f.server != nil {
		r.open[c.route]--
		isOver := false
		r.repeat(c, balancer.Packet{IsFinal: true}, headerBytes, minResend, func() bool { return isOver }, func() { isOver = true })
	}
}

// expect counts a flow as coming to a backend server, or to none.
func (f *modelFlow) expect(s *modelServer) {
	if f.comingTo != nil {
		f.comingTo.coming--
	}
	if f.comingTo = s; s != nil {
		s.coming++
	}
}
