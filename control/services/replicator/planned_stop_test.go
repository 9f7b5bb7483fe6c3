package replicator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replacement is a planned replacement during which another replica loses its disk.
type replacement struct {
	sim            *simulation
	stopped, wiped *node
	// lossAt is when the disk is lost.
	lossAt time.Duration
	isLost bool
}

// run advances the time by d. The disk is lost on the way if it is time.
func (r *replacement) run(d time.Duration) {
	for end := r.sim.now + d; r.sim.now < end; {
		if !r.isLost && r.sim.now >= r.lossAt {
			r.sim.kill(r.wiped)
			r.wiped.disk, r.isLost = nil, true
		}
		r.sim.run(tickPeriod)
	}
}

// stop stops the replaced replica for good. Its process takes a while to end after it has resigned.
func (r *replacement) stop() {
	const shutdownTime = 400 * time.Millisecond
	r.sim.step(r.stopped, Resign{Now: r.sim.clock(r.stopped)})
	for deadline := r.sim.now + 2*time.Second; r.stopped.machine.Status().IsHandoverDue && r.sim.now < deadline; {
		r.run(tickPeriod)
		r.sim.step(r.stopped, Resign{Now: r.sim.clock(r.stopped)})
	}
	for end := r.sim.now + shutdownTime; r.sim.now < end; r.run(tickPeriod) {
		r.sim.step(r.stopped, Resign{Now: r.sim.clock(r.stopped)})
	}
	r.sim.kill(r.stopped)
	r.sim.nodes = slices.DeleteFunc(r.sim.nodes, func(n *node) bool { return n == r.stopped })
}

// requireMajority requires a leader that has committed the entry at index, converges and commits more.
func (sim *simulation) requireMajority(t *testing.T, index uint64) {
	t.Helper()
	lead := sim.leader()
	require.NotNil(t, lead, sim.describe())
	require.GreaterOrEqual(t, lead.machine.commitIndex, index, sim.describe())
	require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
	sim.commit(t)
}

func follower(sim *simulation) *node { return findNode(sim, true, nil) }

// findNode returns a replica that votes or stands by, other than the leader and the given one.
func findNode(sim *simulation, isVoter bool, other *node) *node {
	lead := sim.leader()
	i := slices.IndexFunc(sim.nodes, func(n *node) bool {
		return n != lead && n != other && lead.machine.membership().IsVoter(n.machine.id) == isVoter
	})
	return sim.nodes[i]
}

// lossesOfOtherVoters choose the replica that stops as planned and the one that loses its disk.
var lossesOfOtherVoters = map[string]func(sim *simulation) (stopped, wiped *node){
	"a follower stops, another loses its disk": func(sim *simulation) (stopped, wiped *node) {
		stopped = follower(sim)
		return stopped, findNode(sim, true, stopped)
	},
	"a follower stops, the leader loses its disk": func(sim *simulation) (stopped, wiped *node) {
		return follower(sim), sim.leader()
	},
	"the leader stops, a follower loses its disk": func(sim *simulation) (stopped, wiped *node) {
		return sim.leader(), follower(sim)
	},
}

// Guards against control that ends for good when one replica loses its disk and another one is replaced as planned, its
// successor first, before the first one is back: the votes of both counted against the majority.
func TestDiskLostBeforePlannedStopLeavesMajority(t *testing.T) {
	t.Parallel()
	forOffsets(t, -3*time.Second, -100*time.Millisecond, lossesOfOtherVoters)
}

// Guards against control that ends for good when one replica is replaced as planned, its successor first, and another one
// loses its disk meanwhile or soon afterwards: the leader let the first one vote again while its process ended.
func TestDiskLostAfterPlannedStopLeavesMajority(t *testing.T) {
	t.Parallel()
	forOffsets(t, 0, 2*time.Second, lossesOfOtherVoters)
}

// Guards against control that ends for good when a replica that stands by stops as planned and another one loses its disk
// around that time: the leader let the first one vote while its process ended.
func TestDiskLostAroundStopOfStandbyLeavesMajority(t *testing.T) {
	t.Parallel()
	forOffsets(t, -3*time.Second, 2*time.Second, map[string]func(sim *simulation) (stopped, wiped *node){
		"a follower loses its disk": func(sim *simulation) (stopped, wiped *node) { return findNode(sim, false, nil), follower(sim) },
		"the leader loses its disk": func(sim *simulation) (stopped, wiped *node) { return findNode(sim, false, nil), sim.leader() },
	})
}

// forOffsets plays planned replacements with a disk that is lost at an offset from the beginning of the stop.
func forOffsets(t *testing.T, first, last time.Duration, losses map[string]func(sim *simulation) (stopped, wiped *node)) {
	t.Helper()
	for name, choose := range losses {
		for offset := first; offset <= last; offset += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("%s %s after the stop begins", name, offset), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(6) {
					playReplacement(t, newOpenMembershipSimulation(seed, 3+int(seed%2)), offset, choose)
				}
			})
		}
	}
}

func playReplacement(t *testing.T, sim *simulation, offset time.Duration, choose func(sim *simulation) (stopped, wiped *node)) {
	t.Helper()
	require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
	sim.settings.Bootstrap = false
	sim.startReplacement()
	sim.run(catchUp + time.Second)
	r := &replacement{sim: sim, lossAt: sim.now + max(offset, 0)}
	r.stopped, r.wiped = choose(sim)
	index, _ := sim.commit(t)
	r.run(max(-offset, 0))
	r.stop()
	r.run(max(0, r.lossAt+3*time.Second-sim.now))
	sim.start(r.wiped)
	sim.run(catchUp)
	sim.requireMajority(t, index)
}

// Guards against a replica that ends with a vote, as it was asked to stop before it knew that it votes.
func TestStandbyThatBecomesVoterWaitsForReplacement(t *testing.T) {
	t.Parallel()
	for wait := time.Duration(0); wait <= time.Second; wait += tickPeriod {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			sim := newVotingSimulation(t, uint64(wait), 5, 3)
			sim.useSlowDisks(400 * time.Millisecond)
			// The one that stops takes the vote of the one that is gone, if it is asked late enough.
			gone, stopped := follower(sim), findNode(sim, false, nil)
			sim.kill(gone)
			sim.run(time.Second + wait)
			r := &replacement{sim: sim, stopped: stopped, lossAt: never}
			r.stop()
			lead := sim.leader()
			require.NotNil(t, lead, sim.describe())
			require.False(t, lead.machine.membership().IsVoter(stopped.disk.id), sim.describe())
		})
	}
}
