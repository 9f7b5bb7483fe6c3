package replicator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// catchUp is the time after which another replica may be lost.
const catchUp = 4 * time.Second

// stop stops a replica as planned. Like the driver, it resigns until no handover is due, for two
// seconds at most.
func (sim *simulation) stop(n *node) {
	for deadline := sim.now + 2*time.Second; n.machine.Status().IsHandoverDue && sim.now < deadline; {
		sim.step(n, Resign{Now: sim.clock(n)})
		sim.run(tickPeriod)
	}
	sim.kill(n)
	sim.nodes = slices.DeleteFunc(sim.nodes, func(other *node) bool { return other == n })
}

// restartWithoutDisk kills a replica, which is back after a second with an empty disk.
func (sim *simulation) restartWithoutDisk(n *node) {
	sim.kill(n)
	n.disk = nil
	sim.run(time.Second)
	sim.start(n)
}

// requireSurvivesLostDisk commits a command, takes the disk of the leader, and requires that another
// leader with a majority has the command.
func (sim *simulation) requireSurvivesLostDisk(t *testing.T) {
	t.Helper()
	index, lost := sim.commit(t)
	sim.restartWithoutDisk(lost)
	sim.run(5 * time.Second)
	lead := sim.leader()
	require.NotNil(t, lead, sim.describe())
	require.True(t, lead.machine.hasActiveQuorum(), sim.describe())
	require.GreaterOrEqual(t, lead.machine.commitIndex, index, sim.describe())
}

// commit commits a command at the leader and returns its index and the leader.
func (sim *simulation) commit(t *testing.T) (uint64, *node) {
	t.Helper()
	lead := sim.leader()
	require.NotNil(t, lead, sim.describe())
	index := lead.machine.log.last() + 1
	sim.step(lead, Propose{Now: sim.clock(lead), ID: 1 << 40, Command: []byte(`{}`)})
	for range 10 {
		if sim.run(tickPeriod); lead.machine.commitIndex >= index {
			return index, lead
		}
	}
	require.FailNow(t, "not committed", sim.describe())
	return 0, nil
}

func forReplicaCounts(t *testing.T, check func(t *testing.T, sim *simulation)) {
	t.Helper()
	for _, size := range []int{4, 5} {
		for seed := range uint64(30) {
			t.Run(fmt.Sprintf("%d replicas, seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				sim := newOpenMembershipSimulation(seed, size)
				require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
				sim.settings.Bootstrap = false
				check(t, sim)
			})
		}
	}
}

// Guards against control that ends for good when a replica is stopped for good as planned and
// another one then loses its disk: the stopped one still counted against the majority.
func TestPlannedStopLeavesMajorityForAnotherLostDisk(t *testing.T) {
	t.Parallel()
	for name, choose := range map[string]func(*simulation) *node{
		"the leader": (*simulation).leader,
		"a voter that follows": func(sim *simulation) *node {
			lead := sim.leader()
			return sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n != lead && lead.machine.membership().IsVoter(n.disk.id) })]
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forReplicaCounts(t, func(t *testing.T, sim *simulation) {
				sim.startReplacement()
				sim.run(catchUp + 2*time.Second)
				sim.stop(choose(sim))
				sim.run(tickPeriod)
				sim.requireSurvivesLostDisk(t)
			})
		})
	}
}

// Guards against control that ends for good when the leader is killed for good and, once its
// replacement has had the time to catch up, the new leader loses its disk: each new leader counted
// the silence of the killed one from its own election on.
func TestKilledLeaderIsReplacedBeforeAnotherDiskIsLost(t *testing.T) {
	t.Parallel()
	forReplicaCounts(t, func(t *testing.T, sim *simulation) {
		killed := sim.leader()
		sim.kill(killed)
		sim.nodes = slices.DeleteFunc(sim.nodes, func(n *node) bool { return n == killed })
		sim.startReplacement()
		sim.run(catchUp)
		sim.requireSurvivesLostDisk(t)
	})
}

// Guards against replicas that hand over their vote when they stop and never get it back, while
// all of them are restarted in turn.
func TestStoppedReplicaVotesAgainAfterRestart(t *testing.T) {
	t.Parallel()
	forReplicaCounts(t, func(t *testing.T, sim *simulation) {
		for range 2 * len(sim.nodes) {
			n := sim.nodes[0]
			sim.stop(n)
			sim.nodes = append(sim.nodes, n)
			sim.run(500 * time.Millisecond)
			sim.start(n)
			sim.run(1500 * time.Millisecond)
			lead := sim.leader()
			require.NotNil(t, lead, sim.describe())
			require.Equal(t, 3, lead.machine.membership().Voters(), sim.describe())
		}
		require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
	})
}

// Guards against a killed leader whose vote counts although it has been silent for long enough, because
// its successor counts the silence from its own election on. Until then no other disk may be lost.
func TestVoteOfKilledLeaderIsReplacedAtElection(t *testing.T) {
	t.Parallel()
	forReplicaCounts(t, func(t *testing.T, sim *simulation) {
		killed, silentAt := sim.leader(), sim.now+sim.settings.ReplaceSilentAfter
		sim.kill(killed)
		for end := sim.now + 10*time.Second; sim.leader() == nil && sim.now < end; {
			sim.run(tickPeriod)
		}
		require.NotNil(t, sim.leader(), sim.describe())
		sim.run(max(0, silentAt-sim.now) + 3*sim.settings.Heartbeat)
		m := sim.leader().machine
		require.False(t, m.membership().IsVoter(killed.disk.id), sim.describe())
		require.Equal(t, 3, m.membership().Voters(), sim.describe())
		require.LessOrEqual(t, m.membershipIndex(), m.commitIndex, sim.describe())
	})
}

// Guards against control that ends for good when two of five replicas may be lost, one is replaced while another has no
// power, and two then lose their disks: the dead one kept its vote, as fewer than five responded.
func TestDeadVoterIsReplacedWhileAnotherHasNoPower(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newConfiguredSimulation(seed, 5, mutation{}, func(s *Settings) {
				configureOpenMembership(s)
				s.MaxVoters, s.MinVoters = 5, 5
			})
			require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
			sim.settings.Bootstrap = false
			dead, dark, wiped := sim.nodes[0], sim.nodes[3], sim.nodes[4]
			sim.kill(dead)
			sim.nodes = sim.nodes[1:]
			sim.run(300 * time.Millisecond)
			sim.kill(dark)
			sim.run(700 * time.Millisecond)
			sim.startReplacement()
			sim.run(catchUp)
			index, _ := sim.commit(t)
			sim.kill(wiped)
			dark.disk, wiped.disk = nil, nil
			sim.run(time.Second)
			sim.start(dark)
			sim.start(wiped)
			sim.run(5 * time.Second)
			sim.requireMajority(t, index)
		})
	}
}
