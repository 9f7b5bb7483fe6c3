package loadtester

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

const (
	// utilisation is the offered load divided by the capacity of all backend servers. While a data
	// centre is out, the others have to carry 91% of their capacity.
	utilisation = 0.65
	// settlingTime passes before the measurement starts, so that gateways get their first leases.
	settlingTime = 15 * time.Second
)

// Plan has the times of a run, counted from the start of the measurement.
type Plan struct {
	// LeavesAt and ReturnsAt are the times at which the data centre is taken out and brought back.
	LeavesAt, ReturnsAt time.Duration
	// Length is the duration of the measurement.
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
	// Offered has the number of requests, and Delivered that of complete answers within their
	// deadline, in each second.
	Offered, Delivered []int
	// Crashes counts the failures of backend servers under full load while cold.
	Crashes int
}

// Run measures a policy while the first data centre is taken out and brought back. Equal seeds give
// equal results.
func Run(d specifier.Deployment, plan Plan, policy Policy, seed uint64) Result {
	sim := newSimulation(d, policy, seed, plan.Length)
	for _, s := range d.Services {
		capacity := float64(s.Hosts*specifier.Slots) / meanWorkTime.Seconds()
		sim.generateLoad(s.Name, utilisation*capacity)
	}
	sim.Run(settlingTime)
	sim.measuredFrom = sim.Now()
	sim.After(plan.LeavesAt, func() { sim.takeOut(d.DataCentres[0]) })
	sim.After(plan.ReturnsAt, func() { sim.bringBack(d.DataCentres[0]) })
	sim.Run(plan.Length)
	seconds := int(plan.Length / time.Second)
	return Result{Policy: policy, Offered: sim.offered[:seconds], Delivered: sim.delivered[:seconds], Crashes: sim.crashes}
}

func (sim *simulation) takeOut(dataCentre string) {
	sim.takenOut = dataCentre
	sim.view.TakenOut = []string{dataCentre}
	sim.broadcastView()
}

// bringBack returns a data centre to service. Its backend servers have just restarted, and their
// ramp step rises every 5 s.
func (sim *simulation) bringBack(dataCentre string) {
	sim.takenOut = ""
	sim.view.TakenOut = nil
	sim.view.Backends = slices.Clone(sim.view.Backends)
	for i, r := range sim.view.Backends {
		if r.DataCentre == dataCentre {
			sim.view.Backends[i].Incarnation++
			sim.servers[r.ID].warmSince = sim.Now()
		}
	}
	sim.broadcastView()
	for step := range uint8(announcer.RampSteps + 1) {
		sim.After(time.Duration(step)*5*time.Second, func() { sim.setRampStep(dataCentre, step) })
	}
}

func (sim *simulation) setRampStep(dataCentre string, step uint8) {
	sim.view.Backends = slices.Clone(sim.view.Backends)
	for i, r := range sim.view.Backends {
		if r.DataCentre == dataCentre {
			sim.view.Backends[i].RampStep = step
		}
	}
	sim.broadcastView()
}
