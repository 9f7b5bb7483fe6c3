package placer

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// seeds returns the seeds 1 to n and those that failed before, or the seeds that
// PLACER_SEED names as N or N-M.
func seeds(t *testing.T, n uint64, failed ...uint64) []uint64 {
	first, last := uint64(1), n
	if text := os.Getenv("PLACER_SEED"); text != "" {
		if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
			if _, err := fmt.Sscanf(text, "%d", &first); err != nil {
				t.Fatalf("PLACER_SEED: %v", err)
			}
			last = first
		}
		failed = nil
	}
	var list []uint64
	for seed := first; seed <= last; seed++ {
		list = append(list, seed)
	}
	return append(list, failed...)
}

func report(t *testing.T, n *network, seed uint64) {
	t.Helper()
	t.Logf("seed %d: %d packets of %d flows, %d delivered, %d at a wrong service, %d dropped %v, %d lost; broken flows: %d, modulo %d, rendezvous %d",
		seed, n.packets, len(n.flows), n.delivered, n.wrongService, n.dropped, n.drops, n.lost, n.broken, n.brokenModulo, n.brokenRendezvous)
	if n.wrongService > 0 {
		t.Errorf("%d packets at a wrong service; rerun with PLACER_SEED=%d", n.wrongService, seed)
	}
}

// planned are changes that must not break a flow.
var planned = map[string]func(*network){
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
		n.after(n.within(6*time.Second), func() { n.stopEntry(e) })
		n.after(25*time.Second, func() { n.startEntry(e) })
		n.after(25*time.Second+n.within(2*time.Second), func() { n.drain(n.rng.IntN(14)) })
	},
	"an entry joins during a drain": func(n *network) {
		n.drain(n.rng.IntN(14))
		n.after(n.within(8*time.Second), func() {
			n.nodes = append(n.nodes, &node{name: "entry-new"})
			n.startEntry(n.nodes[len(n.nodes)-1])
		})
		n.after(n.within(20*time.Second), func() { n.drain(n.rng.IntN(14)) })
	},
	"an entry freezes during drains": func(n *network) {
		n.drain(n.rng.IntN(14))
		for range 2 {
			e := n.nodes[n.rng.IntN(8)]
			n.after(n.within(30*time.Second), func() {
				e.frozenUntil = n.now.Add(1100*time.Millisecond + n.within(2*time.Second))
			})
		}
		n.after(n.within(30*time.Second), func() { n.drain(n.rng.IntN(14)) })
	},
	"everything at once": func(n *network) {
		for range 3 {
			n.after(n.within(50*time.Second), func() { n.drain(n.rng.IntN(14)) })
			n.after(n.within(50*time.Second), func() { n.setBackend(0, n.rng.IntN(14), announcer.StateReady, announcer.RampSteps) })
		}
		n.after(n.within(30*time.Second), func() { n.joinBackend(0, 20) })
		e := n.nodes[n.rng.IntN(8)]
		n.after(n.within(20*time.Second), func() { n.stopEntry(e) })
		n.after(35*time.Second+n.within(10*time.Second), func() { n.startEntry(e) })
		f := n.nodes[n.rng.IntN(8)]
		n.after(n.within(50*time.Second), func() {
			if f != e {
				f.frozenUntil = n.now.Add(1100*time.Millisecond + n.within(2*time.Second))
			}
		})
	},
}

// failedPlanned are seeds that broke a flow. 45: an exception that an early ended round
// had told to some entries only was taken for common knowledge.
var failedPlanned = []uint64{45}

// Guards against entries that disagree about a flow while the view changes, and
// against packets at a wrong service.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	for name, change := range planned {
		for _, seed := range seeds(t, 3, failedPlanned...) {
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

// Prints the flows that the sudden death of one entry breaks during a drain, next to
// plain hashing.
func TestEntryDeath(t *testing.T) {
	for _, seed := range seeds(t, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(seed, 8)
			n.run(10 * time.Second)
			n.openFlows(60, 55*time.Second, 25*time.Second)
			n.run(15 * time.Second)
			n.drain(n.rng.IntN(14))
			n.after(n.within(8*time.Second), func() { n.killEntry(n.nodes[n.rng.IntN(8)]) })
			n.run(45 * time.Second)
			report(t, n, seed)
			if n.broken >= n.brokenRendezvous {
				t.Errorf("%d broken flows, not fewer than with plain rendezvous hashing; rerun with PLACER_SEED=%d", n.broken, seed)
			}
		})
	}
}

// failedLate are seeds that broke a flow. 96 and 109: copies that a leaving entry handed
// over were lost and not sent again. 14: flows that began during the hand-over were left
// out while its queue was full.
var failedLate = []uint64{14, 96, 109}

// Guards against a guess where a flow is: on a busy machine the only peer that knows a
// flow may answer later than the query limit, and a packet sent elsewhere ends the flow.
func TestLateAnswersBreakNoFlow(t *testing.T) {
	for _, seed := range seeds(t, 10, failedLate...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(seed, 2)
			n.run(10 * time.Second)
			n.openFlows(60, 40*time.Second, 25*time.Second)
			n.run(15 * time.Second)
			n.drain(1)
			n.after(2*n.hold, func() { n.drain(2) })
			n.after(time.Second, func() { n.stopEntry(n.nodes[0]) })
			n.after(9*time.Second, func() { n.startEntry(n.nodes[0]) })
			for at := 10 * time.Second; at < 30*time.Second; at += 500 * time.Millisecond {
				n.after(at, func() { n.nodes[1].frozenUntil = n.now.Add(200*time.Millisecond + n.within(200*time.Millisecond)) })
			}
			n.run(45 * time.Second)
			report(t, n, seed)
			if n.broken > 0 {
				t.Errorf("%d broken flows, want 0; rerun with PLACER_SEED=%d", n.broken, seed)
			}
		})
	}
}

// failedRamp are seeds that broke a flow. 10, 60, 84, 86: with two entries, the one that
// stayed did not ask the one that left, as it owned nothing any more, and guessed. 418: an
// entry guessed where a flow of UDP was while the one that knew it stood still for 0.1 s.
var failedRamp = []uint64{10, 60, 84, 86, 418}

// Load: many flows begin within 30 ms before one of two entries is restarted, after a drain
// and while backend servers ramp, on a busy machine. The demonstration does just that.
func TestRestartWhileServersRampBreaksNoFlow(t *testing.T) {
	for _, seed := range seeds(t, 10, failedRamp...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(seed, 2)
			n.hold, n.gaps = time.Second, []time.Duration{20 * time.Millisecond}
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
			n.run(700*time.Millisecond + n.within(500*time.Millisecond))
			n.openFlows(1500, 30*time.Millisecond, 15*time.Second)
			n.run(40 * time.Millisecond)
			n.stopEntry(n.nodes[0])
			n.after(3100*time.Millisecond, func() { n.startEntry(n.nodes[0]) })
			n.after(3900*time.Millisecond, func() { ramp(1, 3) })
			for at := time.Duration(0); at < 9*time.Second; at += 250 * time.Millisecond {
				e := n.nodes[n.rng.IntN(2)]
				n.after(at, func() { e.frozenUntil = n.now.Add(n.within(150 * time.Millisecond)) })
			}
			n.run(15 * time.Second)
			report(t, n, seed)
			if n.broken > 0 {
				t.Errorf("%d broken flows, want 0; rerun with PLACER_SEED=%d", n.broken, seed)
			}
		})
	}
}
