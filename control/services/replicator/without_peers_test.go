package replicator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a replica without its disk that never joins again, as all peers that its settings list are lost.
func TestEmptiedReplicaJoinsWithoutPeers(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d replicas", size), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				sim := newVotingSimulation(t, seed, size, size)
				emptied := follower(sim)
				sim.settings.Peers = []Peer{{Name: emptied.name, Address: emptied.address}}
				sim.restartWithoutDisk(emptied)
				sim.run(catchUp)
				require.True(t, sim.hasConverged(), sim.describe())
			}
		})
	}
}

// Guards against replicas that need the peers of their settings although their disks name the others.
func TestReplicasStartWithoutPeers(t *testing.T) {
	t.Parallel()
	for _, isFirstStart := range []bool{false, true} {
		t.Run(fmt.Sprintf("first start %t", isFirstStart), func(t *testing.T) {
			t.Parallel()
			sim := newVotingSimulation(t, 1, 3, 3)
			for _, n := range sim.nodes {
				sim.kill(n)
			}
			sim.settings.Peers, sim.settings.Bootstrap = nil, isFirstStart
			for _, n := range sim.nodes {
				sim.start(n)
			}
			sim.run(2 * time.Second)
			require.True(t, sim.hasConverged(), sim.describe())
		})
	}
}
