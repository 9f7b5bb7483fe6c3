package balancer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

const (
	serverSlots   = 2
	serverQueue   = 8
	callerLatency = time.Millisecond
	// linkQueue is the longest wait for the outgoing link of an entry; later packets are lost. Such a queue and
	// its losses in the outgoing direction only were measured on deployment R (docs/design/outgoing-links.md).
	linkQueue = 50 * time.Millisecond
	// maxLinkUse is the share of the rate above which a link counts as short.
	maxLinkUse = 0.8
	// calmLoad is the load before and after the burst, as a multiple of the capacity.
	calmLoad = 0.5
)

type modelEntry struct {
	*balancer.Balancer
	dataCentre string
	linkFreeAt time.Duration // when the link has carried all packets sent so far
}

type modelServer struct {
	director.Server
	running, served int
	coming          int // flows that open or have a request on its way
	queue           []*modelCall
	isOut           bool
}

// overloadRun is one run in virtual time.
type overloadRun struct {
	overloadCase
	overloadResult
	rng             *rand.Rand
	now             time.Duration
	sequence, flows int
	events          eventQueue
	entries         []*modelEntry
	servers         []*modelServer
	idle            [][]*modelFlow // open flows without a request, by route
	open            []int          // open flows, by route
}

func runOverload(c overloadCase) *overloadRun {
	r := &overloadRun{overloadCase: c, rng: rand.New(rand.NewPCG(c.seed, 3)), idle: make([][]*modelFlow, len(c.routes)), open: make([]int, len(c.routes))}
	changes := []director.Change{director.VersionChanged{Version: 1, IdleTimeout: 15 * time.Second}}
	for i, t := range c.routes {
		changes = append(changes, director.RouteChanged{Route: director.Route{
			Address: routeAddress(i), Kind: t.kind, Priority: t.priority, TargetLatency: t.target,
			Shares: []director.Share{{Service: "rollcall", Weight: 1}},
		}})
		r.arrive(i)
	}
	for i := range c.servers {
		s := &modelServer{Server: server(director.Token(i+1), "rollcall", dataCentreName(i))}
		r.servers = append(r.servers, s)
		changes = append(changes, director.ServerChanged{Server: s.Server})
	}
	for i := range c.entries {
		settings := balancer.Settings{Name: fmt.Sprintf("entry-%d", i), DataCentre: dataCentreName(i), MaxFlows: 100_000, Overload: c.overload}
		e := &modelEntry{Balancer: balancer.New(settings, rand.New(rand.NewPCG(c.seed, uint64(i)))), dataCentre: settings.DataCentre}
		// A complete view would place the backend servers in random order.
		e.Update(1, changes, false, r.time())
		r.entries = append(r.entries, e)
	}
	r.exchange(0)
	if c.takesOut {
		r.after(c.calm+c.burst/2, r.takeOut)
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(scheduledEvent)
		r.now = next.at
		next.run()
	}
	return r
}

func (r *overloadRun) time() time.Time { return start.Add(r.now) }

func (r *overloadRun) after(d time.Duration, run func()) {
	r.sequence++
	heap.Push(&r.events, scheduledEvent{at: r.now + d, sequence: r.sequence, run: run})
}

// arrive schedules the next request on a route.
func (r *overloadRun) arrive(route int) {
	_, rate := r.requestRate(route)
	if rate *= calmLoad; r.isBurst(r.now) {
		rate *= r.load / calmLoad
	}
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now < r.end() {
			r.arrive(route)
			r.begin(route)
		}
	})
}

// takeOut takes a data centre out of service, which all entries hear at once.
func (r *overloadRun) takeOut() {
	for _, s := range r.servers {
		s.isOut = s.DataCentre == "c"
	}
	for _, e := range r.entries {
		e.Update(2, []director.Change{director.DataCentreChanged{Name: "c", TakenOut: true}}, false, r.time())
	}
}

