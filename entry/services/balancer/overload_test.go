package balancer_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// recordArrivedReset records a reset that reaches the caller.
func (r *overloadRun) recordArrivedReset(f *modelFlow) {
	f.isReset = true
	if f.isForwarded {
		r.lateResets++
	}
}

func (r *overloadRun) recordForwarded(p balancer.Packet, f *modelFlow) {
	if !p.IsOpening {
		return
	}
	f.isForwarded = true
	if f.isReset {
		r.lateResets++
	}
}

// deployment returns V, with 70 entries and slow links, or R, with 27 entries, fresh flows and some requests
// that take long. All routes lead to one service. Safe requests come on long flows if isLong is set.
func deployment(name string, load float64, isLong bool, workFactor int) overloadCase {
	const ms = time.Millisecond
	c := overloadCase{
		load: load, entries: 70, servers: 120, linkRate: 250_000, latency: 3 * ms, spread: 0.5,
		calm: 2 * time.Second, burst: 4 * time.Second, recovery: 3 * time.Second,
		routes: []traffic{
			{kind: director.KindSafe, priority: 2, rate: 1138, work: 22 * ms, request: 800, response: 2000, target: 400 * ms, timeout: 2000 * ms},
			{kind: director.KindUnsafe, priority: 1, rate: 325, work: 29 * ms, request: 900, response: 600, target: 400 * ms, timeout: 2000 * ms},
			{kind: director.KindDownload, priority: 2, rate: 97.5, work: 5 * ms, request: 800, response: 40_000, target: 1200 * ms, timeout: 6000 * ms},
		},
	}
	if name == "R" {
		c.entries, c.linkRate, c.latency, c.slowShare, c.spread = 27, 625_000, 1400*time.Microsecond, 0.03, 0.3
		c.routes = []traffic{
			{kind: director.KindSafe, priority: 2, rate: 1000, work: 13 * ms, request: 800, response: 1000, target: 250 * ms, timeout: 2000 * ms},
			{kind: director.KindUnsafe, priority: 1, rate: 286, work: 17 * ms, request: 800, response: 600, target: 250 * ms, timeout: 2500 * ms},
			{kind: director.KindDownload, priority: 2, rate: 85.7, work: 4200 * time.Microsecond, request: 800, response: 20_000, target: 800 * ms, timeout: 10_000 * ms},
		}
	}
	c.routes[0].isLong = isLong
	for i := range c.routes {
		c.routes[i].work *= time.Duration(workFactor)
	}
	return c
}

// scaled returns the case with a fifth of the entries and backend servers.
func (c overloadCase) scaled() overloadCase {
	const part = 5
	c.entries, c.servers = c.entries/part, c.servers/part
	return c
}

func (c overloadCase) controlled() overloadCase {
	c.overload = &admitter.Settings{LinkRate: c.linkRate, LowestShare: admitter.DefaultLowestShare}
	return c
}

// balanced returns a calm run with 1,200 long flows, which begin in the first 6 s, and wide links. It is
// long enough that chance adds little to the imbalance.
func balanced(entries int) overloadCase {
	c := deployment("V", calmLoad, true, 1)
	c.entries, c.callers, c.linkRate, c.calm, c.burst, c.recovery = entries, 1200, 1e7, 6*time.Second, 6*time.Second, 0
	return c
}

var faults = map[string]func(*overloadCase){
	"reporter lies":   func(c *overloadCase) { c.reporterLies = true },
	"reports lost":    func(c *overloadCase) { c.losesReports = true },
	"data centre out": func(c *overloadCase) { c.takesOut = true },
}

// eachCase calls f for all combinations of deployments, flows, work and loads.
func eachCase(t *testing.T, factors []int, loads []float64, f func(*testing.T, overloadCase)) {
	t.Helper()
	for _, name := range []string{"V", "R"} {
		for _, flows := range []string{"fresh", "long"} {
			for _, factor := range factors {
				for _, load := range loads {
					t.Run(fmt.Sprintf("%s %s work x%d load %g", name, flows, factor, load), func(t *testing.T) {
						t.Parallel()
						f(t, deployment(name, load, flows == "long", factor))
					})
				}
			}
		}
	}
}

