package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/leaser"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// simulation runs gateways and stand-in backend servers in virtual time.
type simulation struct {
	rng    *rand.Rand
	now    time.Time
	start  time.Time
	events eventQueue
	order  uint64

	gateways []*gateway
	hosts    map[announcer.ID]*host
	view     viewer.View
	cuts     map[[2]string]time.Time
	requests map[uint64]*request
	policy   policy
	result   result

	// ignoreLease is a wrong decision that the checker must find.
	ignoreLease bool
	// dispatchDelay is the time between the choice of a slot and the dispatch.
	dispatchDelay time.Duration
	violation     error
}

// gateway is a machine or a baseline.
type gateway struct {
	name, dataCentre string
	generation       int
	frozenUntil      time.Time
	machine          scheduling
}

// scheduling is implemented by Machine and by the baselines.
type scheduling interface {
	Step(now time.Time, input Input) []Output
}

type policy func(s *simulation, name string) scheduling

// host is a stand-in backend server. Beyond its slots it sheds at once. While it
// is cold, it has one slot and takes three times as long.
type host struct {
	record    announcer.Record
	slots     int
	coldUntil time.Time
	running   int
	peak      int
	runs      map[*run]bool
}

// run is a request that a host runs.
type run struct {
	gateway *gateway
}

type request struct {
	member   string
	arrived  time.Time
	deadline time.Time
	tries    int
}

// result counts what became of the requests that arrived while it counts.
type result struct {
	from, to                             time.Time
	offered, good, failed, refused, shed int
	retries                              int
	latencies                            map[string][]time.Duration
	tokens                               float64
}

type event struct {
	at         time.Time
	order      uint64
	gateway    *gateway
	generation int
	run        func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	simService  = 50 * time.Millisecond // mean, exponential
	simDeadline = time.Second
	simLease    = 2 * time.Second
	simSpread   = 3 * time.Second
)

// newSimulation makes 8 gateways and the hosts in 4 data centres.
func newSimulation(seed uint64, hosts int, p policy) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), start: time.Unix(1000, 0), policy: p, dispatchDelay: 50 * time.Microsecond,
		hosts: make(map[announcer.ID]*host), cuts: make(map[[2]string]time.Time), requests: make(map[uint64]*request),
		result: result{latencies: make(map[string][]time.Duration)},
	}
	s.view.Services = []string{"orders"}
	for i := range 8 {
		g := &gateway{name: fmt.Sprintf("g%d", i), dataCentre: fmt.Sprintf("dc%d", i%4)}
		s.gateways = append(s.gateways, g)
		s.view.Gateways = append(s.view.Gateways, viewer.Gateway{Name: g.name, DataCentre: g.dataCentre})
	}
	for i := range hosts {
		r := announcer.Record{Announcement: announcer.Announcement{
			ID: announcer.ID{Service: "orders", Host: fmt.Sprintf("h%02d", i)}, DataCentre: fmt.Sprintf("dc%d", i%4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
			Slots:   2, Incarnation: 1, State: announcer.StateReady,
		}}
		s.hosts[r.ID] = &host{record: r, slots: 2, runs: make(map[*run]bool)}
		s.view.Backends = append(s.view.Backends, r)
	}
	return s
}

// run starts the gateways and the load and runs for the duration.
func (s *simulation) run(duration time.Duration) {
	for _, g := range s.gateways {
		s.startGateway(g)
	}
	s.runUntil(s.start.Add(duration))
}

func (s *simulation) startGateway(g *gateway) {
	g.generation++
	g.frozenUntil = time.Time{}
	g.machine = s.policy(s, g.name)
	s.step(g, ViewChanged{View: s.view})
	s.tick(g)
}

func (s *simulation) tick(g *gateway) {
	s.at(TickPeriod, g, func() {
		s.step(g, Tick{})
		s.tick(g)
	})
}

