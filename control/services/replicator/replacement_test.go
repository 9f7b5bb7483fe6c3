package replicator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cutAll drops all messages until the returned function is called.
func (sim *simulation) cutAll() (heal func()) {
	for _, from := range sim.nodes {
		for _, to := range sim.nodes {
			sim.cuts[[2]string{from.name, to.name}] = true
		}
	}
	return func() { clear(sim.cuts) }
}

// commitAcknowledged commits a command, waits until it may be acknowledged, and returns its index.
func (sim *simulation) commitAcknowledged(t *testing.T) uint64 {
	t.Helper()
	for end := sim.now + 20*time.Second; sim.now < end; sim.run(tickPeriod) {
		lead := sim.leader()
		if lead == nil || !lead.machine.Status().HasQuorum {
			continue
		}
		index := lead.machine.log.last() + 1
		sim.step(lead, Propose{Now: sim.clock(lead), ID: 1 << 40, Command: []byte(`{}`)})
		for ; sim.now < end && sim.leader() == lead; sim.run(tickPeriod) {
			if status := lead.machine.Status(); status.CommitIndex >= index && !status.IsReplacementPending {
				return index
			}
		}
	}
	require.FailNow(t, "nothing is acknowledged", sim.describe())
	return 0
}

// Guards against changes that are acknowledged and lost although no more disks are lost than allowed: a replica is gone for
// good, and its successor gets no vote in time, as there is no leader for longer than it needs to catch up.
func TestChangeIsAcknowledgedOnceSuccessorVotes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		isLeaderGone bool
		// saveTime is that of the successor, which answers nothing before its first save.
		saveTime time.Duration
	}{
		"the leader is gone":                      {isLeaderGone: true},
		"a follower is gone":                      {},
		"the leader is gone, slow successor":      {isLeaderGone: true, saveTime: 1300 * time.Millisecond},
		"a follower is gone, very slow successor": {saveTime: 1700 * time.Millisecond},
	} {
		for other := range 3 {
			t.Run(fmt.Sprintf("%s, disk %d", name, other), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					sim := newVotingSimulation(t, seed, 5, 5)
					gone := sim.leader()
					if !c.isLeaderGone {
						gone = follower(sim)
					}
					sim.replace(gone)
					dark, successor := sim.nodes[0], sim.nodes[len(sim.nodes)-1]
					sim.saveTime = func(n *node) time.Duration {
						if n == successor {
							return c.saveTime
						}
						return 0
					}
					sim.kill(dark)
					heal := sim.cutAll()
					sim.run(8 * time.Second)
					heal()
					index := sim.commitAcknowledged(t)
					wiped := sim.nodes[1+other]
					sim.kill(wiped)
					remaining := slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n == dark || n == wiped })
					require.True(t, canElect(remaining, index), "seed %d: %s", seed, sim.describe())
				}
			})
		}
	}
}

// Guards against changes that are never acknowledged, as a replica stands by that cannot get a vote.
func TestReplicaThatCannotCatchUpDelaysNoAcknowledgementForEver(t *testing.T) {
	t.Parallel()
	sim := newVotingSimulation(t, 1, 3, 3)
	sim.replace(follower(sim))
	successor := sim.nodes[len(sim.nodes)-1]
	for _, n := range sim.nodes {
		sim.cuts[[2]string{successor.name, n.name}] = n != sim.leader()
	}
	sim.saveTime = func(n *node) time.Duration {
		if n == successor {
			return time.Minute
		}
		return 0
	}
	sim.run(2 * time.Second)
	began := sim.now
	sim.commitAcknowledged(t)
	require.Less(t, sim.now-began, 15*time.Second)
}

// Guards against control that ends for good when a replica is gone and its successor loses its disk just as it votes: both
// counted against the majority.
func TestSuccessorLostAsItVotesLeavesMajority(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		for wait := time.Second; wait <= 3*time.Second; wait += tickPeriod {
			t.Run(fmt.Sprintf("%d voters, %s", size, wait), func(t *testing.T) {
				t.Parallel()
				sim := newVotingSimulation(t, uint64(wait), size, size)
				sim.replace(follower(sim))
				successor := sim.nodes[len(sim.nodes)-1]
				// With five voters another one may be lost as well.
				if size > 3 {
					sim.kill(follower(sim))
				}
				sim.run(wait)
				committed := sim.lastCommitted()
				sim.kill(successor)
				successor.disk = nil
				sim.run(3 * time.Second)
				sim.requireMajority(t, committed)
			})
		}
	}
}
