package deliverer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingledge/redwingledge/bench/models/deployer"
	"github.com/redwingledge/redwingledge/bench/modules/sequencer"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

const (
	// meanWork is the mean time that a warm backend server needs for a request.
	meanWork = 100 * time.Millisecond
	// requestTimeout is the time from the arrival of a request to its deadline.
	requestTimeout = 2 * time.Second
)

type request struct {
	id            uint64
	service       string
	clientAccount string
	work          time.Duration
	deadline      time.Time
	slot          leaseholder.Slot
	gateway       *gateway
	server        *server
	sentAt        time.Time
	// run counts the starts of the request, so that the completion of an earlier start is ignored.
	run    int
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
	// arrivals generates the load. It is separate from rng, so that all policies get the same load.
	arrivals   *rand.Rand
	deployment deployer.Deployment
	gateways   []*gateway
	servers    map[announcer.ID]*server
	view       viewer.View
	out        string
	nextID     uint64
	from       time.Time
	// delivered has the complete answers within their deadline in each second.
	delivered []int
	offered   []int
	crashes   int
}

func newSimulation(d deployer.Deployment, policy Policy, seed uint64, length time.Duration) *simulation {
	w := &simulation{
		Sequencer: sequencer.New(), rng: rand.New(rand.NewPCG(seed, 2)), arrivals: rand.New(rand.NewPCG(seed, 4)), deployment: d,
		servers: make(map[announcer.ID]*server), delivered: make([]int, int(length/time.Second)+1), offered: make([]int, int(length/time.Second)+1),
	}
	for i := range deployer.Entries {
		w.view.Gateways = append(w.view.Gateways, viewer.Gateway{Name: fmt.Sprintf("gateway-%d", i), DataCentre: d.DataCentre(i)})
	}
	for _, s := range d.Services {
		w.view.Services = append(w.view.Services, s.Name)
		for i := range s.Hosts {
			r := d.Record(s.Name, i)
			w.view.Backends = append(w.view.Backends, r)
			w.servers[r.ID] = &server{w: w, dataCentre: r.DataCentre, warmSince: w.Now().Add(-warmUp)}
		}
	}
	for i, v := range w.view.Gateways {
		g := &gateway{name: v.Name, dataCentre: v.DataCentre}
		if policy == PolicyRedwingledge {
			g.balancer = newLeaseBalancer(w, g, seed+uint64(i))
		} else {
			g.balancer = &directBalancer{w: w, gateway: g, policy: policy, next: map[string]int{}, open: map[announcer.ID]int{}}
		}
		w.gateways = append(w.gateways, g)
	}
	w.broadcastView()
	return w
}

// broadcastView sends the view to every gateway with random delays below 900 ms.
func (w *simulation) broadcastView() {
	w.view.Version++
	view := w.view
	for _, g := range w.gateways {
		w.After(time.Duration(w.rng.Int64N(int64(900*time.Millisecond))), func() {
			if view.Version > g.version {
				g.version = view.Version
				g.balancer.setView(view)
			}
		})
	}
}

func (w *simulation) delay(from, to string) time.Duration {
	base := 300 * time.Microsecond
	if from != to {
		base = w.deployment.Delay
	}
	return base + time.Duration(w.rng.ExpFloat64()*float64(time.Millisecond))
}

// generateLoad sends requests to a service at a mean rate per second until the run ends.
func (w *simulation) generateLoad(service string, rate float64) {
	w.After(time.Duration(w.arrivals.ExpFloat64()*float64(time.Second)/rate), func() {
		w.arrive(service)
		w.generateLoad(service, rate)
	})
}

func (w *simulation) arrive(service string) {
	w.nextID++
	r := &request{
		id: w.nextID, service: service, clientAccount: fmt.Sprintf("member-%d", w.arrivals.IntN(20)),
		work: time.Duration(w.arrivals.ExpFloat64() * float64(meanWork)), deadline: w.Now().Add(requestTimeout),
	}
	g := w.gateways[w.arrivals.IntN(len(w.gateways))]
	// The fabric sends nothing to a data centre that is out.
	for g.dataCentre == w.out {
		g = w.gateways[w.arrivals.IntN(len(w.gateways))]
	}
	r.gateway = g
	w.count(w.offered)
	w.After(requestTimeout, func() { w.expire(r) })
	g.balancer.submit(r)
}

// expire cancels a request at its deadline.
func (w *simulation) expire(r *request) {
	if r.isDone {
		return
	}
	r.isDone = true
	r.gateway.balancer.cancel(r)
	if r.server != nil {
		r.server.cancel(r)
		r.gateway.balancer.finished(r, leaseholder.ResultUnused, 0)
	}
}

func (w *simulation) fail(r *request) { r.isDone = true }

// send carries a request to its backend server.
func (w *simulation) send(g *gateway, r *request) {
	s := w.servers[r.slot.ID]
	r.server, r.sentAt = s, w.Now()
	w.After(w.delay(g.dataCentre, s.dataCentre), func() {
		if !r.isDone {
			s.arrive(r)
		}
	})
}

// answer carries the end of a request back to its gateway.
func (w *simulation) answer(s *server, r *request, result leaseholder.Result) {
	w.After(w.delay(s.dataCentre, r.gateway.dataCentre), func() {
		if r.isDone {
			return
		}
		r.isDone = true
		r.gateway.balancer.finished(r, result, w.Now().Sub(r.sentAt))
		if result == leaseholder.ResultAnswered {
			w.count(w.delivered)
		}
	})
}

// count adds 1 to the current second of the measurement.
func (w *simulation) count(seconds []int) {
	if !w.from.IsZero() {
		seconds[min(int(w.Now().Sub(w.from)/time.Second), len(seconds)-1)]++
	}
}
