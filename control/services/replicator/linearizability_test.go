package replicator

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// seeds returns the seed in REPLICATOR_SEED, or as many seeds as REPLICATOR_SEEDS says, or else
// count seeds.
func seeds(t *testing.T, count int) []uint64 {
	if s := os.Getenv("REPLICATOR_SEED"); s != "" {
		seed, err := strconv.ParseUint(s, 10, 64)
		require.NoError(t, err)
		return []uint64{seed}
	}
	if s := os.Getenv("REPLICATOR_SEEDS"); s != "" {
		n, err := strconv.Atoi(s)
		require.NoError(t, err)
		count = n
	}
	list := make([]uint64, count)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// injectFault injects one random fault. Disk faults need a converged cluster, because a second
// one could lose a majority.
func (sim *simulation) injectFault() {
	switch sim.rng.IntN(14) {
	case 0:
		n := sim.pickTarget()
		n.image = n.disk.clone()
	case 1:
		sim.injectDiskFault(sim.pickTarget())
	default:
		sim.injectProcessFault()
	}
}

// pickTarget returns a random replica, often the leader.
func (sim *simulation) pickTarget() *node {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if lead := sim.leader(); lead != nil && sim.rng.IntN(2) == 0 {
		n = lead
	}
	return n
}

// injectProcessFault injects one random fault of a process or the network, but not of a disk.
func (sim *simulation) injectProcessFault() {
	n, other := sim.pickTarget(), sim.nodes[sim.rng.IntN(len(sim.nodes))]
	switch sim.rng.IntN(12) {
	case 0, 1:
		if n.machine != nil {
			sim.kill(n)
		}
	case 2, 3:
		if n.machine == nil {
			sim.start(n)
		}
	case 4:
		n.crash = true
	case 5:
		n.paused = n.machine != nil
	case 6:
		if n.paused {
			sim.resume(n)
		}
	case 7:
		sim.cuts[[2]string{n.name, other.name}] = true
	case 8:
		for _, other := range sim.nodes {
			sim.cuts[[2]string{n.name, other.name}], sim.cuts[[2]string{other.name, n.name}] = true, true
		}
	case 9:
		sim.loss, sim.duplicate = 0.3*sim.rng.Float64(), 0.3*sim.rng.Float64()
		sim.jitter = time.Duration(1 + sim.rng.Int64N(int64(400*time.Millisecond)))
	case 10:
		sim.heal()
	case 11:
		if n.machine != nil && !n.paused {
			sim.step(n, Resign{Now: sim.clock(n)})
		}
	}
}

// injectDiskFault loses a disk or restores an old image, and often kills another replica soon
// afterwards. If TrustDiskAfter is 0, an image may be restored while other replicas are behind.
func (sim *simulation) injectDiskFault(n *node) {
	strict := sim.settings.TrustDiskAfter == 0
	if (!strict || sim.rng.IntN(2) == 0) && !sim.waitForConvergence(time.Minute) {
		sim.violationf("not converged after a minute without faults\n%s", sim.describe())
	}
	hasImage := n.image != nil && n.image.id == n.disk.id
	if sim.convergedAt <= sim.diskFaultAt || len(sim.nodes) == 1 || (strict && !hasImage) {
		return
	}
	sim.diskFaultAt = sim.now
	if n.machine != nil {
		sim.kill(n)
	}
	if hasImage && (strict || sim.rng.IntN(2) == 0) {
		n.disk = n.image.clone()
	} else {
		n.disk, n.image = nil, nil
	}
	sim.start(n)
	if i := sim.rng.IntN(2 * len(sim.nodes)); i < len(sim.nodes) && sim.nodes[i].machine != nil {
		sim.run(time.Duration(sim.rng.Int64N(int64(3 * time.Second))))
		if sim.nodes[i].machine != nil {
			sim.kill(sim.nodes[i])
		}
	}
}

// runSeed runs one schedule of faults and returns whether the history of the clients is
// linearizable.
func runSeed(seed uint64, change mutation) (*simulation, porcupine.CheckResult) {
	size := []int{3, 3, 5, 5, 3, 1}[seed%6]
	sim := newSimulation(seed, size, change)
	switch {
	case seed%2 == 0:
		// Disks are fast: replicas that all restart while only one of them has stored a membership wait for ever in this
		// mode, and slow disks make that likely (seeds 400 and 478).
		sim.settings.TrustDiskAfter = 0
	case seed%3 == 1:
		sim.useSlowDisks(time.Second)
	}
	return sim, sim.runFaults(sim.injectFault)
}

// runFaults injects 40 faults while clients run, and returns whether their history is linearizable. Without a mutation the
// cluster must recover.
func (sim *simulation) runFaults(injectFault func()) porcupine.CheckResult {
	sim.run(5 * time.Second)
	sim.addClients(4, 60)
	for range 40 {
		injectFault()
		sim.run(time.Duration(sim.rng.Int64N(int64(1500 * time.Millisecond))))
	}
	if sim.mutation == (mutation{}) {
		sim.checkRecovery()
	}
	for _, c := range sim.clients {
		if c.open != nil {
			c.open.finish(sim, "", false)
		}
	}
	return sim.history.check()
}

// checkRecovery checks that the cluster converges after all faults and serves requests again.
func (sim *simulation) checkRecovery() {
	if !sim.waitForConvergence(time.Minute) {
		sim.violationf("not converged after a minute without faults\n%s", sim.describe())
		return
	}
	// Refused attempts count, and an election with slow disks takes longer than 20 of them.
	sim.clients = append(sim.clients, &client{id: len(sim.clients), limit: 100})
	served := len(sim.history)
	sim.run(10 * time.Second)
	for _, c := range sim.clients {
		c.limit = 0
	}
	sim.run(3 * time.Second)
	if len(sim.history) == served {
		sim.violationf("no operation succeeded after all faults ended\n%s", sim.describe())
	}
	want := sim.leader()
	for _, n := range sim.nodes {
		if want == nil || n.applied != want.applied || !equalValues(n.values, want.values) {
			sim.violationf("%s differs from the leader: applied %d, %v\n%s", n.name, n.applied, n.values, sim.describe())
		}
	}
}

func equalValues(a, b map[string]string) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if b[k] != v {
			return false
		}
	}
	return true
}

// Guards against lost, duplicated or reordered commands, stale reads, and commands that take
// effect although they were refused, under all faults of the design document.
//
// Rerun one seed: REPLICATOR_SEED=17 go test ./services/replicator -run TestHistories.
func TestHistories(t *testing.T) {
	t.Parallel()
	operations := 0
	for _, seed := range seeds(t, 80) {
		sim, result := runSeed(seed, mutation{})
		require.Emptyf(t, sim.violations, "rerun with REPLICATOR_SEED=%d", seed)
		require.Equalf(t, porcupine.Ok, result, "history of REPLICATOR_SEED=%d", seed)
		operations += len(sim.history)
	}
	t.Logf("%d operations", operations)
}

// Guards against checks that cannot fail: for each mutation, at least one seed must give a
// violation or a history that is not linearizable.
func TestMutationsAreCaught(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]mutation{
		"votes are forgotten":                     {forgetVotes: true},
		"commit without a majority":               {singleReplicaMajority: true},
		"no verification after a start":           {skipVerification: true},
		"read without confirmation by a majority": {readWithoutQuorum: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2000) {
				if sim, result := runSeed(seed, change); result == porcupine.Illegal || len(sim.violations) > 0 {
					t.Logf("detected by seed %d: history %s, %d violations", seed, result, len(sim.violations))
					return
				}
			}
			t.Fatal("no seed detected the mutation")
		})
	}
}
