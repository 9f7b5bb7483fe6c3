// Package loadtester measures, in virtual time, which share of the offered requests is answered in
// time while operators take a data centre out and bring it back with backend servers that start
// cold. Round robin and least connections, which do not allow for cold starts, get the same load as
// baselines.
package loadtester

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/gateway/services/scheduler"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Policy is a load-balancing policy. It decides which backend server runs a request.
type Policy string

// Policies.
const (
	PolicyRedwingledge     Policy = "redwingledge"
	PolicyRoundRobin       Policy = "round robin"
	PolicyLeastConnections Policy = "least connections"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyRedwingledge, PolicyRoundRobin, PolicyLeastConnections}
}

// balancer is the part of a policy that runs at one gateway.
type balancer interface {
	setView(view viewer.View)
	submit(r *request)
	// handleResult receives the result of a request that was started.
	handleResult(r *request, result leaseholder.Result, latency time.Duration)
	// cancel withdraws a request that was not started because its caller has gone.
	cancel(r *request)
}

// directBalancer sends each request without waiting, by round robin or least connections.
type directBalancer struct {
	sim          *simulation
	gateway      *gateway
	policy       Policy
	ready        map[string][]announcer.ID
	nextIndex    map[string]int
	openRequests map[announcer.ID]int
}

func (d *directBalancer) setView(view viewer.View) {
	d.ready = make(map[string][]announcer.ID)
	for _, r := range view.Backends {
		if view.Accepts(r) {
			d.ready[r.Service] = append(d.ready[r.Service], r.ID)
		}
	}
}

func (d *directBalancer) submit(r *request) {
	ready := d.ready[r.service]
	if len(ready) == 0 {
		d.sim.fail(r)
		return
	}
	start := d.nextIndex[r.service]
	d.nextIndex[r.service]++
	best := ready[start%len(ready)]
	if d.policy == PolicyLeastConnections {
		// Of several backend servers with the fewest open requests, the next in turn is used.
		for i := range ready {
			if id := ready[(start+i)%len(ready)]; d.openRequests[id] < d.openRequests[best] {
				best = id
			}
		}
	}
	d.openRequests[best]++
	r.slot = leaseholder.Slot{ID: best}
	d.sim.send(d.gateway, r)
}

func (d *directBalancer) handleResult(r *request, _ leaseholder.Result, _ time.Duration) {
	d.openRequests[r.slot.ID]--
}

func (d *directBalancer) cancel(*request) {}

// leaseBalancer runs the scheduler of redwingledge.
type leaseBalancer struct {
	sim     *simulation
	gateway *gateway
	machine *scheduler.Machine
	pending map[uint64]*request
}

func newLeaseBalancer(sim *simulation, g *gateway, seed uint64) *leaseBalancer {
	settings := scheduler.Settings{
		Self:  g.name,
		Slots: granter.Settings{Lease: 2 * time.Second, ViewSpread: 3 * time.Second},
		// These limits are the defaults of the gateway.
		Queues: queuer.Settings{PerClientAccount: 100, Total: 5000},
	}
	l := &leaseBalancer{sim: sim, gateway: g, machine: scheduler.New(settings, rand.New(rand.NewPCG(seed, 3))), pending: make(map[uint64]*request)}
	sim.After(time.Duration(sim.rng.Int64N(int64(scheduler.TickPeriod))), l.tick)
	return l
}

func (l *leaseBalancer) tick() {
	l.step(scheduler.Tick{})
	l.sim.After(scheduler.TickPeriod, l.tick)
}

func (l *leaseBalancer) setView(view viewer.View) { l.step(scheduler.ViewChanged{View: view}) }

func (l *leaseBalancer) submit(r *request) {
	l.pending[r.id] = r
	l.step(scheduler.RequestQueued{Service: r.service, Item: queuer.Item{
		Request: r.id, ClientAccount: r.clientAccount, Deadline: r.deadline, Arrived: l.sim.Now(),
	}})
}

func (l *leaseBalancer) handleResult(r *request, result leaseholder.Result, latency time.Duration) {
	l.step(scheduler.SlotReturned{Slot: r.slot, Result: result, Latency: latency})
}

func (l *leaseBalancer) cancel(r *request) {
	if l.pending[r.id] != nil {
		delete(l.pending, r.id)
		l.step(scheduler.RequestCancelled{Service: r.service, Request: r.id})
	}
}

func (l *leaseBalancer) step(input scheduler.Input) {
	for _, output := range l.machine.Step(l.sim.Now(), input) {
		switch out := output.(type) {
		case scheduler.Start:
			r := l.pending[out.Request]
			if r == nil {
				l.step(scheduler.SlotReturned{Slot: out.Slot, Result: leaseholder.ResultUnused})
				continue
			}
			delete(l.pending, out.Request)
			r.slot = out.Slot
			l.sim.send(l.gateway, r)
		case scheduler.Refuse:
			if r := l.pending[out.Request]; r != nil {
				delete(l.pending, out.Request)
				l.sim.fail(r)
			}
		case scheduler.SendGrantRequest:
			l.requestGrant(out)
		case scheduler.AnswerGrant:
		}
	}
}

// requestGrant sends a request for slots to their owner and returns its answer to the scheduler.
func (l *leaseBalancer) requestGrant(out scheduler.SendGrantRequest) {
	i := slices.IndexFunc(l.sim.gateways, func(g *gateway) bool { return g.name == out.To })
	to := l.sim.gateways[i]
	owner := to.balancer.(*leaseBalancer) //nolint:forcetypeassert // all gateways of a run have one policy
	l.sim.After(l.sim.delay(l.gateway.dataCentre, to.dataCentre), func() {
		for _, output := range owner.machine.Step(l.sim.Now(), scheduler.GrantRequested{Request: out.Request}) {
			answer, ok := output.(scheduler.AnswerGrant)
			if !ok {
				continue
			}
			l.sim.After(l.sim.delay(to.dataCentre, l.gateway.dataCentre), func() {
				l.step(scheduler.GrantAnswered{From: out.To, Sequence: out.Request.Sequence, Answer: answer.Answer})
			})
		}
	})
}
