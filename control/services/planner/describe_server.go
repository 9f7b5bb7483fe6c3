package planner

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/observer"
)

func (p planInput) describeDrain(d *description, id announcer.ID) sectionTexts {
	server, known := p.load.GetServer(id)
	bound := p.maxPropagation()
	t := sectionTexts{
		changes: fmt.Sprintf("%s gets no new flows and no new requests.", id),
		stay:    fmt.Sprintf("All established flows on %s stay on it until they end by themselves. How many is not known.", id),
		move:    "None. Only flows that start after the confirmation go to other backend servers.",
		givenUp: "None.",
		risks: "If the backend server stops before its last flow has ended, the rest of its flows break. " +
			"Other backend servers get its share of new flows. " + partitionRisk,
	}
	t.duration = fmt.Sprintf("New flows stop within %s of the confirmation. How long the established flows last is not known.", bound)
	switch {
	case !p.load.IsKnown():
		d.addFiguresUnknown()
		t.expected = "Not known."
		return t
	case !known:
		d.addFiguresKnown()
		t.stay = fmt.Sprintf("No report names %s, so that it probably has no flows. If it has some, they stay until they end by themselves.", id)
		t.risks = fmt.Sprintf("No report names %s; check the spelling. ", id) + t.risks
		d.addYesNoFact("a report names "+id.String(), false)
		return t
	}
	d.addFiguresKnown()
	d.addYesNoFact("a report names "+id.String(), true)
	d.addFlowsFact("flows on "+id.String(), server.Flows)
	t.stay = fmt.Sprintf("%s on %s in %s stay until they end by themselves.", formatCount(server.Flows, "flow", "flows"), id, server.DataCentre)
	t.duration = drainDuration(server, bound)
	region := p.regionOf(server.DataCentre)
	inRegion := p.sumGroups(id.Service, p.servesRegion(region))
	remaining := inRegion
	if server.Ready {
		remaining.Ready--
		remaining.Slots -= server.Slots
		remaining.Connections -= server.Connections
	}
	e := p.estimateLoad(id.Service, inRegion, remaining)
	t.expected = fmt.Sprintf("Once the flows on %s have ended and others have started elsewhere in %s, as today:\n%s", id, region, e.text)
	d.addServersFact(fmt.Sprintf("other backend servers of %s in %s that take new flows", id.Service, region), remaining.Ready)
	d.addLoadFacts(id.Service+" in "+region, e)
	if e.overload {
		d.overload = e.text
		t.risks = "The remaining backend servers would be overloaded. " + t.risks
	}
	if !server.Ready {
		t.risks = fmt.Sprintf("%s takes no new flows already, by its own announcement or because its lease lapsed. ", id) + t.risks
	}
	return t
}

// drainDuration describes how long a drain takes. It estimates the mean duration
// of a flow by Little's law: established flows divided by the rate of new flows.
func drainDuration(server observer.ServerLoad, bound time.Duration) string {
	text := fmt.Sprintf("New flows stop within %s of the confirmation. ", bound)
	if server.Flows == 0 {
		return text + "There are no established flows to wait for."
	}
	if server.NewFlows == 0 {
		return text + "How long the established flows last is not known, because no flow has started since the last report."
	}
	average := time.Duration(server.Flows) * time.Minute / time.Duration(server.NewFlows)
	return text + fmt.Sprintf("With %s and %s a minute a flow lasts about %s on average, and the longest ones much longer; there is no time limit.",
		formatCount(server.Flows, "flow", "flows"), formatCount(server.NewFlows, "new one", "new ones"), average.Round(time.Second))
}

func (p planInput) describeUndrain(d *description, id announcer.ID) sectionTexts {
	t := sectionTexts{
		changes: fmt.Sprintf("%s gets new flows and new requests again, as soon as it announces that it is ready.", id),
		stay:    "All established flows stay where they are.",
		move:    "None.",
		givenUp: "None.",
		risks:   fmt.Sprintf("If %s has just started, it has little capacity; its share then rises in steps over at least %s. ", id, rampTime) + partitionRisk,
	}
	t.duration = p.describePropagation() + " The backend server fills up as flows start."
	if !p.load.IsKnown() {
		d.addFiguresUnknown()
		t.expected = "Not known."
		return t
	}
	d.addFiguresKnown()
	server, known := p.load.GetServer(id)
	if !known {
		d.addYesNoFact("a report names "+id.String(), false)
		t.risks = fmt.Sprintf("No report names %s; it gets no flows until it announces itself. ", id) + t.risks
		return t
	}
	d.addYesNoFact("a report names "+id.String(), true)
	region := p.regionOf(server.DataCentre)
	inRegion := p.sumGroups(id.Service, p.servesRegion(region))
	undrained := inRegion
	if !server.Ready {
		undrained.Ready++
		undrained.Slots += server.Slots
		undrained.Connections += server.Connections
	}
	t.expected = fmt.Sprintf("In %s with %s:\n%s", region, id, p.estimateLoad(id.Service, inRegion, undrained).text)
	d.addServersFact(fmt.Sprintf("backend servers of %s in %s that take new flows, with %s", id.Service, region, id.Host), undrained.Ready)
	return t
}
