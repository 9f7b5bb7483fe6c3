// Package comparer compares redwingledge with baseline policies by the three measures of section 1
// of docs/design.md (broken flows, imbalance and service delivered), in virtual time.
package comparer

import (
	"fmt"
	"strings"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/bench/modules/renderer"
	"github.com/redwingledge/redwingledge/bench/modules/tabulator"
	"github.com/redwingledge/redwingledge/bench/services/balancer"
	"github.com/redwingledge/redwingledge/bench/services/loadtester"
	"github.com/redwingledge/redwingledge/bench/services/simulator"
)

// notes states the assumptions of the models and what they leave out.
const notes = `Packets are sprayed over all entries that run, also over one that has just started;
it drops those that come before it has heard of its peers. Control messages get lost
(1%) and reordered. A backend server has 2 slots and needs 100 ms for a request on
average. After a cold start it is 8 times slower, gets faster evenly for 20 s, and
fails and starts again if both slots are used while it is below half its speed. The
offered load is 65% of the capacity of all, and requests have a deadline of 2 s.
Requests are not retried. Answers count in the second in which they arrive, so that a
share can exceed 100%.

`

// flows is the number of flows for which the imbalance target is set.
const flows = 200_000

// Settings select what is run.
type Settings struct {
	Deployments []specifier.Deployment
	Scenarios   []simulator.Scenario
	Plan        loadtester.Plan
	// Seed is the first seed, and Seeds the number of consecutive seeds.
	Seed  uint64
	Seeds int
}

// Report is the outcome of a comparison.
type Report struct {
	Markdown string
	// Images has the SVG images to which Markdown refers, by file name.
	Images map[string][]byte
}

// Compare runs all measures. Equal settings give equal reports.
func Compare(settings Settings) (Report, error) {
	report := Report{Images: make(map[string][]byte)}
	var b strings.Builder
	fmt.Fprintf(&b, "# Comparison of policies\n\nSeeds %d to %d; state machines in virtual time.\n\n", settings.Seed, settings.Seed+uint64(settings.Seeds)-1)
	b.WriteString(notes)
	for _, d := range settings.Deployments {
		fmt.Fprintf(&b, "## %s\n\n", d.Name)
		b.WriteString(compareBrokenFlows(d, settings))
		b.WriteString(compareImbalance(d, settings))
		text, image, err := compareServiceDelivered(d, settings)
		if err != nil {
			return Report{}, err
		}
		name := "delivered-" + d.Name + ".svg"
		fmt.Fprintf(&b, "%s![Answers per second](%s)\n\n", text, name)
		report.Images[name] = image
	}
	report.Markdown = b.String()
	return report, nil
}

func compareBrokenFlows(d specifier.Deployment, settings Settings) string {
	table := tabulator.Table{
		Title: "Broken flows",
		Columns: []string{
			"change", "flows", "packets", "redwingledge", "modulo", "rendezvous",
			"packets at a wrong service", "dropped", "lost with an entry",
		},
	}
	for _, s := range settings.Scenarios {
		var sum simulator.Result
		for i := range settings.Seeds {
			r := simulator.Run(d, s, settings.Seed+uint64(i))
			sum.Flows += r.Flows
			sum.Packets += r.Packets
			sum.Broken += r.Broken
			sum.Modulo += r.Modulo
			sum.Rendezvous += r.Rendezvous
			sum.WrongService += r.WrongService
			sum.Dropped += r.Dropped
			sum.Lost += r.Lost
		}
		table.Add(s.Name, sum.Flows, sum.Packets, sum.Broken, sum.Modulo, sum.Rendezvous, sum.WrongService, sum.Dropped, sum.Lost)
	}
	return table.String()
}

func compareImbalance(d specifier.Deployment, settings Settings) string {
	table := tabulator.Table{
		Title:   fmt.Sprintf("Imbalance: max/mean of %d flows per backend server, worst seed", flows),
		Columns: []string{"service", "hosts", "redwingledge", "modulo", "rendezvous"},
	}
	for _, s := range d.Services {
		names := make([]string, s.Hosts)
		for i := range names {
			names[i] = fmt.Sprintf("host-%d", i)
		}
		var worst balancer.Result
		for i := range settings.Seeds {
			r := balancer.Run(s.Name, names, flows, settings.Seed+uint64(i))
			worst.Table, worst.Modulo = max(worst.Table, r.Table), max(worst.Modulo, r.Modulo)
			worst.Rendezvous = max(worst.Rendezvous, r.Rendezvous)
		}
		table.Add(s.Name, s.Hosts, formatRatio(worst.Table), formatRatio(worst.Modulo), formatRatio(worst.Rendezvous))
	}
	return table.String()
}

func formatRatio(r float64) string { return fmt.Sprintf("%.4f", r) }

func compareServiceDelivered(d specifier.Deployment, settings Settings) (string, []byte, error) {
	plan := settings.Plan
	leaves, returns, length := int(plan.LeavesAt.Seconds()), int(plan.ReturnsAt.Seconds()), int(plan.Length.Seconds())
	// The load limits of backend servers that return rise for 15 s, and these servers are cold for
	// 20 s.
	warmAgain := min(returns+20, length-1)
	table := tabulator.Table{
		Title: fmt.Sprintf("Service delivered: %s leaves after %d s and returns cold after %d s", d.DataCentres[0], leaves, returns),
		Columns: []string{
			"policy", "offered", "delivered", "%", "% before", "% while out", "% up to 20 s after the return", "% after that", "cold failures of backend servers",
		},
	}
	var lines []renderer.Line
	for _, policy := range loadtester.Policies() {
		var sum loadtester.Result
		line := renderer.Line{Name: string(policy), Values: make([]float64, length)}
		offered := make([]int, length)
		for i := range settings.Seeds {
			r := loadtester.Run(d, plan, policy, settings.Seed+uint64(i))
			sum.Crashes += r.Crashes
			for second := range length {
				line.Values[second] += float64(r.Delivered[second]) / float64(settings.Seeds)
				offered[second] += r.Offered[second]
			}
		}
		share := func(first, last int) string {
			answers, requests := 0.0, 0
			for second := first; second < last; second++ {
				answers += line.Values[second] * float64(settings.Seeds)
				requests += offered[second]
			}
			return fmt.Sprintf("%.1f", 100*answers/float64(requests))
		}
		answers, requests := 0.0, 0
		for second := range length {
			answers += line.Values[second] * float64(settings.Seeds)
			requests += offered[second]
		}
		table.Add(policy, requests, fmt.Sprintf("%.0f", answers), share(0, length), share(0, leaves), share(leaves, returns),
			share(returns, warmAgain), share(warmAgain, length), sum.Crashes)
		lines = append(lines, line)
	}
	image, err := renderer.Draw(fmt.Sprintf("%s: %s leaves at %d s, returns at %d s", d.Name, d.DataCentres[0], leaves, returns),
		"time (s)", "answers per second", lines)
	return table.String(), image, err
}
