package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against members, records and versions that do not spread in time. The
// hold time of a view change is 1 s; a configuration must be in force in 3 s.
func TestSpread(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(t, seed)
			n.addAll(8, 4)
			n.run(20 * time.Second)
			want := record("host-1", 1)
			n.step(n.nodes[3], RecordChanged{Record: want})
			took := n.until(time.Second, "record at all nodes", func() bool { return n.allHold(want) })
			n.step(n.nodes[0], VersionChanged{Version: 5})
			tookVersion := n.until(3*time.Second, "version at all nodes", func() bool { return n.allAt(5) })
			t.Logf("record %s version %s", took, tookVersion)
		})
	}
}

// Guards against live members that are declared dead because messages get lost.
func TestNoFalseDeathsUnderLoss(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(t, seed)
			n.addAll(8, 4)
			n.loss = 0.1
			n.run(10 * time.Minute)
			suspicions := uint64(0)
			for _, v := range n.nodes {
				suspicions += v.Counts().Suspicions
				require.Zero(t, v.Counts().Deaths, v.self.Name)
				require.Zero(t, v.removals, v.self.Name)
			}
			require.NotZero(t, suspicions, "without suspicions the test shows nothing")
		})
	}
}

// forSeeds runs a test of a failure with several seeds.
func forSeeds(t *testing.T, count uint64, run func(n *network)) {
	t.Helper()
	t.Parallel()
	for seed := range count {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(newNetwork(t, seed))
		})
	}
}

// Guards against a death that some nodes do not learn of in time: detection takes
// one round of probes, 1 s for the probe, 3 s of suspicion and the spread.
func TestDeathIsLearned(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 2)
		n.run(10 * time.Second)
		n.nodes[5].stopped = true
		n.until(12*time.Second, "death known to all", func() bool { return n.allSee(7) })
	})
}

// Guards against a departure that waits for a suspicion to time out.
func TestLeavingIsLearned(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 4)
		n.run(10 * time.Second)
		n.step(n.nodes[5], Leave{})
		n.until(time.Second, "departure known to all", func() bool { return n.allSee(7) })
		n.nodes[5].stopped = true
		n.run(30 * time.Second)
		require.True(n.t, n.allSee(7))
		for _, v := range n.nodes {
			require.Zero(n.t, v.Counts().Suspicions, v.self.Name)
		}
	})
}

// Guards against two sides of a cut that do not find each other again, or that
// keep different records after it.
func TestTwoWayCutHeals(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 4)
		isFar := func(v *node) bool { return v.self.DataCentre == "dc-3" }
		n.cut = func(from, to *node) bool { return isFar(from) != isFar(to) }
		n.until(30*time.Second, "both sides alone", func() bool {
			for _, v := range n.nodes {
				if (isFar(v) && len(v.live) != 2) || (!isFar(v) && len(v.live) != 6) {
					return false
				}
			}
			return true
		})
		near, far := record("near", 1), record("far", 1)
		n.step(n.nodes[0], RecordChanged{Record: near})
		n.step(n.nodes[3], RecordChanged{Record: far})
		n.step(n.nodes[0], VersionChanged{Version: 9})
		n.run(time.Minute)
		n.cut = nil
		n.until(15*time.Second, "all see all again", func() bool { return n.allSee(8) })
		n.until(10*time.Second, "all hold all again", func() bool {
			return n.allHold(near) && n.allHold(far) && n.allAt(9)
		})
	})
}

// Guards against the death of a node that only one peer cannot reach.
func TestOneWayCutKillsNobody(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 2)
		n.cut = func(from, to *node) bool { return from == n.nodes[0] && to == n.nodes[2] }
		n.run(5 * time.Minute)
		for _, v := range n.nodes {
			require.Zero(n.t, v.Counts().Deaths, v.self.Name)
		}
		require.True(n.t, n.allSee(8))
	})
}

