package loadtester

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/bench/modules/sequencer"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

const (
	// meanWorkTime is the mean time that a warm backend server needs for a request.
	meanWorkTime = 100 * time.Millisecond
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = 2 * time.Second
)

type request struct {
	id            uint64
	service       string
	clientAccount string
	workTime      time.Duration
	deadline      time.Time
	slot          leaseholder.Slot
	gateway       *gateway
	server        *server
	sentAt        time.Time
	// starts counts how often the request was started, so that the end of an earlier start is
	// ignored.
	starts int
	isDone bool
}

type gateway struct {
	name, dataCentre string
	balancer         balancer
	version          uint64
}

// simulation connects gateways and backend servers by messages with delay.
type simulation struct {
	*sequencer.Sequencer
	rng *rand.Rand
	// loadRNG generates the load. It is separate from rng, so that all policies get the same load.
	loadRNG      *rand.Rand
	deployment   specifier.Deployment
	gateways     []*gateway
	servers      map[announcer.ID]*server
	view         viewer.View
	takenOut     string
	nextID       uint64
	measuredFrom time.Time
	// delivered has the complete answers within their deadline in each second.
	delivered []int
	offered   []int
	crashes   int
}

func newSimulation(d specifier.Deployment, policy Policy, seed uint64, length time.Duration) *simulation {
	sim := &simulation{
		Sequencer: sequencer.New(), rng: rand.New(rand.NewPCG(seed, 2)), loadRNG: rand.New(rand.NewPCG(seed, 4)), deployment: d,
		servers: make(map[announcer.ID]*server), delivered: make([]int, int(length/time.Second)+1), offered: make([]int, int(length/time.Second)+1),
	}
	for i := range specifier.Entries {
		sim.view.Gateways = append(sim.view.Gateways, viewer.Gateway{Name: fmt.Sprintf("gateway-%d", i), DataCentre: d.DataCentre(i)})
	}
	for _, s := range d.Services {
		sim.view.Services = append(sim.view.Services, s.Name)
		for i := range s.Hosts {
			r := d.Record(s.Name, i)
			sim.view.Backends = append(sim.view.Backends, r)
			sim.servers[r.ID] = &server{sim: sim, dataCentre: r.DataCentre, warmSince: sim.Now().Add(-warmUpTime)}
		}
	}
	for i, v := range sim.view.Gateways {
		g := &gateway{name: v.Name, dataCentre: v.DataCentre}
		if policy == PolicyRedwingledge {
			g.balancer = newLeaseBalancer(sim, g, seed+uint64(i))
		} else {
			g.balancer = &directBalancer{sim: sim, gateway: g, policy: policy, nextIndex: map[string]int{}, openRequests: map[announcer.ID]int{}}
		}
		sim.gateways = append(sim.gateways, g)
	}
	sim.broadcastView()
	return sim
}

// broadcastView sends the view to every gateway with random delays below 900 ms.
func (sim *simulation) broadcastView() {
	sim.view.Version++
	view := sim.view
	for _, g := range sim.gateways {
		sim.After(time.Duration(sim.rng.Int64N(int64(900*time.Millisecond))), func() {
			if view.Version > g.version {
				g.version = view.Version
				g.balancer.setView(view)
			}
		})
	}
}

func (sim *simulation) delay(from, to string) time.Duration {
	base := 300 * time.Microsecond
	if from != to {
		base = sim.deployment.Delay
	}
	return base + time.Duration(sim.rng.ExpFloat64()*float64(time.Millisecond))
}

// generateLoad sends requests for a service at a mean rate per second, with exponentially
// distributed intervals, until the run ends.
func (sim *simulation) generateLoad(service string, rate float64) {
	sim.After(time.Duration(sim.loadRNG.ExpFloat64()*float64(time.Second)/rate), func() {
		sim.createRequest(service)
		sim.generateLoad(service, rate)
	})
}

func (sim *simulation) createRequest(service string) {
	sim.nextID++
	r := &request{
		id: sim.nextID, service: service, clientAccount: fmt.Sprintf("member-%d", sim.loadRNG.IntN(20)),
		workTime: time.Duration(sim.loadRNG.ExpFloat64() * float64(meanWorkTime)), deadline: sim.Now().Add(requestTimeout),
	}
	g := sim.gateways[sim.loadRNG.IntN(len(sim.gateways))]
	// The fabric sends no requests to a data centre that is out.
	for g.dataCentre == sim.takenOut {
		g = sim.gateways[sim.loadRNG.IntN(len(sim.gateways))]
	}
	r.gateway = g
	sim.countSecond(sim.offered)
	sim.After(requestTimeout, func() { sim.expire(r) })
	g.balancer.submit(r)
}

// expire cancels a request at its deadline.
func (sim *simulation) expire(r *request) {
	if r.isDone {
		return
	}
	r.isDone = true
	r.gateway.balancer.cancel(r)
	if r.server != nil {
		r.server.cancel(r)
		r.gateway.balancer.handleResult(r, leaseholder.ResultUnused, 0)
	}
}

func (sim *simulation) fail(r *request) { r.isDone = true }

// send delivers a request to the backend server of its slot after the network delay.
func (sim *simulation) send(g *gateway, r *request) {
	s := sim.servers[r.slot.ID]
	r.server, r.sentAt = s, sim.Now()
	sim.After(sim.delay(g.dataCentre, s.dataCentre), func() {
		if !r.isDone {
			s.receiveRequest(r)
		}
	})
}

// answer delivers the result of a request to its gateway after the network delay.
func (sim *simulation) answer(s *server, r *request, result leaseholder.Result) {
	sim.After(sim.delay(s.dataCentre, r.gateway.dataCentre), func() {
		if r.isDone {
			return
		}
		r.isDone = true
		r.gateway.balancer.handleResult(r, result, sim.Now().Sub(r.sentAt))
		if result == leaseholder.ResultAnswered {
			sim.countSecond(sim.delivered)
		}
	})
}

// countSecond adds 1 to the current second of the measurement. Nothing is counted before it starts.
func (sim *simulation) countSecond(seconds []int) {
	if !sim.measuredFrom.IsZero() {
		seconds[min(int(sim.Now().Sub(sim.measuredFrom)/time.Second), len(seconds)-1)]++
	}
}
