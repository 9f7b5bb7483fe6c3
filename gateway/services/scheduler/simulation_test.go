package scheduler

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// simulation runs gateways and simulated backend servers in virtual time.
type simulation struct {
	rng          *rand.Rand
	now          time.Time
	start        time.Time
	events       eventQueue
	lastSequence uint64

	gateways   []*gateway
	servers    map[announcer.ID]*simServer
	view       viewer.View
	partitions map[[2]string]time.Time
	requests   map[uint64]*request
	policy     policy
	result     result

	// ignoreLease injects a fault that the checker must find: requests are dispatched on
	// expired leases.
	ignoreLease bool
	// dispatchDelay is the time between the choice of a slot and the dispatch.
	dispatchDelay time.Duration
	violation     error
	// deadline is the time that callers allow for a request.
	deadline time.Duration
	// arrivals is the random source of the load. It is separate in runs that are compared request
	// by request.
	arrivals *rand.Rand
	// hedging is set in simulations with second attempts.
	hedging *hedging
}

// gateway is a simulated gateway process, which runs a Machine or a baseline.
type gateway struct {
	name, dataCentre string
	generation       int
	frozenUntil      time.Time
	machine          stepper
}

// stepper is implemented by Machine and by the baselines.
type stepper interface {
	Step(now time.Time, input Input) []Output
}

type policy func(s *simulation, name string) stepper

type request struct {
	clientAccount string
	arrived       time.Time
	deadline      time.Time
	attempts      int
}

// result counts the requests that arrive between from and to. The requests that complete
// between from and to and before their deadline count as completedInTime.
type result struct {
	from, to                                        time.Time
	offered, completedInTime, failed, refused, shed int
	retries                                         int
	latencies                                       map[string][]time.Duration
	retryTokens                                     float64
}

const (
	simServiceTime = 50 * time.Millisecond // mean, exponential
	simDeadline    = time.Second
	simLease       = 2 * time.Second
	simSpread      = 3 * time.Second
)

// newSimulation returns a simulation of 8 gateways and the given number of backend servers in 4
// data centres.
func newSimulation(seed uint64, servers int, p policy) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), start: time.Unix(1000, 0), policy: p, dispatchDelay: 50 * time.Microsecond, deadline: simDeadline,
		servers: make(map[announcer.ID]*simServer), partitions: make(map[[2]string]time.Time), requests: make(map[uint64]*request),
		result: result{latencies: make(map[string][]time.Duration)},
	}
	s.arrivals = s.rng
	s.view.Services = []string{"orders"}
	for i := range 8 {
		g := &gateway{name: fmt.Sprintf("g%d", i), dataCentre: fmt.Sprintf("dc%d", i%4)}
		s.gateways = append(s.gateways, g)
		s.view.Gateways = append(s.view.Gateways, viewer.Gateway{Name: g.name, DataCentre: g.dataCentre})
	}
	for i := range servers {
		r := announcer.Record{Announcement: announcer.Announcement{
			ID: announcer.ID{Service: "orders", Host: fmt.Sprintf("h%02d", i)}, DataCentre: fmt.Sprintf("dc%d", i%4),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
			Slots:   2, Incarnation: 1, State: announcer.StateReady,
		}}
		s.servers[r.ID] = &simServer{record: r, slots: 2, executions: make(map[*execution]bool)}
		s.view.Backends = append(s.view.Backends, r)
	}
	return s
}

// run starts the gateways and runs the simulation for the duration.
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
	s.schedule(TickPeriod, g, func() {
		s.step(g, Tick{})
		s.tick(g)
	})
}

func newMachine(s *simulation, name string) stepper {
	return New(Settings{
		Self: name, Slots: granter.Settings{Lease: simLease, ViewSpread: simSpread}, Queues: queuer.Settings{PerClientAccount: 100, Total: 1000},
	}, rand.New(rand.NewPCG(s.rng.Uint64(), 4)))
}

// delay returns a random one-way delay between two data centres.
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
		s.schedule(s.dispatchDelay, g, func() { s.dispatch(g, out) })
	case Refuse:
		if r := s.requests[out.Request]; r != nil {
			delete(s.requests, out.Request)
			if s.isMeasured(r) {
				s.result.refused++
			}
		}
	case SendGrantRequest:
		s.sendGrantRequest(g, out)
	case Withhold:
		s.hedging.hedgers[g].Refund()
	case AnswerGrant:
	}
}

func (s *simulation) sendGrantRequest(g *gateway, out SendGrantRequest) {
	i := slices.IndexFunc(s.gateways, func(x *gateway) bool { return x.name == out.To })
	owner := s.gateways[i]
	if s.isPartitioned(g, owner) {
		return
	}
	s.schedule(s.delay(g.dataCentre, owner.dataCentre), owner, func() {
		for _, reply := range owner.machine.Step(s.now, GrantRequested{Request: out.Request}) {
			answer := reply.(AnswerGrant).Answer
			if s.isPartitioned(g, owner) {
				return
			}
			s.schedule(s.delay(g.dataCentre, owner.dataCentre), g, func() {
				s.step(g, GrantAnswered{From: owner.name, Sequence: out.Request.Sequence, Answer: answer})
			})
		}
	})
}

func (s *simulation) isPartitioned(a, b *gateway) bool {
	return s.now.Before(s.partitions[[2]string{a.name, b.name}]) || s.now.Before(s.partitions[[2]string{b.name, a.name}])
}

func (s *simulation) enqueue(g *gateway, id uint64, retry bool) {
	r := s.requests[id]
	if r == nil {
		return
	}
	s.step(g, RequestQueued{Service: "orders", Retry: retry, Item: queuer.Item{Request: id, ClientAccount: r.clientAccount, Deadline: r.deadline, Arrived: r.arrived}})
}

func (s *simulation) isMeasured(r *request) bool {
	return !r.arrived.Before(s.result.from) && r.arrived.Before(s.result.to)
}

// addLoad makes the client account send requests at random times through all gateways.
func (s *simulation) addLoad(clientAccount string, perSecond float64, duration time.Duration) {
	var next func()
	id := uint64(len(s.result.latencies)+1) << 32
	s.result.latencies[clientAccount] = nil
	next = func() {
		if s.now.Sub(s.start) > duration {
			return
		}
		id++
		r := &request{clientAccount: clientAccount, arrived: s.now, deadline: s.now.Add(s.deadline), attempts: 1}
		s.requests[id] = r
		s.result.retryTokens = min(10, s.result.retryTokens+0.1)
		if s.isMeasured(r) {
			s.result.offered++
		}
		request, g := id, s.gateways[s.arrivals.IntN(len(s.gateways))]
		s.schedule(0, g, func() { s.enqueue(g, request, false) })
		s.schedule(time.Duration(s.arrivals.ExpFloat64()*float64(time.Second)/perSecond), nil, next)
	}
	s.schedule(0, nil, next)
}

// makeCold restarts a backend server without an announcement.
func (s *simulation) makeCold(id announcer.ID, at, duration time.Duration) {
	s.schedule(at, nil, func() { s.servers[id].coldUntil = s.now.Add(duration) })
}

func (s *simulation) peak() int {
	peak := 0
	for _, srv := range s.servers {
		peak = max(peak, srv.peak)
	}
	return peak
}

func (r *result) percentile(clientAccount string, p float64) time.Duration {
	var all []time.Duration
	for name, latencies := range r.latencies {
		if clientAccount == "" || name == clientAccount {
			all = append(all, latencies...)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(p*float64(len(all))))]
}