// Prints the figures of the policy as it was and of the new one, if REDWINGLEDGE_MEASURE is set.
func TestMeasureOverload(t *testing.T) {
	t.Parallel()
	if os.Getenv("REDWINGLEDGE_MEASURE") == "" {
		return // It takes more than a minute.
	}
	t.Log(rowTitle)
	measure := func(t *testing.T, c overloadCase) {
		t.Helper()
		t.Logf("%s:\nas it was | %s\nnew       | %s", t.Name(), runOverload(c).row(), runOverload(c.controlled()).row())
	}
	eachCase(t, []int{1, 5}, []float64{0.7, 1, 1.5, 2, 4, 8}, measure)
	for _, entries := range []int{27, 70, 300} {
		t.Run(fmt.Sprintf("balance, %d entries", entries), func(t *testing.T) {
			t.Parallel()
			measure(t, balanced(entries))
		})
	}
	for name, apply := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := deployment("V", 2, false, 5)
			apply(&c)
			measure(t, c)
		})
	}
}

// checkedCases runs the cases whose results the requirements are checked on. Entries and backend servers are a
// fifth of those of the deployments. Short requests fill the links of R before its slots.
func checkedCases(t *testing.T, check func(*testing.T, *overloadRun)) {
	t.Helper()
	run := func(t *testing.T, c overloadCase) {
		t.Helper()
		_, name, _ := strings.Cut(t.Name(), "/")
		check(t, runOnce(name, c.controlled().scaled()))
	}
	if os.Getenv("REDWINGLEDGE_MEASURE") != "" {
		eachCase(t, []int{1, 5}, []float64{1, 1.5, 2, 4, 8}, run)
		return
	}
	eachCase(t, []int{1}, []float64{2}, run)
	eachCase(t, []int{5}, []float64{1, 2, 8}, run)
}

// runs keeps the runs of cases that several tests check.
var runs sync.Map

func runOnce(name string, c overloadCase) *overloadRun {
	run, _ := runs.LoadOrStore(name, sync.OnceValue(func() *overloadRun { return runOverload(c) }))
	return run.(func() *overloadRun)()
}

// Guards against collapse above capacity, where slots are what is short.
func TestOverloadKeepsGoodput(t *testing.T) {
	t.Parallel()
	checkedCases(t, func(t *testing.T, r *overloadRun) {
		if !r.isLinkShort() {
			requireNoCollapse(t, r)
		}
	})
}

// Guards against collapse where the links of the entries are what is short.
func TestOverloadKeepsGoodputOfLinks(t *testing.T) {
	t.Parallel()
	checkedCases(t, func(t *testing.T, r *overloadRun) {
		if r.isLinkShort() {
			requireNoCollapse(t, r)
		}
	})
}

// Guards against links that still carry what the burst left behind a second after it, such as long flows that
// were admitted beyond what the links carry.
func TestOverloadOfLinksEnds(t *testing.T) {
	t.Parallel()
	checkedCases(t, func(t *testing.T, r *overloadRun) {
		if r.isLinkShort() {
			require.LessOrEqual(t, r.recoveryTime(), time.Second, "time until all requests are served again")
		}
	})
}

// Guards against overload control that refuses flows which are served without it: at the capacity of the slots
// the links of R carry nearly all requests.
func TestOverloadControlCostsNothingAtCapacity(t *testing.T) {
	t.Parallel()
	c := deployment("R", 1, false, 1)
	got, asItWas := runOverload(c.controlled()), runOverload(c)
	const chance = 0.01 // by which the figures differ between seeds
	require.GreaterOrEqual(t, got.goodput(got.doneWork), asItWas.goodput(asItWas.doneWork)-chance, "part that is served in time")
	require.GreaterOrEqual(t, got.goodput(got.promptWork), asItWas.goodput(asItWas.promptWork)-chance, "part that is served within the target")
}

