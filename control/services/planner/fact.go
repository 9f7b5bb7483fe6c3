package planner

import (
	"fmt"

	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// Tolerances of facts. Flows come and go all the time, so a plan that asked for
// the same number could never be confirmed.
const (
	flowToleranceShare   = 5   // a fifth of the flows
	flowToleranceLeast   = 100 // flows
	serverToleranceShare = 20  // 5% of the backend servers: exact below 20
	loadTolerance        = 10  // percentage points
)

// figuresFact tells whether there are figures at all.
const figuresFact = "load figures"

func (d *description) add(f operator.Fact) { d.facts = append(d.facts, f) }

func (d *description) factUnknown() { d.add(operator.Fact{Name: figuresFact}) }

func (d *description) factKnown() { d.add(operator.Fact{Name: figuresFact, Known: true}) }

func (d *description) factExact(name string, value int64) {
	d.add(operator.Fact{Name: name, Known: true, Value: value})
}

func (d *description) factYesNo(name string, is bool) {
	f := operator.Fact{Name: name, Known: true, IsYesNo: true}
	if is {
		f.Value = 1
	}
	d.add(f)
}

func (d *description) factAmount(name string, value int64) {
	d.add(operator.Fact{Name: name, Known: true, Value: value, Tolerance: max(flowToleranceLeast, value/flowToleranceShare)})
}

func (d *description) factServers(name string, value int64) {
	d.add(operator.Fact{Name: name, Known: true, Value: value, Tolerance: value / serverToleranceShare})
}

func (d *description) factLoad(name string, e expectation) {
	d.add(operator.Fact{Name: "expected load in percent of " + name, Known: true, Value: e.percent, Tolerance: loadTolerance})
	d.factYesNo("overload of "+name, e.overload)
}

// compareFacts names the facts of a plan that no longer hold.
func compareFacts(stated, now []operator.Fact) []string {
	current := make(map[string]operator.Fact, len(now))
	for _, f := range now {
		current[f.Name] = f
	}
	var differences []string
	names := make(map[string]bool, len(stated))
	for _, f := range stated {
		names[f.Name] = true
		fresh := current[f.Name]
		if f.Name == figuresFact && fresh.Known != f.Known {
			// Every other fact differs for the same reason.
			return append(differences, fmt.Sprintf("%s: %s in the plan, %s now", f.Name, known(f.Known), known(fresh.Known)))
		}
		if !f.Holds(fresh) {
			differences = append(differences, fmt.Sprintf("%s: %s in the plan, %s now", f.Name, value(f), value(fresh)))
		}
	}
	for _, f := range now {
		if !names[f.Name] {
			differences = append(differences, fmt.Sprintf("%s: not known in the plan, %s now", f.Name, value(f)))
		}
	}
	return differences
}

func known(is bool) string {
	if is {
		return "known"
	}
	return "not known"
}

func value(f operator.Fact) string {
	if !f.Known {
		return "not known"
	}
	if f.IsYesNo {
		return [...]string{"no", "yes"}[min(1, max(0, f.Value))]
	}
	return number(f.Value)
}
