package replicator

import (
	"fmt"
	"testing"
	"time"
)

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
