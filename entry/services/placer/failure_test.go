package placer

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// seeds returns the seeds 1 to n followed by the regressions, or the seeds that PLACER_SEED gives
// as N or N-M.
func seeds(t *testing.T, n uint64, regressions ...uint64) []uint64 {
	first, last := uint64(1), n
	if text := os.Getenv("PLACER_SEED"); text != "" {
		if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
			if _, err := fmt.Sscanf(text, "%d", &first); err != nil {
				t.Fatalf("PLACER_SEED: %v", err)
			}
			last = first
		}
		regressions = nil
	}
	var list []uint64
	for seed := first; seed <= last; seed++ {
		list = append(list, seed)
	}
	return append(list, regressions...)
}

func report(t *testing.T, n *network, seed uint64) {
	t.Helper()
	t.Logf("seed %d: %d packets of %d flows, %d delivered, %d at a wrong service, %d dropped %v, %d lost; broken flows: %d, modulo %d, rendezvous %d",
		seed, n.packets, len(n.flows), n.delivered, n.wrongService, n.dropped, n.drops, n.lost, n.broken, n.brokenModulo, n.brokenRendezvous)
	if n.wrongService > 0 {
		t.Errorf("%d packets at a wrong service; rerun with PLACER_SEED=%d", n.wrongService, seed)
	}
}

// plannedChanges are changes that must not break a flow.
var plannedChanges = map[string]func(*network){
	"backend servers drain and join": func(n *network) {
		n.drain(n.rng.IntN(14))
		n.after(8*time.Second, func() { n.drain(n.rng.IntN(14)) })
		n.after(12*time.Second, func() { n.joinBackend(0, 20) })
		n.after(20*time.Second, func() { n.setBackend(1, n.rng.IntN(4), announcer.StateDraining, announcer.RampSteps) })
		n.after(50*time.Second, func() { n.drain(3) })
		n.after(52*time.Second, func() { n.setBackend(0, 3, announcer.StateReady, announcer.RampSteps) })
	},
	"an entry restarts during drains": func(n *network) {
		n.drain(n.rng.IntN(14))
		e := n.nodes[n.rng.IntN(8)]
		n.after(n.randomDuration(6*time.Second), func() { n.stopEntry(e) })
		n.after(25*time.Second, func() { n.startEntry(e) })
		n.after(25*time.Second+n.randomDuration(2*time.Second), func() { n.drain(n.rng.IntN(14)) })
	},
	"an entry joins during a drain": func(n *network) {
		n.drain(n.rng.IntN(14))
		n.after(n.randomDuration(8*time.Second), func() {
			n.nodes = append(n.nodes, &node{name: "entry-new"})
			n.startEntry(n.nodes[len(n.nodes)-1])
		})
		n.after(n.randomDuration(20*time.Second), func() { n.drain(n.rng.IntN(14)) })
	},
	"an entry freezes during drains": func(n *network) {
		n.drain(n.rng.IntN(14))
		for range 2 {
			e := n.nodes[n.rng.IntN(8)]
			n.after(n.randomDuration(30*time.Second), func() {
				e.frozenUntil = n.now.Add(1100*time.Millisecond + n.randomDuration(2*time.Second))
			})
		}
		n.after(n.randomDuration(30*time.Second), func() { n.drain(n.rng.IntN(14)) })
	},
	"everything at once": func(n *network) {
		for range 3 {
			n.after(n.randomDuration(50*time.Second), func() { n.drain(n.rng.IntN(14)) })
			n.after(n.randomDuration(50*time.Second), func() { n.setBackend(0, n.rng.IntN(14), announcer.StateReady, announcer.RampSteps) })
		}
		n.after(n.randomDuration(30*time.Second), func() { n.joinBackend(0, 20) })
		e := n.nodes[n.rng.IntN(8)]
		n.after(n.randomDuration(20*time.Second), func() { n.stopEntry(e) })
		n.after(35*time.Second+n.randomDuration(10*time.Second), func() { n.startEntry(e) })
		f := n.nodes[n.rng.IntN(8)]
		n.after(n.randomDuration(50*time.Second), func() {
			if f != e {
				f.frozenUntil = n.now.Add(1100*time.Millisecond + n.randomDuration(2*time.Second))
			}
		})
	},
}

// plannedRegressions are seeds that once broke a flow. 45: a round ended early after only some
// entries had received an exception, which was then treated as known to all. 5: an entry relayed a copy of an
// opening packet after the flow had ended, and the owner placed it again.
var plannedRegressions = []uint64{45, 5}

