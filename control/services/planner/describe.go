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

// Bounds that plan texts promise, from section 1 of the design document.
const (
	// propagationBound and propagationBoundLarge are the maximum time until every
	// reachable entry and gateway uses a new configuration.
	propagationBound      = 3 * time.Second
	propagationBoundLarge = 9 * time.Second
	// smallSystemMembers is the maximum number of entries and gateways for which
	// propagationBound holds.
	smallSystemMembers = 50
	// rampTime is the minimum time until a started backend server gets its full
	// share of new flows: 3 ramp steps of 5 s.
	rampTime = 15 * time.Second
)

// planInput is the input from which a plan is made: the configurations before and
// after the change, the load and the current time.
type planInput struct {
	base   cataloger.Catalog
	target cataloger.Catalog
	load   observer.Summary
	now    timer.Timestamp
}

// description is the content of a plan.
type description struct {
	sections []operator.Section
	facts    []operator.Fact
	// overload describes the backend servers that the plan overloads, or is "".
	overload string
}

// sectionTexts holds the texts of the sections that depend on the intent.
type sectionTexts struct {
	changes, stay, move, givenUp, expected, duration, risks string
}

func describe(p planInput, intent operator.Intent) description {
	var d description
	var t sectionTexts
	switch i := intent.(type) {
	case operator.Drain:
		t = p.describeDrain(&d, i.ID)
	case operator.Undrain:
		t = p.describeUndrain(&d, i.ID)
	case operator.TakeOut:
		t = p.describeTakeOut(&d, i)
	case operator.BringBack:
		t = p.describeBringBack(&d, i.DataCentre)
	case operator.ReplaceReplica:
		t = p.describeReplaceReplica(&d, i)
	case operator.Apply:
		t = p.describeApply(&d)
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
		add("Figures", p.describeFigures())
	}
	add("How long it takes", t.duration)
	add("What could go wrong", t.risks)
	add("Valid", fmt.Sprintf("until %s, while version %d is in force and the figures stay close to those above. Otherwise the confirmation is refused and there is a new plan.",
		p.now.Add(PlanLifetime), p.base.Version))
	return d
}

func (p planInput) describeFigures() string {
	if !p.load.IsKnown() {
		return "No figures are known: no entry or gateway has reported its load to this control replica. The plan states no numbers of flows."
	}
	text := fmt.Sprintf("Measured by %d of %d entries and gateways; the oldest report is %s old.",
		p.load.Reporters, p.load.Expected, max(0, p.now.Sub(p.load.Oldest)).Round(time.Second))
	if missing := p.load.Expected - p.load.Reporters; missing > 0 {
		text += fmt.Sprintf(" %d did not report and are not counted.", missing)
	}
	return text
}

func (p planInput) maxPropagation() time.Duration {
	if len(p.target.Entries)+len(p.target.Gateways) <= smallSystemMembers {
		return propagationBound
	}
	return propagationBoundLarge
}

// describePropagation returns a sentence on how soon the change is in force.
func (p planInput) describePropagation() string {
	return fmt.Sprintf("In force within %s of the confirmation at every entry and gateway that can be reached.", p.maxPropagation())
}

const partitionRisk = "A data centre that is cut off from control keeps its present configuration until it can be reached again."

// regionOf returns the region of a data centre, or "".
func (p planInput) regionOf(dataCentre string) string {
	d, err := p.base.GetDataCentre(dataCentre)
	if err != nil {
		return ""
	}
	return d.Region
}

// sumGroups adds up the load of a service in the data centres for which include
// returns true.
func (p planInput) sumGroups(service string, include func(dataCentre string) bool) observer.ServiceLoad {
	total := observer.ServiceLoad{Service: service}
	for _, g := range p.load.Groups {
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

// servesRegion returns a function that reports whether a data centre is in the
// region and not taken out after the change.
func (p planInput) servesRegion(region string) func(string) bool {
	return func(dataCentre string) bool {
		return p.regionOf(dataCentre) == region && !p.target.IsTakenOut(dataCentre)
	}
}

// servicesIn returns the services with reported backend servers in a data centre.
// Without load figures it returns the services that may run in the data centre.
func (p planInput) servicesIn(dataCentre string) []string {
	var names []string
	for _, service := range p.base.Services {
		if p.load.IsKnown() {
			if p.sumGroups(service.Name, func(d string) bool { return d == dataCentre }).Servers == 0 {
				continue
			}
		} else if len(service.DataCentres) > 0 && !slices.Contains(service.DataCentres, dataCentre) {
			continue
		}
		names = append(names, service.Name)
	}
	return names
}

// expectedLoad compares an expected load with the available capacity.
type expectedLoad struct {
	text     string
	percent  int64
	overload bool
}

// estimateLoad compares the load of a service with the capacity of the remaining
// backend servers.
func (p planInput) estimateLoad(service string, load, remaining observer.ServiceLoad) expectedLoad {
	amount, capacity, unit := load.Flows, remaining.Connections, "connections"
	loadText := formatCount(amount, "flow", "flows")
	if found, err := p.base.GetService(service); err == nil && found.Kind == cataloger.KindRequest {
		amount, capacity, unit = load.Requests, remaining.Slots, "slots"
		loadText = formatCount(amount, "request in progress", "requests in progress")
	}
	if remaining.Ready == 0 {
		return expectedLoad{text: fmt.Sprintf("%s: no backend server remains that takes new flows.", service), overload: load.Servers > 0}
	}
	percent := int64(0)
	if capacity > 0 {
		percent = amount * 100 / capacity
	}
	e := expectedLoad{percent: percent, overload: amount > capacity}
	e.text = fmt.Sprintf("%s: %s on %s with %s %s (%d%%).", service, loadText,
		formatCount(remaining.Ready, "backend server", "backend servers"), formatNumber(capacity), unit, percent)
	if e.overload {
		e.text += " This is more than the capacity."
	}
	return e
}

// formatCount formats a number with the singular or plural form of the noun.
func formatCount(n int64, singular, plural string) string {
	if n == 1 {
		return "1 " + singular
	}
	return formatNumber(n) + " " + plural
}

// formatNumber formats n with commas between groups of three digits.
func formatNumber(n int64) string {
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
