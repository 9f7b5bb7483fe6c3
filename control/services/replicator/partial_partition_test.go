package replicator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cut sets whether messages between two replicas are dropped. All others still reach both.
func (sim *simulation) cut(a, b *node, isCut bool) {
	sim.cuts[[2]string{a.name, b.name}] = isCut
	sim.cuts[[2]string{b.name, a.name}] = isCut
}

func (sim *simulation) others(n *node) []*node {
	var others []*node
	for _, other := range sim.nodes {
		if other != n {
			others = append(others, other)
		}
	}
	return others
}

// Guards against endless elections and stalled commits when two data centres cannot reach each
// other while the others reach both.
func TestPartialPartitionKeepsLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(seed, 5, mutation{})
			require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
			lead := sim.leader()
			term, commit := lead.machine.term, lead.machine.commitIndex
			partitioned := sim.others(lead)[seed%4]
			sim.cut(lead, partitioned, true)
			sim.addClients(2, 200)
			sim.run(30 * time.Second)
			require.Same(t, lead, sim.leader())
			require.Equal(t, term, lead.machine.term, "the replica without contact to the leader raised the term")
			require.Greater(t, lead.machine.commitIndex, commit+100)
			require.False(t, partitioned.machine.Status().HasQuorum, "entries would follow a replica that has no contact to the leader")
			sim.cut(lead, partitioned, false)
			require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
			require.Same(t, lead, sim.leader())
			require.Empty(t, sim.violations)
		})
	}
}

// Guards against a cluster without a leader when only one replica reaches all others.
func TestOnlyReplicaReachingMajorityLeads(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(seed, 5, mutation{})
			require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
			hub := sim.others(sim.leader())[seed%4]
			for i, a := range sim.nodes {
				for _, b := range sim.nodes[i+1:] {
					if a != hub && b != hub {
						sim.cut(a, b, true)
					}
				}
			}
			sim.run(10 * time.Second)
			require.Same(t, hub, sim.leader(), sim.describe())
			commit := hub.machine.commitIndex
			sim.addClients(1, 50)
			sim.run(10 * time.Second)
			require.Greater(t, hub.machine.commitIndex, commit)
			require.Empty(t, sim.violations)
		})
	}
}

// countReachable returns the number of replicas that n reaches in both directions, including
// itself.
func (sim *simulation) countReachable(n *node) int {
	count := 1
	for _, other := range sim.others(n) {
		if !sim.cuts[[2]string{n.name, other.name}] && !sim.cuts[[2]string{other.name, n.name}] {
			count++
		}
	}
	return count
}

// Guards against a cluster without a leader while some replica reaches a majority in both
// directions, whatever pairs are cut off from each other in one direction or both.
func TestPartialMeshHasLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(seed, 5, mutation{})
			require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
			rng := rand.New(rand.NewPCG(seed, 11))
			maxReachable := 0
			for _, a := range sim.nodes {
				for _, b := range sim.others(a) {
					sim.cuts[[2]string{a.name, b.name}] = rng.IntN(4) == 0
				}
			}
			for _, n := range sim.nodes {
				maxReachable = max(maxReachable, sim.countReachable(n))
			}
			sim.run(20 * time.Second)
			if maxReachable < 3 {
				require.Empty(t, sim.violations)
				return
			}
			require.NotNil(t, sim.leader(), sim.describe())
			commit := sim.leader().machine.commitIndex
			sim.addClients(1, 50)
			sim.run(10 * time.Second)
			require.NotNil(t, sim.leader(), sim.describe())
			require.Greater(t, sim.leader().machine.commitIndex, commit)
			require.Empty(t, sim.violations)
		})
	}
}
