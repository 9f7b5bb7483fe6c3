package deliverer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/bench/models/deployer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

const (
	// utilisation is the offered load over the capacity of all backend servers. The
	// data centres that stay have to carry 91% of their capacity.
	utilisation = 0.65
	// settlingTime passes before the measurement starts, so that gateways hold their first leases.
	settlingTime = 15 * time.Second
)

// Plan has the times of a run, from the start of the measurement.
type Plan struct {
	// LeavesAt and ReturnsAt are when the data centre leaves and returns.
	LeavesAt, ReturnsAt time.Duration
	// Length is the time that is measured.
	Length time.Duration
}

// DefaultPlan returns a plan in which the data centre is out for 40 s and has 60 s
// to warm up.
func DefaultPlan() Plan {
	return Plan{LeavesAt: 20 * time.Second, ReturnsAt: 60 * time.Second, Length: 120 * time.Second}
}

// Result has the counts of one run.
type Result struct {
	Policy Policy
	// Offered has the requests and Delivered the complete answers within their
	// deadline, for each second.
	Offered, Delivered []int
	// Crashes counts backend servers that failed under full load while cold.
	Crashes int
}

// Run takes the first data centre out and brings it back. Equal seeds give equal
// results.
func Run(d deployer.Deployment, plan Plan, policy Policy, seed uint64) Result {
	w := newSimulation(d, policy, seed, plan.Length)
	for _, s := range d.Services {
		capacity := float64(s.Hosts*deployer.Slots) / meanWork.Seconds()
		w.generateLoad(s.Name, utilisation*capacity)
	}
	w.Run(settlingTime)
	w.from = w.Now()
	w.After(plan.LeavesAt, func() { w.takeOut(d.DataCentres[0]) })
	w.After(plan.ReturnsAt, func() { w.bringBack(d.DataCentres[0]) })
	w.Run(plan.Length)
	seconds := int(plan.Length / time.Second)
	return Result{Policy: policy, Offered: w.offered[:seconds], Delivered: w.delivered[:seconds], Crashes: w.crashes}
}

func (w *simulation) takeOut(dataCentre string) {
	w.out = dataCentre
	w.view.TakenOut = []string{dataCentre}
	w.broadcastView()
}

// bringBack returns a data centre whose backend servers have just restarted.
func (w *simulation) bringBack(dataCentre string) {
	w.out = ""
	w.view.TakenOut = nil
	w.view.Backends = slices.Clone(w.view.Backends)
	for i, r := range w.view.Backends {
		if r.DataCentre == dataCentre {
			w.view.Backends[i].Incarnation++
			w.servers[r.ID].warmSince = w.Now()
		}
	}
	w.broadcastView()
	for step := range uint8(announcer.RampSteps + 1) {
		w.After(time.Duration(step)*5*time.Second, func() { w.setRamp(dataCentre, step) })
	}
}

func (w *simulation) setRamp(dataCentre string, step uint8) {
	w.view.Backends = slices.Clone(w.view.Backends)
	for i, r := range w.view.Backends {
		if r.DataCentre == dataCentre {
			w.view.Backends[i].RampStep = step
		}
	}
	w.broadcastView()
}