// Guards against a node that is taken for dead forever after a freeze, and
// against one that takes its peers for dead when it thaws.
func TestFreezeAndThaw(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 4)
		frozen := n.nodes[4]
		frozen.frozen = true
		n.run(30 * time.Second)
		for _, v := range n.nodes {
			require.True(n.t, v == frozen || len(v.live) == 7, v.self.Name)
		}
		want := record("host-1", 1)
		n.step(n.nodes[0], RecordChanged{Record: want})
		frozen.majority = false
		n.thaw(frozen)
		n.until(10*time.Second, "all see all again", func() bool { return n.allSee(8) && n.allHold(want) && frozen.majority })
		require.Equal(n.t, uint64(1), frozen.Counts().Thaws)
		require.Zero(n.t, frozen.Counts().Deaths)
	})
}

// Guards against a restarted node that its peers ignore because they hold it for
// the former process, or for dead, also when its clock went back.
func TestRestart(t *testing.T) {
	for name, incarnation := range map[string]func(former uint64) uint64{
		"later":           func(former uint64) uint64 { return former + 60_000 },
		"clock went back": func(former uint64) uint64 { return former - 60_000 },
	} {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, 5, func(n *network) {
				n.addAll(8, 4)
				want := record("host-1", 1)
				n.step(n.nodes[1], RecordChanged{Record: want})
				for _, pause := range []time.Duration{time.Second, 20 * time.Second} {
					former := n.nodes[6]
					former.stopped = true
					n.run(pause)
					restarted := n.restart(former, incarnation(former.self.Incarnation))
					n.until(15*time.Second, "all see the new process", func() bool {
						for _, v := range n.nodes {
							if p := v.members[restarted.self.Name]; !v.stopped && v != restarted && (p == nil || !p.isLive() || p.Incarnation != restarted.self.Incarnation) {
								return false
							}
						}
						return n.allSee(8) && n.allHold(want) && restarted.majority
					})
					n.nodes[6] = restarted
				}
			})
		})
	}
}

// Guards against a second process that fights for a name without end.
func TestNameConflictEnds(t *testing.T) {
	forSeeds(t, 5, func(n *network) {
		n.addAll(8, 4)
		settings := n.nodes[3].settings
		settings.Address, settings.Incarnation = address(100), settings.Incarnation+1000
		n.start(settings)
		n.run(30 * time.Second)
		require.NotZero(n.t, n.nodes[3].Counts().NameConflicts)
		raised := n.nodes[8].self.Incarnation - settings.Incarnation
		require.Less(n.t, raised, uint64(3))
	})
}

// Guards against an older record that replaces a newer one, whatever the order in
// which they arrive, and against rumours that loss keeps from a node for good.
func TestRecordsConverge(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 4)
		n.loss, n.jitter = 0.3, 500*time.Millisecond
		last := record("host-1", 40)
		for i := range uint64(40) {
			n.step(n.nodes[n.random.IntN(8)], RecordChanged{Record: record("host-1", i+1)})
			n.run(50 * time.Millisecond)
		}
		n.step(n.nodes[2], RecordChanged{Record: record("host-1", 7)})
		n.until(time.Minute, "newest record at all nodes", func() bool { return n.allHold(last) })
		for _, v := range n.nodes {
			for _, out := range v.events {
				if updated, ok := out.(RecordUpdated); ok {
					require.LessOrEqual(n.t, updated.Record.Sequence, uint64(40))
				}
			}
		}
	})
}

// Guards against dropped records that come back from peers that kept them longer.
func TestLapsedRecordsAreForgotten(t *testing.T) {
	n := newNetwork(t, 1)
	n.addAll(4, 2)
	n.step(n.nodes[0], RecordChanged{Record: record("host-1", 1).WithLapsed(true)})
	for _, v := range n.nodes {
		v.frozen = true
	}
	n.run(retention)
	for _, v := range n.nodes {
		n.thaw(v)
	}
	n.run(3 * time.Minute)
	for _, v := range n.nodes {
		require.Empty(t, v.Records(), v.self.Name)
	}
	n.add(4, 2)
	n.run(10 * time.Minute)
	for _, v := range n.nodes {
		require.Empty(t, v.Records(), v.self.Name)
	}
}
