package planner

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/observer"
)

func (s situation) describeDrain(d *description, id announcer.ID) flowText {
	server, known := s.load.GetServer(id)
	bound := s.bound()
	t := flowText{
		changes: fmt.Sprintf("%s gets no new flows and no new requests.", id),
		stay:    fmt.Sprintf("All established flows on %s stay on it until they end by themselves. How many is not known.", id),
		move:    "None. Only flows that start after the confirmation go to other backend servers.",
		givenUp: "None.",
		risks: "If the backend server stops before its last flow has ended, the rest of its flows break. " +
			"Other backend servers get its share of new flows. " + cutOffRisk,
	}
	t.duration = fmt.Sprintf("New flows stop within %s of the confirmation. How long the established flows last is not known.", bound)
	switch {
	case !s.load.IsKnown():
		d.factUnknown()
		t.expected = "Not known."
		return t
	case !known:
		d.factKnown()
		t.stay = fmt.Sprintf("No report names %s, so that it probably has no flows. If it has some, they stay until they end by themselves.", id)
		t.risks = fmt.Sprintf("No report names %s; check the spelling. ", id) + t.risks
		d.factYesNo("a report names "+id.String(), false)
		return t
	}
	d.factKnown()
	d.factYesNo("a report names "+id.String(), true)
	d.factAmount("flows on "+id.String(), server.Flows)
	t.stay = fmt.Sprintf("%s on %s in %s stay until they end by themselves.", count(server.Flows, "flow", "flows"), id, server.DataCentre)
	t.duration = drainDuration(server, bound)
	region := s.regionOf(server.DataCentre)
	all := s.sum(id.Service, s.serves(region))
	rest := all
	if server.Ready {
		rest.Ready--
		rest.Slots -= server.Slots
		rest.Connections -= server.Connections
	}
	e := s.expect(id.Service, all, rest)
	t.expected = fmt.Sprintf("Once the flows on %s have ended and others have started elsewhere in %s, as today:\n%s", id, region, e.text)
	d.factServers(fmt.Sprintf("other backend servers of %s in %s that take new flows", id.Service, region), rest.Ready)
	d.factLoad(id.Service+" in "+region, e)
	if e.overload {
		d.overload = e.text
		t.risks = "The remaining backend servers would be overloaded. " + t.risks
	}
	if !server.Ready {
		t.risks = fmt.Sprintf("%s takes no new flows already, by its own announcement or because its lease lapsed. ", id) + t.risks
	}
	return t
}

// drainDuration estimates the duration of a flow by Little's law: flows held,
// divided by new flows per unit of time.
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
		count(server.Flows, "flow", "flows"), count(server.NewFlows, "new one", "new ones"), average.Round(time.Second))
}

func (s situation) describeUndrain(d *description, id announcer.ID) flowText {
	t := flowText{
		changes: fmt.Sprintf("%s gets new flows and new requests again, as soon as it announces that it is ready.", id),
		stay:    "All established flows stay where they are.",
		move:    "None.",
		givenUp: "None.",
		risks:   fmt.Sprintf("If %s has just started, it has little capacity; its share then rises in steps over at least %s. ", id, rampTime) + cutOffRisk,
	}
	t.duration = s.force() + " The backend server fills up as flows start."
	if !s.load.IsKnown() {
		d.factUnknown()
		t.expected = "Not known."
		return t
	}
	d.factKnown()
	server, known := s.load.GetServer(id)
	if !known {
		d.factYesNo("a report names "+id.String(), false)
		t.risks = fmt.Sprintf("No report names %s; it gets no flows until it announces itself. ", id) + t.risks
		return t
	}
	d.factYesNo("a report names "+id.String(), true)
	region := s.regionOf(server.DataCentre)
	all := s.sum(id.Service, s.serves(region))
	with := all
	if !server.Ready {
		with.Ready++
		with.Slots += server.Slots
		with.Connections += server.Connections
	}
	t.expected = fmt.Sprintf("In %s with %s:\n%s", region, id, s.expect(id.Service, all, with).text)
	d.factServers(fmt.Sprintf("backend servers of %s in %s that take new flows, with %s", id.Service, region, id.Host), with.Ready)
	return t
}
