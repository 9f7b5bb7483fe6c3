package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Bounds that the text promises, from section 1 of the design page.
const (
	forceBound      = 3 * time.Second
	forceBoundLarge = 9 * time.Second
	// smallSystem is the number of members up to which forceBound holds.
	smallSystem = 50
	rampTime    = 15 * time.Second // 3 steps of 5 s
)

// situation is what a plan is made from.
type situation struct {
	base   cataloger.Catalog
	target cataloger.Catalog
	load   observer.Summary
	now    timer.Timestamp
}

// description is the content of a plan.
type description struct {
	sections []operator.Section
	facts    []operator.Fact
	// overload tells what the plan overloads, or is "".
	overload string
}

// flowText is what each plan says about flows, and more.
type flowText struct {
	changes, stay, move, givenUp, expected, duration, risks string
}

func describe(s situation, intent operator.Intent) description {
	var d description
	var t flowText
	switch i := intent.(type) {
	case operator.Drain:
		t = s.describeDrain(&d, i.ID)
	case operator.Undrain:
		t = s.describeUndrain(&d, i.ID)
	case operator.TakeOut:
		t = s.describeTakeOut(&d, i)
	case operator.BringBack:
		t = s.describeBringBack(&d, i.DataCentre)
	case operator.ReplaceReplica:
		t = s.describeReplaceReplica(&d, i)
	case operator.Apply:
		t = s.describeApply(&d)
	}
	add := func(title, text string) {
		d.sections = append(d.sections, operator.Section{Title: title, Text: text})
	}
	add("What changes", t.changes)
	add("Flows that stay", t.stay)
	add("Flows that move", t.move)
	add("Flows that are given up", t.givenUp)
	if t.expected != "" {
		add("Expected load", t.expected)
	}
	if _, ok := intent.(operator.ReplaceReplica); !ok {
		add("Figures", s.describeFigures())
	}
	add("How long it takes", t.duration)
	add("What could go wrong", t.risks)
	add("Valid", fmt.Sprintf("until %s, while version %d is in force and the figures stay close to those above. Otherwise the confirmation is refused and there is a new plan.",
		s.now.Add(PlanLifetime), s.base.Version))
	return d
}

func (s situation) describeFigures() string {
	if !s.load.IsKnown() {
		return "No figures are known: no entry or gateway has reported its load to this control replica. The plan states no numbers of flows."
	}
	text := fmt.Sprintf("Measured by %d of %d entries and gateways; the oldest report is %s old.",
		s.load.Reporters, s.load.Expected, max(0, s.now.Sub(s.load.Oldest)).Round(time.Second))
	if missing := s.load.Expected - s.load.Reporters; missing > 0 {
		text += fmt.Sprintf(" %d did not report and are not counted.", missing)
	}
	return text
}

func (s situation) bound() time.Duration {
	if len(s.target.Entries)+len(s.target.Gateways) <= smallSystem {
		return forceBound
	}
	return forceBoundLarge
}

// force tells how soon the change is in force.
func (s situation) force() string {
	return fmt.Sprintf("In force within %s of the confirmation at every entry and gateway that can be reached.", s.bound())
}

const cutOffRisk = "A data centre that is cut off from control keeps its present configuration until it can be reached again."

// regionOf returns the region of a data centre, or "".
func (s situation) regionOf(dataCentre string) string {
	d, err := s.base.GetDataCentre(dataCentre)
	if err != nil {
		return ""
	}
	return d.Region
}

// sum adds up the groups of a service for which include holds.
func (s situation) sum(service string, include func(dataCentre string) bool) observer.Group {
	total := observer.Group{Service: service}
	for _, g := range s.load.Groups {
		if g.Service != service || !include(g.DataCentre) {
			continue
		}
		total.Servers += g.Servers
		total.Ready += g.Ready
		total.Slots += g.Slots
		total.Connections += g.Connections
		total.Flows += g.Flows
		total.Requests += g.Requests
		total.NewFlowsPerMinute += g.NewFlowsPerMinute
	}
	return total
}

// serves reports whether the data centre serves the region after the change.
func (s situation) serves(region string) func(string) bool {
	return func(dataCentre string) bool {
		return s.regionOf(dataCentre) == region && !s.target.IsTakenOut(dataCentre)
	}
}

// servicesIn returns the services with known backend servers in a data centre
// or, without figures, those that may have some.
func (s situation) servicesIn(dataCentre string) []string {
	var names []string
	for _, service := range s.base.Services {
		if s.load.IsKnown() {
			if s.sum(service.Name, func(d string) bool { return d == dataCentre }).Servers == 0 {
				continue
			}
		} else if len(service.DataCentres) > 0 && !slices.Contains(service.DataCentres, dataCentre) {
			continue
		}
		names = append(names, service.Name)
	}
	return names
}

// expectation is an expected load beside the capacity.
type expectation struct {
	text     string
	percent  int64
	overload bool
}

// expect compares the load with the capacity of what remains.
func (s situation) expect(service string, load, rest observer.Group) expectation {
	amount, capacity, unit := load.Flows, rest.Connections, "connections"
	what := count(amount, "flow", "flows")
	if found, err := s.base.GetService(service); err == nil && found.Kind == cataloger.KindRequest {
		amount, capacity, unit = load.Requests, rest.Slots, "slots"
		what = count(amount, "request in progress", "requests in progress")
	}
	if rest.Ready == 0 {
		return expectation{text: fmt.Sprintf("%s: no backend server remains that takes new flows.", service), overload: load.Servers > 0}
	}
	percent := int64(0)
	if capacity > 0 {
		percent = amount * 100 / capacity
	}
	e := expectation{percent: percent, overload: amount > capacity}
	e.text = fmt.Sprintf("%s: %s on %s with %s %s (%d%%).", service, what,
		count(rest.Ready, "backend server", "backend servers"), number(capacity), unit, percent)
	if e.overload {
		e.text += " This is more than the capacity."
	}
	return e
}

// count writes a number with the right form of the noun.
func count(n int64, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return number(n) + " " + many
}

// number writes n with commas between groups of three digits.
func number(n int64) string {
	digits := fmt.Sprint(n)
	var b strings.Builder
	for i, r := range digits {
		if i > 0 && digits[i-1] != '-' && (len(digits)-i)%3 == 0 {
			b.WriteByte(',')
		}
		b.WriteRune(r)
	}
	return b.String()
}