func newMachine(s *simulation, name string) scheduling {
	return New(Settings{
		Self: name, Slots: granter.Settings{Lease: simLease, Spread: simSpread}, Queues: queuer.Settings{PerMember: 100, Total: 1000},
	}, rand.New(rand.NewPCG(s.rng.Uint64(), 4)))
}

// at runs a function at a process after a delay: later if the process is
// frozen, and not at all if it was restarted. No process means the network.
func (s *simulation) at(delay time.Duration, g *gateway, run func()) {
	s.order++
	e := &event{at: s.now.Add(delay), order: s.order, gateway: g, run: run}
	if g != nil {
		e.generation = g.generation
	}
	heap.Push(&s.events, e)
}

func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		if g := e.gateway; g != nil {
			if g.generation != e.generation {
				continue
			}
			if s.now.Before(g.frozenUntil) {
				e.at = g.frozenUntil
				heap.Push(&s.events, e)
				continue
			}
		}
		e.run()
	}
	s.now = end
}

// delay is one way between two data centres.
func (s *simulation) delay(a, b string) time.Duration {
	jitter := time.Duration(s.rng.IntN(200)) * time.Microsecond
	if a == b {
		return 200*time.Microsecond + jitter
	}
	return 4*time.Millisecond + jitter
}

func (s *simulation) step(g *gateway, input Input) {
	for _, output := range g.machine.Step(s.now, input) {
		s.perform(g, output)
	}
}

func (s *simulation) perform(g *gateway, output Output) {
	switch out := output.(type) {
	case Start:
		// The dispatcher checks the lease right before it sends.
		s.at(s.dispatchDelay, g, func() { s.dispatch(g, out) })
	case Refuse:
		if r := s.requests[out.Request]; r != nil {
			delete(s.requests, out.Request)
			if s.counts(r) {
				s.result.refused++
			}
		}
	case SendGrantRequest:
		s.sendGrant(g, out)
	case AnswerGrant:
	}
}

func (s *simulation) sendGrant(g *gateway, out SendGrantRequest) {
	i := slices.IndexFunc(s.gateways, func(x *gateway) bool { return x.name == out.To })
	owner := s.gateways[i]
	if s.isCut(g, owner) {
		return
	}
	s.at(s.delay(g.dataCentre, owner.dataCentre), owner, func() {
		for _, reply := range owner.machine.Step(s.now, GrantAsked{Request: out.Request}) {
			answer := reply.(AnswerGrant).Answer
			if s.isCut(g, owner) {
				return
			}
			s.at(s.delay(g.dataCentre, owner.dataCentre), g, func() {
				s.step(g, GrantAnswered{From: owner.name, Sequence: out.Request.Sequence, Answer: answer})
			})
		}
	})
}

func (s *simulation) isCut(a, b *gateway) bool {
	return s.now.Before(s.cuts[[2]string{a.name, b.name}]) || s.now.Before(s.cuts[[2]string{b.name, a.name}])
}

func (s *simulation) dispatch(g *gateway, out Start) {
	if !s.ignoreLease && !s.now.Before(out.Slot.Until) {
		s.step(g, SlotReturned{Slot: out.Slot, Result: leaser.ResultUnused})
		s.queue(g, out.Request, true)
		return
	}
	h := s.hosts[out.Slot.ID]
	sent, generation := s.now, g.generation
	s.at(s.delay(g.dataCentre, h.record.DataCentre), nil, func() {
		if generation == g.generation {
			s.serve(g, h, out, sent)
		}
	})
}

func (s *simulation) serve(g *gateway, h *host, out Start, sent time.Time) {
	isCold := s.now.Before(h.coldUntil)
	slots, factor := h.slots, 1.0
	if isCold {
		slots, factor = 1, 3
	}
	h.running++
	h.peak = max(h.peak, h.running)
	if h.running > h.slots && s.violation == nil {
		s.violation = fmt.Errorf("%d requests at %s with %d slots at %v", h.running, h.record.ID, h.slots, s.now.Sub(s.start))
	}
	if h.running > slots {
		h.running--
		s.reply(g, h, func() { s.shed(g, out) })
		return
	}
	work := time.Duration(s.rng.ExpFloat64() * factor * float64(simService))
	r := &run{gateway: g}
	h.runs[r] = true
	s.at(work, nil, func() {
		if h.runs[r] {
			delete(h.runs, r)
			h.running--
			s.reply(g, h, func() { s.complete(g, out, sent) })
		}
	})
}

