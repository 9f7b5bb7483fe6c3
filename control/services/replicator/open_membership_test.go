package replicator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// newOpenMembershipSimulation starts replicas of an open membership. The settings list only the
// first three.
func newOpenMembershipSimulation(seed uint64, size int) *simulation {
	return newConfiguredSimulation(seed, size, mutation{}, configureOpenMembership)
}

// newVotingSimulation starts replicas of an open membership, of which some vote, and waits until they do.
func newVotingSimulation(t *testing.T, seed uint64, size, voters int) *simulation {
	t.Helper()
	sim := newConfiguredSimulation(seed, size, mutation{}, func(s *Settings) {
		configureOpenMembership(s)
		s.MinVoters, s.MaxVoters = voters, voters
	})
	require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
	sim.settings.Bootstrap = false
	return sim
}

func configureOpenMembership(s *Settings) {
	s.OpenMembership, s.SkipVerification = true, true
	s.MaxVoters, s.MinVoters, s.RemoveSilentAfter, s.ReplaceSilentAfter = 3, 3, 3500*time.Millisecond, 1200*time.Millisecond
	s.Peers = slices.Clone(s.Peers[:3])
}

// replace stops a replica for good and starts one with an empty disk at another address.
func (sim *simulation) replace(n *node) {
	if n.machine != nil {
		sim.kill(n)
	}
	sim.remove(n)
	sim.settings.Bootstrap = false
	sim.startReplacement()
}

// remove removes a replica that is gone for good.
func (sim *simulation) remove(n *node) {
	sim.nodes = slices.DeleteFunc(sim.nodes, func(other *node) bool { return other == n })
}

// startReplacement starts a replica with an empty disk at another address.
func (sim *simulation) startReplacement() *node {
	sim.seq++
	replacement := &node{
		name: fmt.Sprintf("n%d", sim.seq), clockRate: 1,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(sim.seq >> 8), byte(sim.seq)}), 1),
	}
	sim.nodes = append(sim.nodes, replacement)
	sim.start(replacement)
	return replacement
}

// changeSeeds replaces the peers in the settings with three random replicas, so that replicas that
// start later know other ones. Running replicas get the new peers, too.
func (sim *simulation) changeSeeds() {
	sim.settings.Peers = nil
	for _, i := range sim.rng.Perm(len(sim.nodes))[:3] {
		sim.settings.Peers = append(sim.settings.Peers, Peer{Name: sim.nodes[i].name, Address: sim.nodes[i].address})
	}
	for _, n := range sim.running() {
		sim.step(n, SetPeers{Peers: sim.settings.Peers})
	}
}

// injectOpenMembershipFault injects one random fault into an open membership.
func (sim *simulation) injectOpenMembershipFault() {
	switch sim.rng.IntN(8) {
	case 0:
		sim.loseOneDisk(func(n *node) {
			if n.machine != nil {
				sim.kill(n)
			}
			n.disk, n.image = nil, nil
			sim.start(n)
		})
	case 1:
		sim.loseOneDisk(func(n *node) {
			sim.replace(n)
			// The platform removes VMs that are gone from its list of seeds.
			sim.changeSeeds()
		})
	case 2:
		sim.changeSeeds()
	case 3:
		for _, n := range sim.nodes {
			if n.machine != nil {
				sim.kill(n)
			}
		}
		sim.run(time.Duration(sim.rng.Int64N(int64(time.Second))))
		for _, n := range sim.nodes {
			sim.start(n)
		}
	case 4:
		if n := sim.nodes[sim.rng.IntN(len(sim.nodes))]; n.machine != nil {
			sim.kill(n)
			sim.run(time.Duration(sim.rng.Int64N(int64(12 * time.Second))))
		}
	default:
		sim.settings.Bootstrap = false
		sim.injectProcessFault()
	}
}

