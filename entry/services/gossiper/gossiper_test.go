package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against members, records and versions that spread too slowly. The activation delay
// of a view change is 1 s; a configuration must be in force within 3 s.
func TestChangesSpreadInTime(t *testing.T) {
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

// Guards against live members that are declared dead because of message loss.
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

// forSeeds runs a test once for each seed, in parallel.
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

// Guards against a death that some nodes do not detect or receive in time: it takes one
// round of probes, 1 s for the probe, 3 s of suspicion and the time to spread.
func TestDeathIsDetectedByAll(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 2)
		n.run(10 * time.Second)
		n.nodes[5].stopped = true
		n.until(12*time.Second, "death known to all", func() bool { return n.allSee(7) })
	})
}

// Guards against a departure that takes effect only after a suspicion has timed out.
func TestDepartureReachesAll(t *testing.T) {
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

// Guards against two sides of a network partition that do not find each other again
// after it heals, or that keep different records.
func TestPartitionHeals(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 4)
		isFar := func(v *node) bool { return v.self.DataCentre == "dc-3" }
		n.isDropped = func(from, to *node) bool { return isFar(from) != isFar(to) }
		n.until(30*time.Second, "each side sees only itself", func() bool {
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
		n.isDropped = nil
		n.until(15*time.Second, "all see all again", func() bool { return n.allSee(8) })
		n.until(10*time.Second, "all hold all again", func() bool {
			return n.allHold(near) && n.allHold(far) && n.allAt(9)
		})
	})
}

// Guards against declaring a node dead that only one peer cannot reach.
func TestOneWayPartitionCausesNoDeaths(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 2)
		n.isDropped = func(from, to *node) bool { return from == n.nodes[0] && to == n.nodes[2] }
		n.run(5 * time.Minute)
		for _, v := range n.nodes {
			require.Zero(n.t, v.Counts().Deaths, v.self.Name)
		}
		require.True(n.t, n.allSee(8))
	})
}

// Guards against a node that its peers consider dead forever after its process was
// paused, and against one that declares its peers dead when it resumes.
func TestProcessPause(t *testing.T) {
	forSeeds(t, 10, func(n *network) {
		n.addAll(8, 4)
		resumed := n.nodes[4]
		resumed.paused = true
		n.run(30 * time.Second)
		for _, v := range n.nodes {
			require.True(n.t, v == resumed || len(v.live) == 7, v.self.Name)
		}
		want := record("host-1", 1)
		n.step(n.nodes[0], RecordChanged{Record: want})
		resumed.majority = false
		n.resume(resumed)
		n.until(10*time.Second, "all see all again", func() bool { return n.allSee(8) && n.allHold(want) && resumed.majority })
		require.Equal(n.t, uint64(1), resumed.Counts().Thaws)
		require.Zero(n.t, resumed.Counts().Deaths)
	})
}

// Guards against a restarted node that its peers ignore because they take it for the
// former process or for dead, also when its clock went back.
func TestRestartedNodeRejoins(t *testing.T) {
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

// Guards against two processes with one name that raise their incarnations without end.
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

// Guards against an older record that replaces a newer one, in whatever order they
// arrive, and against message loss that keeps a record from a node for good.
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
		v.paused = true
	}
	n.run(retention)
	for _, v := range n.nodes {
		n.resume(v)
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
