package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/explainer"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

// explained is a Balancer with a random load of flows, requests, copies, drained and cold backend servers.
type explained struct {
	*balancer.Balancer
	random *rand.Rand
	now    time.Time
	index  uint64
	open   map[netip.AddrPort]director.Token
	// sources counts the callers so far.
	sources int
}

func newExplained(seed uint64, overload *admitter.Settings) *explained {
	e := &explained{
		Balancer: balancer.New(balancer.Settings{Name: "e1", DataCentre: "a", MaxFlows: 1000, Overload: overload}, rand.New(rand.NewPCG(seed, 1))),
		random:   rand.New(rand.NewPCG(seed, 2)), now: start, open: make(map[netip.AddrPort]director.Token),
	}
	shares := []director.Share{{Service: "orders", Weight: 3}, {Service: "stock", Weight: 1}}
	changes := []director.Change{
		director.RouteChanged{Route: director.Route{Address: route, Priority: 2, Shares: shares}},
		director.RouteChanged{Route: director.Route{Address: other, Priority: 5, Shares: shares}},
		director.VersionChanged{Version: 1},
		director.EntryAdded{Name: "e1"},
		director.ServiceChanged{Name: "stock", ColdRate: 20},
	}
	for token := director.Token(1); token <= 12; token++ {
		changes = append(changes, director.ServerChanged{Server: e.server(token)})
	}
	// A complete view is applied in random order, which decides ties.
	e.Update(1, changes, false, start)
	return e
}

func (e *explained) server(token director.Token) director.Server {
	return server(token, []string{"orders", "stock"}[token%2], []string{"a", "b", "c"}[token%3])
}

// recentSource returns one of the last 100 callers.
func (e *explained) recentSource() int { return max(e.sources-e.random.IntN(100), 0) }

// opening returns an opening packet of a caller, each second of which uses the route of the lower rank.
func (e *explained) opening(i int, retransmissions uint32) balancer.Packet {
	return balancer.Packet{
		Source: callerAddress(i), Destination: []netip.AddrPort{route, other}[i%2], IsOpening: true, Retransmissions: retransmissions, Size: 108, ResetSize: 100,
	}
}

// step changes the load at random and returns the opening packet of a new flow, or at times of a recent one.
func (e *explained) step() balancer.Packet {
	e.now = e.now.Add(time.Duration(e.random.IntN(30)) * time.Millisecond)
	for range e.random.IntN(5) {
		i := e.recentSource()
		p := e.opening(i, 1+e.random.Uint32N(2))
		if isOutage := e.index%400 > 250; e.open[p.Source] != 0 && !isOutage {
			p = balancer.Packet{Source: p.Source, Destination: p.Destination, Token: e.open[p.Source], HasData: true, Acknowledged: e.random.Uint32N(3), Size: 300}
		}
		e.Decide(p, e.now)
	}
	e.index++
	changed := e.server(director.Token(1 + e.random.IntN(12)))
	dataCentres := []string{"a", "b", "c"}
	switch e.random.IntN(40) {
	case 0:
		changed.State = []director.State{director.StateLapsed, director.StateDraining, director.StateReady}[e.random.IntN(3)]
		e.Update(1+e.index, []director.Change{director.ServerChanged{Server: changed}}, false, e.now)
	case 1:
		changed.ColdStart = time.Second
		e.Update(1+e.index, []director.Change{director.ServerChanged{Server: changed}}, false, e.now)
	case 2:
		e.Update(1+e.index, []director.Change{director.DataCentreChanged{Name: dataCentres[e.random.IntN(3)], TakenOut: e.random.IntN(3) > 0}}, false, e.now)
	case 3:
		load := loadsharer.Load{Arrivals: []loadsharer.ServiceArrivals{{Service: "orders", PerSecond: 500}}}
		for _, dataCentre := range dataCentres {
			load.Groups = append(load.Groups, loadsharer.GroupLoad{Service: "orders", DataCentre: dataCentre, Requests: e.random.Uint32N(60)})
		}
		e.SetSharedLoad(loadsharer.Summary{Load: load}, e.now)
	}
	if e.random.IntN(10) == 0 {
		return e.opening(e.recentSource(), 0)
	}
	e.sources++
	return e.opening(e.sources, 0)
}

func (e *explained) openFlow(p balancer.Packet) balancer.Verdict {
	v := e.Decide(p, e.now)
	if v.Action == balancer.ActionForward {
		e.open[p.Source] = v.Server.Token
	}
	return v
}