// cancel ends the requests of a killed process.
func (h *host) cancel(g *gateway) {
	for r := range h.runs {
		if r.gateway == g {
			delete(h.runs, r)
			h.running--
		}
	}
}

func (s *simulation) reply(g *gateway, h *host, run func()) {
	s.at(s.delay(g.dataCentre, h.record.DataCentre), g, run)
}

func (s *simulation) complete(g *gateway, out Start, sent time.Time) {
	if r := s.requests[out.Request]; r != nil {
		delete(s.requests, out.Request)
		if s.counts(r) {
			latency := s.now.Sub(r.arrived)
			if s.now.Before(r.deadline) {
				s.result.good++
				s.result.latencies[r.member] = append(s.result.latencies[r.member], latency)
			} else {
				s.result.failed++
			}
		}
	}
	s.step(g, SlotReturned{Slot: out.Slot, Result: leaser.ResultAnswered, Latency: s.now.Sub(sent)})
}

// shed tries the request again if the budget of 10% allows it.
func (s *simulation) shed(g *gateway, out Start) {
	s.step(g, SlotReturned{Slot: out.Slot, Result: leaser.ResultShed})
	r := s.requests[out.Request]
	if r == nil {
		return
	}
	if s.counts(r) {
		s.result.shed++
	}
	if r.tries < 3 && s.result.tokens >= 1 {
		s.result.tokens--
		r.tries++
		if s.counts(r) {
			s.result.retries++
		}
		s.at(time.Duration(s.rng.IntN(40))*time.Millisecond, g, func() { s.queue(g, out.Request, true) })
		return
	}
	delete(s.requests, out.Request)
	if s.counts(r) {
		s.result.failed++
	}
}

func (s *simulation) queue(g *gateway, id uint64, retry bool) {
	r := s.requests[id]
	if r == nil {
		return
	}
	s.step(g, RequestQueued{Service: "orders", Retry: retry, Item: queuer.Item{Request: id, Member: r.member, Deadline: r.deadline, Arrived: r.arrived}})
}

func (s *simulation) counts(r *request) bool {
	return !r.arrived.Before(s.result.from) && r.arrived.Before(s.result.to)
}

// load makes the member send requests at random times through all gateways.
func (s *simulation) load(member string, perSecond float64, duration time.Duration) {
	var next func()
	id := uint64(len(s.result.latencies)+1) << 32
	s.result.latencies[member] = nil
	next = func() {
		if s.now.Sub(s.start) > duration {
			return
		}
		id++
		r := &request{member: member, arrived: s.now, deadline: s.now.Add(simDeadline), tries: 1}
		s.requests[id] = r
		s.result.tokens = min(10, s.result.tokens+0.1)
		if s.counts(r) {
			s.result.offered++
		}
		request, g := id, s.gateways[s.rng.IntN(len(s.gateways))]
		s.at(0, g, func() { s.queue(g, request, false) })
		s.at(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/perSecond), nil, next)
	}
	s.at(0, nil, next)
}

// makeCold restarts a host without notice.
func (s *simulation) makeCold(id announcer.ID, at, duration time.Duration) {
	s.at(at, nil, func() { s.hosts[id].coldUntil = s.now.Add(duration) })
}

func (s *simulation) peak() int {
	peak := 0
	for _, h := range s.hosts {
		peak = max(peak, h.peak)
	}
	return peak
}

func (r *result) percentile(member string, p float64) time.Duration {
	var all []time.Duration
	for name, latencies := range r.latencies {
		if member == "" || name == member {
			all = append(all, latencies...)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(p*float64(len(all))))]
}
