package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against split votes after all replicas have started at once and one of four has lost
// its disk, so that the others must all vote for the same one. There must be a leader within
// 0.8 s in 95 of 100 cases.
func TestLeaderSoonAfterCommonStart(t *testing.T) {
	t.Parallel()
	const cases, limit, allowedLate = 100, 800 * time.Millisecond, 5
	late := 0
	for seed := range uint64(cases) {
		sim := newOpenMembershipSimulation(seed, 4)
		require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
		sim.settings.Bootstrap = false
		for _, n := range sim.nodes {
			sim.kill(n)
		}
		sim.run(time.Second)
		sim.nodes[sim.rng.IntN(4)].disk = nil
		for _, n := range sim.nodes {
			sim.start(n)
		}
		sim.run(limit)
		if lead := sim.leader(); lead == nil || !lead.machine.hasActiveQuorum() {
			late++
		}
	}
	require.LessOrEqual(t, late, allowedLate)
}

// startStaggered starts all replicas at random times within a period. It returns the time from
// the start of a majority of the voters until there is a leader.
func (sim *simulation) startStaggered(within time.Duration) time.Duration {
	offsets := make([]time.Duration, len(sim.nodes))
	for i := range offsets {
		offsets[i] = time.Duration(sim.rng.Int64N(int64(within)))
	}
	slices.Sort(offsets)
	began, majorityAt, runningVoters, started := sim.now, time.Duration(0), 0, 0
	for sim.now < began+within+3*time.Second {
		for ; started < len(sim.nodes) && began+offsets[started] <= sim.now; started++ {
			n := sim.nodes[started]
			sim.start(n)
			if membership := n.machine.membership(); membership.IsVoter(n.disk.id) {
				if runningVoters++; runningVoters == membership.Voters()/2+1 {
					majorityAt = sim.now
				}
			}
		}
		sim.run(tickPeriod)
		if lead := sim.leader(); lead != nil && lead.machine.hasActiveQuorum() {
			return sim.now - majorityAt
		}
	}
	return time.Hour
}

// Guards against a late leader after all replicas lose power and come back one after the other,
// while callers wait for entries that wait for a leader. There must be a leader within a sixth
// of an election timeout (150 ms of 900 ms) after a majority has started, in 95 of 100 cases.
func TestLeaderSoonAfterMajority(t *testing.T) {
	t.Parallel()
	const cases, allowedLate = 100, 5
	late := 0
	for seed := range uint64(cases) {
		sim := newOpenMembershipSimulation(seed, 4)
		require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
		sim.settings.Bootstrap = false
		for _, n := range sim.nodes {
			sim.kill(n)
		}
		sim.run(time.Second)
		if sim.startStaggered(sim.settings.ElectionTimeout/2) > sim.settings.ElectionTimeout/6 {
			late++
		}
	}
	require.LessOrEqual(t, late, allowedLate)
}