// requireExplained requires that an explanation allows the verdict that followed it.
func requireExplained(t *testing.T, e explainer.Explanation, v balancer.Verdict) {
	t.Helper()
	require.Len(t, e.Outcomes, 1)
	o := e.Outcomes[0]
	if v.Action != balancer.ActionForward {
		require.Equal(t, v.Reason.String(), o.Reason, "%+v", o)
		require.Equal(t, map[balancer.Action]string{balancer.ActionDrop: explainer.ActionDrop, balancer.ActionReset: explainer.ActionReset}[v.Action], o.Action)
		return
	}
	require.Equal(t, explainer.ActionForward, o.Action, o.Reason)
	require.Equal(t, v.Server.Service, o.Service)
	total, isTarget := 0.0, false
	for _, target := range o.DataCentres {
		total += target.Probability
		if target.Name == v.Server.DataCentre && (target.Candidates > 1 || target.Server == v.Server.Address) {
			isTarget = isTarget || target.Probability > 0
		}
	}
	require.True(t, isTarget, "%s in %+v", v.Server.Address, o)
	require.InDelta(t, 1, total, 1e-9)
}

// Guards against an explanation that changes later decisions, and against one that the next decision refutes.
func TestExplain(t *testing.T) {
	t.Parallel()
	for name, overload := range map[string]*admitter.Settings{"no limits": nil, "slots": {LowestShare: 0.1}, "slots and link": {LinkRate: 100_000, LowestShare: 0.1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// complete counts the seeds that meet each kind of refusal, which is chance.
			var complete atomic.Int32
			t.Cleanup(func() {
				if name == "slots and link" {
					require.GreaterOrEqual(t, complete.Load(), int32(2), "seeds with each kind of refusal")
				}
			})
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
					t.Parallel()
					seen := requireExplanations(t, seed, overload)
					require.Greater(t, seen["forward "], 300, seen)
					if seen["reset over_capacity"] > 0 && seen["reset link_full"] > 0 && seen["reset unreachable"] > 0 && seen["reset no_server"] > 0 {
						complete.Add(1)
					}
				})
			}
		})
	}
}

// requireExplanations requires that the explanations before 1,800 decisions allow these and change none. It returns the
// number of decisions by outcome.
func requireExplanations(t *testing.T, seed uint64, overload *admitter.Settings) map[string]int {
	t.Helper()
	asked, plain := newExplained(seed, overload), newExplained(seed, overload)
	seen := make(map[string]int)
	for step := range 1800 {
		p := asked.step()
		require.Equal(t, p, plain.step())
		for n := range map[bool]int{true: 100, false: 1}[step%500 == 0] {
			asked.Explain(route, callerAddress(n), asked.now)
			asked.Explain(route, netip.AddrPort{}, asked.now)
		}
		explanation := asked.Explain(p.Destination, p.Source, asked.now)
		v := asked.openFlow(p)
		require.Equal(t, plain.openFlow(p), v)
		requireExplained(t, explanation, v)
		seen[explanation.Outcomes[0].Action+" "+explanation.Outcomes[0].Reason]++
	}
	want, got := plain.LoadReport(true, plain.now), asked.LoadReport(true, asked.now)
	require.ElementsMatch(t, want.Groups, got.Groups)
	require.ElementsMatch(t, want.Arrivals, got.Arrivals)
	require.Equal(t, want.Servers, got.Servers)
	return seen
}

// Guards against an answer without the reason, the weights or the probability of spilling over.
func TestExplainOutcomes(t *testing.T) {
	t.Parallel()
	t.Run("without a view", func(t *testing.T) {
		t.Parallel()
		e := balancer.New(balancer.Settings{}, rand.New(rand.NewPCG(1, 1))).Explain(route, caller, start)
		require.Equal(t, "no_view", e.Outcomes[0].Reason)
		require.False(t, e.View.IsKnown)
	})
	t.Run("without a route", func(t *testing.T) {
		t.Parallel()
		require.Equal(t, "no_route", newBalancer(t).Explain(other, caller, start).Outcomes[0].Reason)
		require.Equal(t, "stale_view", newBalancer(t).Explain(other, caller, start.Add(time.Minute)).Outcomes[0].Reason)
	})
	t.Run("without a source the weights share the probability", func(t *testing.T) {
		t.Parallel()
		e := newExplained(1, nil)
		got := e.Explain(route, netip.AddrPort{}, start)
		require.Len(t, got.Outcomes, 2)
		require.Equal(t, []float64{0.75, 0.25}, []float64{got.Outcomes[0].Probability, got.Outcomes[1].Probability})
		require.Contains(t, got.Chances[0], "the address of the caller, which is not given")
	})
	t.Run("an overloaded local data centre spills over", func(t *testing.T) {
		t.Parallel()
		b := newLimitingBalancer(t)
		b.SetSharedLoad(summary(0), start)
		got := b.Explain(route, caller, start)
		require.InDelta(t, 46.0/50, got.Outcomes[0].SpillProbability, 1e-9)
		require.Equal(t, "b", got.Outcomes[0].DataCentres[0].Name)
		require.Contains(t, got.Chances[0], "with probability 0.92")
		centre := got.Services[0].DataCentres[0]
		require.True(t, centre.IsLocal)
		require.Equal(t, []int{2, 4, 0}, []int{centre.Servers, centre.Slots, centre.OwnRequests})
		require.InDelta(t, 50, centre.Requests, 1e-9)
	})
}
