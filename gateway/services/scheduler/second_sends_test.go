package scheduler

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/services/hedger"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
)

// hedging adds second attempts to a simulation.
type hedging struct {
	share float64
	// slowRequests is the share of requests that take 7 times as long wherever they run, and slowRuns
	// that of runs. The host slowServer takes 4 times as long.
	slowRequests, slowRuns float64
	slowServer             string
	hedgers                map[*gateway]*hedger.Hedger
	running                map[uint64][]Start // the attempts of each request
	sent                   map[Start]time.Time
	cancelled              map[Start]bool
	seconds                int
}

func (h *hedging) isCancelled(out Start) bool { return h != nil && h.cancelled[out] }

// dispatch records an attempt. After a first one it schedules the decision on a second one.
func (h *hedging) dispatch(s *simulation, g *gateway, out Start) {
	first := out
	if len(h.running[out.Request]) > 0 {
		first = h.running[out.Request][0]
	}
	h.running[out.Request], h.sent[out] = append(h.running[out.Request], out), s.now
	if first != out {
		if s.isMeasured(s.requests[out.Request]) {
			h.seconds++
		}
		if first.Slot.ID == out.Slot.ID {
			s.violation = fmt.Errorf("both attempts at %s", out.Slot.ID)
		}
		return
	}
	if h.hedgers[g] == nil {
		h.hedgers[g] = hedger.New(max(h.share, 1e-9))
	}
	h.hedgers[g].AddRequest()
	if delay, ok := h.hedgers[g].Delay("orders"); ok {
		s.schedule(delay, g, func() {
			if len(h.running[out.Request]) == 1 && h.hedgers[g].TryStart() {
				s.step(g, SecondSlotRequested{Request: out.Request, First: out.Slot.ID})
			}
		})
	}
}

// work returns how long an attempt takes. It depends on the request and not on other attempts, so
// that simulations with different shares have the same load.
func (h *hedging) work(out Start) time.Duration {
	rng, run := rand.New(rand.NewPCG(out.Request, 0)), rand.New(rand.NewPCG(out.Request, uint64(len(h.running[out.Request]))))
	work := time.Duration(rng.ExpFloat64() * float64(simServiceTime))
	if rng.Float64() < h.slowRequests || run.Float64() < h.slowRuns {
		work *= 7
	}
	if out.Slot.ID.Host == h.slowServer {
		work *= 4
	}
	return work
}

// finish observes a response and cancels the other attempt of its request.
func (h *hedging) finish(s *simulation, g *gateway, out Start) {
	attempts := h.running[out.Request]
	delete(h.running, out.Request)
	s.step(g, RequestCancelled{Service: "orders", Request: out.Request})
	h.hedgers[g].Observe("orders", s.now.Sub(h.sent[attempts[0]]), attempts[0] == out)
	for i, loser := range attempts {
		if loser == out {
			continue
		}
		h.cancelled[loser] = true
		returned := SlotReturned{Slot: loser.Slot, Result: leaseholder.ResultUnused}
		if i == 0 {
			returned.Result, returned.Latency = leaseholder.ResultOvertaken, s.now.Sub(h.sent[loser])
		}
		s.schedule(10*time.Millisecond, g, func() { s.step(g, returned) }) // as in the dispatcher
		srv := s.servers[loser.Slot.ID]
		s.schedule(s.delay(g.dataCentre, srv.record.DataCentre), nil, func() {
			for run := range srv.executions {
				if run.out == loser {
					delete(srv.executions, run)
					srv.running--
				}
			}
		})
	}
}

// Guards against second attempts that exceed the slots or their share, that have no effect, or that
// run while requests wait above the capacity. REDWINGLEDGE_MEASURE measures more cases for longer.
func TestMeasureSecondSends(t *testing.T) {
	t.Parallel()
	cases, loads, shares, duration := []hedging{{slowRuns: 0.03}}, []float64{0.3, 1.5}, []float64{0, 0.05}, 20*time.Second
	if os.Getenv("REDWINGLEDGE_MEASURE") != "" {
		cases = append(cases, hedging{slowRequests: 0.03}, hedging{slowServer: "h03"})
		loads, shares, duration = []float64{0.3, 0.7, 1.5}, []float64{0, 0.01, 0.02, 0.05}, 2*time.Minute
	}
	for _, c := range cases {
		fullLoad := capacity / (1 + 6*(c.slowRequests+c.slowRuns))
		if c.slowServer != "" {
			fullLoad = capacity * 13.25 / 14
		}
		for _, load := range loads {
			p99 := make(map[float64]time.Duration)
			for _, share := range shares {
				h := hedging{share: share, slowRequests: c.slowRequests, slowRuns: c.slowRuns, slowServer: c.slowServer}
				h.hedgers, h.running, h.sent, h.cancelled = make(map[*gateway]*hedger.Hedger), make(map[uint64][]Start), make(map[Start]time.Time), make(map[Start]bool)
				s := newSimulation(1, 14, newMachine)
				s.hedging, s.deadline, s.arrivals = &h, 2500*time.Millisecond, rand.New(rand.NewPCG(1, 9))
				s.result.from, s.result.to = s.start.Add(warmUpTime), s.start.Add(warmUpTime+duration)
				s.addLoad("m", load*fullLoad, warmUpTime+duration)
				s.run(warmUpTime + duration + s.deadline)
				p99[share] = s.result.percentile("", 0.99)
				t.Logf("slow: %g of requests, %g of runs, server %q; load %.1f, share %.2f: %.2f%% extra runs, p50 %d, p99 %d, p99.9 %d ms of %d", c.slowRequests, c.slowRuns, c.slowServer, load, share,
					s.result.percentOfOffered(h.seconds), s.result.percentile("", 0.5).Milliseconds(), p99[share].Milliseconds(), s.result.percentile("", 0.999).Milliseconds(), s.result.offered)
				require.NoError(t, s.violation)
				require.Zero(t, s.result.shed)
				require.LessOrEqual(t, float64(h.seconds), share*float64(s.result.offered)+8*10, "the share and a full bucket at each gateway")
				require.True(t, load < 1 || h.seconds*1000 < s.result.offered)
			}
			require.True(t, c.slowRuns == 0 || load > 0.5 || p99[0.05] < p99[0])
		}
	}
}