// exchange hands the sum of the reports of all entries back to them after 100 ms. The contribution of a
// reporter is capped as by the control replicas.
func (r *overloadRun) exchange(round int) {
	figures := make(map[any][]uint32)
	for i, e := range r.entries {
		e.Sweep(r.time())
		e.Update(e.Status(r.time()).Index, nil, false, r.time())
		load, factor := e.LoadReport(round%4 == 0, r.time()), uint32(1)
		if i == 0 && r.reporterLies {
			factor = 100
		}
		add := func(key any, value uint32) { figures[key] = append(figures[key], factor*value) }
		for _, g := range load.Groups {
			add(loadsharer.GroupLoad{Service: g.Service, DataCentre: g.DataCentre}, g.Requests)
		}
		for _, a := range load.Arrivals {
			add(loadsharer.ServiceArrivals{Service: a.Service}, a.PerSecond)
		}
		for _, s := range load.Servers {
			add(loadsharer.ServerLoad{Token: s.Token}, s.Flows)
		}
	}
	summary := loadsharer.Summary{Entries: uint32(len(r.entries)), HasServers: round%4 == 0, Age: 100 * time.Millisecond}
	for key, values := range figures {
		slices.Sort(values)
		sum := uint32(0)
		for _, v := range values {
			sum += min(v, max(8, 4*values[len(values)/2]))
		}
		switch figure := key.(type) {
		case loadsharer.GroupLoad:
			figure.Requests = sum
			summary.Load.Groups = append(summary.Load.Groups, figure)
		case loadsharer.ServiceArrivals:
			figure.PerSecond = sum
			summary.Load.Arrivals = append(summary.Load.Arrivals, figure)
		case loadsharer.ServerLoad:
			figure.Flows = sum
			summary.Load.Servers = append(summary.Load.Servers, figure)
		}
	}
	r.after(summary.Age, func() {
		for _, e := range r.entries {
			if r.overload != nil && !r.losesReports {
				e.SetSharedLoad(summary, r.time())
			}
		}
	})
	if r.now < r.end() {
		r.after(500*time.Millisecond, func() { r.exchange(round + 1) })
	}
}

// send sends a packet of a call to its entry, and what the entry sends for it over the link of the entry. arrive is
// called with the backend server that gets it.
func (r *overloadRun) send(c *modelCall, p balancer.Packet, size int, arrive func(*modelServer)) {
	f := c.flow
	p.Source, p.Destination, p.Acknowledged, p.Size, p.ResetSize = f.source, routeAddress(c.route), f.received, size, resetBytes
	if f.server != nil {
		p.Token = f.server.Token
	}
	sentAt, entry := r.now, r.entryOf(f)
	r.after(callerLatency, func() {
		verdict := entry.Decide(p, r.time())
		switch verdict.Action {
		case balancer.ActionForward:
			r.recordForwarded(p, f)
			s := r.servers[verdict.Server.Token-1]
			if p.IsOpening && f.server == nil && !f.isClosed {
				f.expect(s)
			}
			if verdict.Placement.IsNew && s.isOut {
				r.placedOut++
			}
			delay := callerLatency / 2
			if s.DataCentre != entry.dataCentre {
				delay += r.latency
			}
			r.carry(entry, size, delay, func() { arrive(s) })
		case balancer.ActionReset:
			r.recordReset(p, f, verdict.Reason, sentAt)
			r.carry(entry, resetBytes, callerLatency, func() {
				r.recordArrivedReset(f)
				r.fail(c, f)
			})
		case balancer.ActionDrop:
			if verdict.IsWithheld {
				r.withheld++
			}
		}
	})
}

// carry carries a packet over the link of an entry and to its destination, unless the link is full.
func (r *overloadRun) carry(e *modelEntry, size int, delay time.Duration, arrive func()) {
	r.packets++
	if r.isCutOff(e, -cutOffNotice) {
		r.lost++
		return
	}
	begin := max(r.now, e.linkFreeAt)
	if begin-r.now > linkQueue {
		r.lost++
		return
	}
	e.linkFreeAt = begin + time.Duration(float64(size)/r.linkRate*float64(time.Second))
	r.after(e.linkFreeAt-r.now+delay, arrive)
}