// Guards against overload control that serves less than no control at all: refusals that take the link from
// requests, and limits that leave slots free. With REDWINGLEDGE_MEASURE set it also runs long work and more seeds.
func TestOverloadControlServesNoLess(t *testing.T) {
	t.Parallel()
	const chance = 0.02 // by which the figures of backend servers with long work differ between seeds
	factors, seeds := []int{1}, uint64(1)
	if os.Getenv("REDWINGLEDGE_MEASURE") != "" {
		factors, seeds = []int{1, 5}, 4
	}
	eachCase(t, factors, []float64{1, 1.5, 2, 4, 8}, func(t *testing.T, c overloadCase) {
		c = c.scaled()
		for c.seed = range seeds {
			got, asItWas := runOverload(c.controlled()), runOverload(c)
			require.GreaterOrEqual(t, got.goodput(got.doneWork), asItWas.goodput(asItWas.doneWork)-chance, "part that is served in time, seed %d", c.seed)
		}
	})
}

// Guards against resets of flows that a backend server has got or may still get, resets after a wait, and a rank that starves.
func TestOverloadRefusals(t *testing.T) {
	t.Parallel()
	checkedCases(t, func(t *testing.T, r *overloadRun) {
		requireRefusals(t, r)
		require.Positive(t, r.served[2], "requests of rank 2")
	})
}

// Guards against a lower rank that displaces a higher one. The higher one alone exceeds the slots from 4 times
// the capacity on.
func TestOverloadRanking(t *testing.T) {
	t.Parallel()
	checkedCases(t, func(t *testing.T, r *overloadRun) {
		if r.load > 1 && r.load < 4 {
			require.GreaterOrEqual(t, r.share(1), 0.95, "served of rank 1, with %.2f of rank 2", r.share(2))
		}
	})
}

// Guards against resets while a slot is free.
func TestOverloadLeavesNoSlotFree(t *testing.T) {
	t.Parallel()
	checkedCases(t, requireNoFreeSlots)
}

func requireNoCollapse(t *testing.T, r *overloadRun) {
	t.Helper()
	require.GreaterOrEqual(t, r.goodput(r.doneWork), 0.9, "part of what the slots can do")
	require.LessOrEqual(t, r.recoveryTime(), time.Second, "time until all requests are served again")
}

func requireRefusals(t *testing.T, r *overloadRun) {
	t.Helper()
	require.Zero(t, r.lateResets, "resets of flows that a backend server may have got")
	require.LessOrEqual(t, r.longestReset, 2*callerLatency+linkQueue+time.Millisecond, "time until a reset")
}

func requireNoFreeSlots(t *testing.T, r *overloadRun) {
	t.Helper()
	require.Zero(t, r.resetsWithFreeDataCentre, "resets with free slots in a data centre")
	require.Zero(t, r.resetsWithFreeSlot, "resets with a slot free")
}

// Guards against one reporter, or the loss of all, that changes more than its share of the decisions, and
// against new flows to a data centre that is taken out.
func TestSharedLoadFaults(t *testing.T) {
	t.Parallel()
	for name, apply := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := deployment("V", 2, false, 5).scaled()
			apply(&c)
			r := runOverload(c.controlled())
			require.Zero(t, r.placedOut, "new flows to a data centre that is taken out")
			if c.losesReports {
				require.Zero(t, r.resets[balancer.ReasonOverCapacity], "refusals without shared figures")
				asItWas := runOverload(c)
				require.GreaterOrEqual(t, r.goodput(r.doneWork), asItWas.goodput(asItWas.doneWork)-0.02, "part of what the slots can do")
				return
			}
			requireNoCollapse(t, r)
			requireRefusals(t, r)
		})
	}
}

// Guards against backend servers that get more than their share because an entry knows only its own flows.
func TestLongFlowsAreBalanced(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{27, 70} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			t.Parallel()
			requireBalance(t, entries)
		})
	}
}

// Guards against the same where each entry has a few flows only.
func TestLongFlowsOf300EntriesAreBalanced(t *testing.T) {
	t.Parallel()
	requireBalance(t, 300)
}

func requireBalance(t *testing.T, entries int) {
	t.Helper()
	require.LessOrEqual(t, runOverload(balanced(entries).controlled()).imbalance(), 1.3, "busiest backend server over the mean")
}