// Guards against entries that disagree about a flow while the view changes, and against packets to
// a backend server of another service.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	for name, change := range plannedChanges {
		for _, seed := range seeds(t, 3, plannedRegressions...) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				n := newNetwork(seed, 8)
				n.run(10 * time.Second)
				n.openFlows(60, 85*time.Second, 25*time.Second)
				n.run(15 * time.Second)
				change(n)
				n.run(75 * time.Second)
				report(t, n, seed)
				if n.broken > 0 {
					t.Errorf("%d broken flows, want 0; rerun with PLACER_SEED=%d", n.broken, seed)
				}
			})
		}
	}
}

// Checks that the sudden death of an entry during a drain breaks fewer flows than plain rendezvous
// hashing, and logs the numbers.
func TestEntryDeath(t *testing.T) {
	for _, seed := range seeds(t, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(seed, 8)
			n.run(10 * time.Second)
			n.openFlows(60, 55*time.Second, 25*time.Second)
			n.run(15 * time.Second)
			n.drain(n.rng.IntN(14))
			n.after(n.randomDuration(8*time.Second), func() { n.killEntry(n.nodes[n.rng.IntN(8)]) })
			n.run(45 * time.Second)
			report(t, n, seed)
			if n.broken >= n.brokenRendezvous {
				t.Errorf("%d broken flows, not fewer than with plain rendezvous hashing; rerun with PLACER_SEED=%d", n.broken, seed)
			}
		})
	}
}

// lateAnswerRegressions are seeds that once broke a flow. 96 and 109: copies handed over by a
// leaving entry were lost and not sent again. 14: flows that began during the hand-over were left
// out while its queue was full.
var lateAnswerRegressions = []uint64{14, 96, 109}

// Guards against guessing the target of a flow: on a busy machine the only peer that knows a flow
// may answer after the query timeout, and a packet sent to another backend server breaks the flow.
func TestLateAnswersBreakNoFlow(t *testing.T) {
	for _, seed := range seeds(t, 10, lateAnswerRegressions...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(seed, 2)
			n.run(10 * time.Second)
			n.openFlows(60, 40*time.Second, 25*time.Second)
			n.run(15 * time.Second)
			n.drain(1)
			n.after(2*n.activationDelay, func() { n.drain(2) })
			n.after(time.Second, func() { n.stopEntry(n.nodes[0]) })
			n.after(9*time.Second, func() { n.startEntry(n.nodes[0]) })
			for at := 10 * time.Second; at < 30*time.Second; at += 500 * time.Millisecond {
				n.after(at, func() {
					n.nodes[1].frozenUntil = n.now.Add(200*time.Millisecond + n.randomDuration(200*time.Millisecond))
				})
			}
			n.run(45 * time.Second)
			report(t, n, seed)
			if n.broken > 0 {
				t.Errorf("%d broken flows, want 0; rerun with PLACER_SEED=%d", n.broken, seed)
			}
		})
	}
}

// rampRegressions are seeds that once broke a flow. 10, 60, 84 and 86: with two entries, the one
// that stayed did not query the one that was leaving, which owned no flows any more, and guessed.
// 418: an entry guessed the target of a UDP flow while the only entry that knew it was frozen for
// 0.1 s.
var rampRegressions = []uint64{10, 60, 84, 86, 418}

// Guards against flows broken by a restart under load, as in the demonstration: on a busy machine,
// many flows begin within 30 ms before one of two entries restarts, after a drain and while backend
// servers ramp up.
func TestRestartWhileServersRampBreaksNoFlow(t *testing.T) {
	for _, seed := range seeds(t, 10, rampRegressions...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(seed, 2)
			n.activationDelay, n.gaps = time.Second, []time.Duration{20 * time.Millisecond}
			ramp := func(first int, step uint8) {
				for i := first; i < 4; i++ {
					n.setBackend(0, i, announcer.StateReady, step)
				}
			}
			ramp(0, 1)
			n.run(8 * time.Second)
			n.drain(0)
			n.run(1900 * time.Millisecond)
			ramp(1, 2)
			n.run(700*time.Millisecond + n.randomDuration(500*time.Millisecond))
			n.openFlows(1500, 30*time.Millisecond, 15*time.Second)
			n.run(40 * time.Millisecond)
			n.stopEntry(n.nodes[0])
			n.after(3100*time.Millisecond, func() { n.startEntry(n.nodes[0]) })
			n.after(3900*time.Millisecond, func() { ramp(1, 3) })
			for at := time.Duration(0); at < 9*time.Second; at += 250 * time.Millisecond {
				e := n.nodes[n.rng.IntN(2)]
				n.after(at, func() { e.frozenUntil = n.now.Add(n.randomDuration(150 * time.Millisecond)) })
			}
			n.run(15 * time.Second)
			report(t, n, seed)
			if n.broken > 0 {
				t.Errorf("%d broken flows, want 0; rerun with PLACER_SEED=%d", n.broken, seed)
			}
		})
	}
}