// loseOneDisk waits for convergence and loses the disk of one random replica, by calling lose.
func (sim *simulation) loseOneDisk(lose func(*node)) {
	if !sim.waitForConvergence(time.Minute) {
		sim.violationf("not converged after a minute without faults\n%s", sim.describe())
		return
	}
	sim.settings.Bootstrap = false
	sim.diskFaultAt = sim.now
	lose(sim.nodes[sim.rng.IntN(len(sim.nodes))])
}

// runOpenSeed runs one schedule of faults in an open membership and returns whether the history of the clients is
// linearizable.
func runOpenSeed(seed uint64, change mutation) (*simulation, porcupine.CheckResult) {
	sim := newOpenMembershipSimulation(seed, []int{4, 5, 4, 3}[seed%4])
	sim.mutation = change
	if seed%3 == 1 {
		sim.useSlowDisks(time.Second)
	}
	return sim, sim.runFaults(sim.injectOpenMembershipFault)
}

// Guards against lost changes and stale reads while replicas of an open membership lose their
// disks, are replaced at other addresses, come back after they were removed, and start with
// other seeds. A third of the seeds has disks that take up to a second to save.
//
// Rerun one seed: REPLICATOR_SEED=17 go test ./services/replicator -run TestOpenHistories.
func TestOpenHistories(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 60) {
		sim, result := runOpenSeed(seed, mutation{})
		require.Emptyf(t, sim.violations, "rerun with REPLICATOR_SEED=%d", seed)
		require.Equalf(t, porcupine.Ok, result, "history of REPLICATOR_SEED=%d", seed)
	}
}

// Guards against checks that cannot find a replica that answers before its disk has what it promises. Without a
// verification after a start, which would hide it, some seed must lose a change or elect two leaders.
func TestAnswersBeforeSavesAreCaught(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed < 2000; seed += 3 {
		sim, result := runOpenSeed(seed, mutation{sendBeforeSaved: true})
		isDivergent := slices.ContainsFunc(sim.violations, func(v string) bool { return !strings.Contains(v, "not converged") })
		if result == porcupine.Illegal || isDivergent {
			t.Logf("detected by seed %d: history %s, %v", seed, result, sim.violations)
			return
		}
	}
	t.Fatal("no seed detected the mutation")
}

// Guards against a cluster that is created twice or never, in various orders in which its first
// replicas start.
func TestBootstrapInEveryStartOrder(t *testing.T) {
	t.Parallel()
	for _, order := range [][]int{
		{0, 1, 2, 3}, {3, 2, 1, 0}, {1, 0, 2, 3}, {2, 0, 1, 3}, {1, 2, 0, 3}, {2, 1, 0, 3}, {3, 0, 1, 2}, {0, 3, 2, 1},
	} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			t.Parallel()
			sim := newOpenMembershipSimulation(1, 4)
			for _, n := range sim.nodes {
				n.machine, n.disk = nil, nil
			}
			sim.queue = nil
			for _, i := range order {
				sim.start(sim.nodes[i])
				sim.run(300 * time.Millisecond)
			}
			require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
			clusters := make(map[string]bool)
			for _, n := range sim.nodes {
				clusters[n.machine.membership().Cluster.String()] = true
			}
			require.Len(t, clusters, 1)
		})
	}
}

// Guards against a dead replica that counts against the majority for ever. Three replicas are
// replaced one after the other, and each time another one is down for a while.
func TestReplacedReplicasLeaveMajority(t *testing.T) {
	t.Parallel()
	sim := newOpenMembershipSimulation(3, 4)
	require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
	for range 3 {
		sim.replace(sim.nodes[0])
		sim.changeSeeds()
		sim.run(6 * time.Second)
		down := sim.nodes[0]
		sim.kill(down)
		sim.run(4 * time.Second)
		lead := sim.leader()
		require.NotNil(t, lead, sim.describe())
		require.True(t, lead.machine.hasActiveQuorum(), sim.describe())
		sim.start(down)
		require.True(t, sim.waitForConvergence(30*time.Second), sim.describe())
	}
}

