package planner

import (
	"fmt"

	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// Tolerances of facts. The number of flows changes all the time, so a plan that
// required the exact number could never be confirmed.
const (
	flowToleranceDivisor   = 5   // a fifth of the flows
	minFlowTolerance       = 100 // flows
	serverToleranceDivisor = 20  // 5% of the backend servers: exact below 20
	loadTolerancePercent   = 10  // percentage points
)

// figuresFact is the name of the fact that tells whether load figures are known.
const figuresFact = "load figures"

func (d *description) addFact(f operator.Fact) { d.facts = append(d.facts, f) }

func (d *description) addFiguresUnknown() { d.addFact(operator.Fact{Name: figuresFact}) }

func (d *description) addFiguresKnown() { d.addFact(operator.Fact{Name: figuresFact, Known: true}) }

func (d *description) addExactFact(name string, value int64) {
	d.addFact(operator.Fact{Name: name, Known: true, Value: value})
}

func (d *description) addYesNoFact(name string, isYes bool) {
	f := operator.Fact{Name: name, Known: true, IsBoolean: true}
	if isYes {
		f.Value = 1
	}
	d.addFact(f)
}

func (d *description) addFlowsFact(name string, value int64) {
	d.addFact(operator.Fact{Name: name, Known: true, Value: value, Tolerance: max(minFlowTolerance, value/flowToleranceDivisor)})
}

func (d *description) addServersFact(name string, value int64) {
	d.addFact(operator.Fact{Name: name, Known: true, Value: value, Tolerance: value / serverToleranceDivisor})
}

func (d *description) addLoadFacts(name string, e expectedLoad) {
	d.addFact(operator.Fact{Name: "expected load in percent of " + name, Known: true, Value: e.percent, Tolerance: loadTolerancePercent})
	d.addYesNoFact("overload of "+name, e.overload)
}

// compareFacts describes the facts of a plan that no longer hold. stated are the
// facts of the plan and latest those of a plan made from the current state.
func compareFacts(stated, latest []operator.Fact) []string {
	latestByName := make(map[string]operator.Fact, len(latest))
	for _, f := range latest {
		latestByName[f.Name] = f
	}
	var differences []string
	names := make(map[string]bool, len(stated))
	for _, f := range stated {
		names[f.Name] = true
		latestFact := latestByName[f.Name]
		if f.Name == figuresFact && latestFact.Known != f.Known {
			// Without load figures on one side, every other fact differs as well.
			return append(differences, fmt.Sprintf("%s: %s in the plan, %s now", f.Name, formatKnown(f.Known), formatKnown(latestFact.Known)))
		}
		if !f.Holds(latestFact) {
			differences = append(differences, fmt.Sprintf("%s: %s in the plan, %s now", f.Name, formatValue(f), formatValue(latestFact)))
		}
	}
	for _, f := range latest {
		if !names[f.Name] {
			differences = append(differences, fmt.Sprintf("%s: not known in the plan, %s now", f.Name, formatValue(f)))
		}
	}
	return differences
}

func formatKnown(isKnown bool) string {
	if isKnown {
		return "known"
	}
	return "not known"
}

func formatValue(f operator.Fact) string {
	if !f.Known {
		return "not known"
	}
	if f.IsBoolean {
		return [...]string{"no", "yes"}[min(1, max(0, f.Value))]
	}
	return formatNumber(f.Value)
}
