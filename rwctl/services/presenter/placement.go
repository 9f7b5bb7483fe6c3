package presenter

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/explainer"
)

// WritePlacement writes what an entry would do with a new flow.
func (p *Presenter) WritePlacement(e explainer.Explanation) error {
	if p.format == FormatJSON {
		return p.writeJSON(e)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "entry %s in %s: %s\n", e.Entry, e.DataCentre, describeAges(e))
	flow := "new flow to " + e.Route.String()
	if e.Source.IsValid() {
		flow += " from " + e.Source.String()
	}
	fmt.Fprintln(&b, flow)
	for _, o := range e.Outcomes {
		fmt.Fprintf(&b, "  %s\n", describeOutcome(o))
		for _, target := range o.DataCentres {
			fmt.Fprintf(&b, "    %s\n", describeTarget(target))
		}
		if o.Limits != nil {
			fmt.Fprintf(&b, "    %s\n", describeLimits(*o.Limits))
		}
	}
	for _, chance := range e.Chances {
		fmt.Fprintf(&b, "  chance: %s\n", chance)
	}
	if len(e.Services) > 0 {
		b.WriteString("\n")
	}
	if err := p.writeText(b.String()); err != nil || len(e.Services) == 0 {
		return err
	}
	return p.writeTable(func(w io.Writer) { writeDataCentres(w, e.Services) })
}

func describeAges(e explainer.Explanation) string {
	view := "no view"
	if e.View.IsKnown {
		view = fmt.Sprintf("view of version %d, %s old", e.View.Version, milliseconds(e.View.AgeMilliseconds))
	}
	if !e.SharedFigures.IsKnown {
		return view + "; no shared figures"
	}
	return fmt.Sprintf("%s; shared figures %s old", view, milliseconds(e.SharedFigures.AgeMilliseconds))
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func describeOutcome(o explainer.Outcome) string {
	text := o.Action
	if o.Reason != "" {
		text += " (" + o.Reason + ")"
	}
	if o.Service != "" {
		text += ", service " + o.Service
	}
	if o.Chosen != o.Service {
		text += " in place of " + o.Chosen
	}
	if o.IsKnownFlow {
		text += ", a flow that the entry knows"
	}
	if o.Probability < 1 {
		text += ", probability " + share(o.Probability)
	}
	return text
}

func describeTarget(t explainer.Target) string {
	server := fmt.Sprintf("one of %d backend servers", t.Candidates)
	if t.Server.IsValid() {
		server = "backend server " + t.Server.String()
	}
	return fmt.Sprintf("%s in %s: %s", share(t.Probability), t.Name, server)
}

func describeLimits(l explainer.Limits) string {
	text := fmt.Sprintf("limits for rank %d: %d requests in progress through this entry", l.Rank, l.OwnRequests)
	if l.OwnLimit > 0 {
		text += fmt.Sprintf(", %s of its share", share(l.ShareUsed))
	}
	if l.IsExhausted {
		text += "; no slot is free"
	}
	if l.IsLinkLimiting {
		return text + fmt.Sprintf("; the link limits new flows, burst used %s", share(l.LinkFill))
	}
	return text + "; the link does not limit new flows"
}

func share(fraction float64) string { return fmt.Sprintf("%.0f%%", 100*fraction) }

func writeDataCentres(w io.Writer, services []explainer.Service) {
	fmt.Fprintln(w, "SERVICE\tWEIGHT\tDATA CENTRE\tSTATE\tSERVERS\tFULL\tSILENT\tCOLD\tSLOTS\tREQUESTS\tOWN\tLEVEL")
	for _, s := range services {
		if len(s.DataCentres) == 0 {
			fmt.Fprintf(w, "%s\t%d\tnone\n", s.Name, s.Weight)
		}
		for _, d := range s.DataCentres {
			level := "-"
			if d.LoadLevel != nil {
				level = fmt.Sprintf("%.2f", *d.LoadLevel)
			}
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%s\n", s.Name, s.Weight, d.Name, describeState(s, d),
				d.Servers, d.Full, d.Unresponsive, d.Cold, d.Slots, d.Requests, d.OwnRequests, level)
		}
	}
}

// describeState names what keeps flows from a data centre or leads them there.
func describeState(s explainer.Service, d explainer.DataCentre) string {
	var states []string
	for _, state := range []struct {
		isSet bool
		name  string
	}{{d.IsLocal, "local"}, {d.IsTakenOut, "taken out"}, {d.IsDown, "down"}, {s.UsesLapsed, "leases expired"}} {
		if state.isSet {
			states = append(states, state.name)
		}
	}
	if len(states) == 0 {
		return "remote"
	}
	return strings.Join(states, ", ")
}