// Guards against control that becomes unavailable when a partition splits the replicas evenly.
// With an odd number of voters, one half has a majority.
func TestEvenPartitionKeepsLeader(t *testing.T) {
	t.Parallel()
	sim := newOpenMembershipSimulation(5, 4)
	require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
	for _, halves := range [][2][]int{{{0, 1}, {2, 3}}, {{0, 2}, {1, 3}}, {{0, 3}, {1, 2}}} {
		for _, i := range halves[0] {
			for _, j := range halves[1] {
				a, b := sim.nodes[i].name, sim.nodes[j].name
				sim.cuts[[2]string{a, b}], sim.cuts[[2]string{b, a}] = true, true
			}
		}
		sim.run(3 * time.Second)
		lead := sim.leader()
		require.NotNil(t, lead, sim.describe())
		require.True(t, lead.machine.hasActiveQuorum(), sim.describe())
		require.True(t, sim.waitForConvergence(30*time.Second), sim.describe())
	}
}

// Guards against a voter that lost its disk and still counts as a voter for longer than a VM may
// take to catch up. Another VM may lose its disk 3 s after the first one is back, so the cluster
// must have converged by then.
func TestVoterWithoutDiskIsReplacedSoon(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		sim := newOpenMembershipSimulation(seed, 4)
		require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
		sim.settings.Bootstrap = false
		for range 3 {
			i := slices.IndexFunc(sim.nodes, func(n *node) bool { return sim.leader().machine.membership().IsVoter(n.disk.id) })
			n := sim.nodes[i]
			sim.kill(n)
			n.disk = nil
			sim.start(n)
			sim.run(3 * time.Second)
			require.True(t, sim.hasConverged(), "seed %d: %s", seed, sim.describe())
		}
	}
}

// Guards against two lost disks that end control for good after the settings have begun to allow for two: the number of
// voters stayed that of the start.
func TestVoterLimitsChangeWhileRunning(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		sim := newOpenMembershipSimulation(seed, 5)
		require.True(t, sim.waitForConvergence(20*time.Second), sim.describe())
		sim.settings.Bootstrap = false
		sim.setVoterLimits(5)
		sim.run(3 * time.Second)
		require.True(t, sim.hasConverged(), sim.describe())
		index, lead := sim.commit(t)
		wiped := []*node{lead, findNode(sim, true, nil)}
		for _, n := range wiped {
			sim.kill(n)
			n.disk = nil
		}
		sim.changeSeeds()
		sim.run(time.Second)
		for _, n := range wiped {
			sim.start(n)
		}
		sim.run(5 * time.Second)
		sim.requireMajority(t, index)
		sim.setVoterLimits(3)
		sim.run(3 * time.Second)
		require.True(t, sim.hasConverged(), sim.describe())
	}
}

// setVoterLimits gives all replicas, and those that start later, another number of voters.
func (sim *simulation) setVoterLimits(voters int) {
	sim.settings.MinVoters, sim.settings.MaxVoters = voters, voters
	for _, n := range sim.running() {
		sim.step(n, SetVoterLimits{MinVoters: voters, MaxVoters: voters})
	}
}

// Guards against a cluster that is never created because a seed is lost before, and its replacement can only join one.
// The first seed creates it and must not be alone.
func TestClusterIsCreatedWithoutLostSeed(t *testing.T) {
	t.Parallel()
	for name, lost := range map[string]int{"one of three": 1, "two of three": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				sim := newOpenMembershipSimulation(seed, 4)
				sim.settings.BootstrapMajorityAfter = 2 * time.Second
				for _, n := range sim.nodes {
					n.machine, n.disk = nil, nil
				}
				sim.queue = nil
				sim.nodes = slices.Delete(sim.nodes, 3-lost, 3)
				for _, n := range sim.nodes {
					sim.start(n)
				}
				sim.run(time.Second)
				require.Nil(t, sim.leader(), "the other seeds may be late")
				sim.settings.Bootstrap = false
				sim.startReplacement()
				sim.run(4 * time.Second)
				if lost > 1 {
					require.Nil(t, sim.leader(), sim.describe())
					continue
				}
				require.True(t, sim.waitForConvergence(5*time.Second), sim.describe())
			}
		})
	}
}
