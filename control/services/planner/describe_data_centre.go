package planner

import (
	"fmt"
	"strings"

	"github.com/redwingledge/redwingledge/shared/models/operator"
)

func (p planInput) describeTakeOut(d *description, i operator.TakeOut) sectionTexts {
	name, region := i.DataCentre, p.regionOf(i.DataCentre)
	services := p.servicesIn(name)
	t := sectionTexts{
		changes: fmt.Sprintf("No packets and no requests go to backend servers in %s any more, and no new flows are placed there.", name),
		stay:    fmt.Sprintf("All flows to backend servers in other data centres, also those that arrive through the entries of %s.", name),
		move:    "None. A caller whose flow is given up may open a new one, which goes to another data centre.",
		duration: fmt.Sprintf("Packets to %s are dropped within %s of the confirmation at every entry that can be reached.",
			name, p.maxPropagation()),
		risks: fmt.Sprintf("Callers of flows that are given up get no answer and must notice by themselves. All of them may open new flows at once. "+
			"If %s is cut off, its own entries serve what reaches them until they can be reached again. "+
			"Requests that run there end with the outcome \"may have run\".", name),
	}
	if !p.load.IsKnown() {
		d.addFiguresUnknown()
		t.givenUp = fmt.Sprintf("All flows that terminate in %s. How many is not known. Services that may run there: %s.", name, joinOrNone(services))
		t.expected = fmt.Sprintf("Not known. Whether the rest of %s can carry the load of %s is not known either.", region, name)
		t.risks = "What remains may be overloaded, which cannot be checked without figures. " + t.risks
		return t
	}
	d.addFiguresKnown()
	var givenUp, expected, overloads []string
	for _, service := range services {
		inDataCentre := p.sumGroups(service, func(dc string) bool { return dc == name })
		remaining := p.sumGroups(service, p.servesRegion(region))
		load := remaining
		load.Servers += inDataCentre.Servers
		load.Flows += inDataCentre.Flows
		load.Requests += inDataCentre.Requests
		e := p.estimateLoad(service, load, remaining)
		givenUp = append(givenUp, fmt.Sprintf("%s: %s on %s.", service, formatCount(inDataCentre.Flows, "flow", "flows"), formatCount(inDataCentre.Servers, "backend server", "backend servers")))
		expected = append(expected, e.text)
		d.addFlowsFact(fmt.Sprintf("flows of %s in %s", service, name), inDataCentre.Flows)
		d.addServersFact(fmt.Sprintf("backend servers of %s that remain in %s and take new flows", service, region), remaining.Ready)
		d.addLoadFacts(service+" in the rest of "+region, e)
		if e.overload {
			overloads = append(overloads, e.text)
		}
	}
	t.givenUp = fmt.Sprintf("All flows that terminate in %s:\n%s", name, joinOrNone(givenUp))
	t.expected = fmt.Sprintf("If the callers of all flows in %s open new ones in the rest of %s:\n%s", name, region, joinOrNone(expected))
	if len(overloads) > 0 {
		d.overload = strings.Join(overloads, "\n")
		t.risks = "What remains will be overloaded, which the request accepts. New flows and requests may be refused or time out. " + t.risks
	}
	return t
}

func (p planInput) describeBringBack(d *description, name string) sectionTexts {
	region := p.regionOf(name)
	t := sectionTexts{
		changes:  fmt.Sprintf("New flows and requests go to ready backend servers in %s again.", name),
		stay:     "All established flows stay where they are.",
		move:     "None.",
		givenUp:  "None.",
		duration: p.describePropagation() + fmt.Sprintf(" Backend servers that have just started reach their full share after at least %s. The load evens out as flows end and start.", rampTime),
		risks: fmt.Sprintf("Backend servers in %s may be cold; those that start or renew a lapsed lease get few flows at first. "+
			"Callers that kept flows to %s open over the absence may continue them if the backend server still knows them. ", name, name) + partitionRisk,
	}
	services := p.servicesIn(name)
	if !p.load.IsKnown() {
		d.addFiguresUnknown()
		t.expected = fmt.Sprintf("Not known. Services that may run in %s: %s.", name, joinOrNone(services))
		return t
	}
	d.addFiguresKnown()
	var expected []string
	for _, service := range services {
		inDataCentre := p.sumGroups(service, func(dc string) bool { return dc == name })
		inRegion := p.sumGroups(service, p.servesRegion(region))
		expected = append(expected, fmt.Sprintf("%s, %d of them in %s.", strings.TrimSuffix(p.estimateLoad(service, inRegion, inRegion).text, "."), inDataCentre.Ready, name))
		d.addServersFact(fmt.Sprintf("backend servers of %s in %s that are ready", service, name), inDataCentre.Ready)
	}
	if len(services) == 0 {
		t.risks = fmt.Sprintf("No report names a backend server in %s; it gets no flows until some announce themselves. ", name) + t.risks
	}
	t.expected = fmt.Sprintf("In %s with %s:\n%s", region, name, joinOrNone(expected))
	return t
}

// joinOrNone joins sentences with line breaks and names with commas. It returns
// "none" for an empty list.
func joinOrNone(lines []string) string {
	if len(lines) == 0 {
		return "none"
	}
	for _, line := range lines {
		if strings.HasSuffix(line, ".") {
			return strings.Join(lines, "\n")
		}
	}
	return strings.Join(lines, ", ")
}
