package replicator

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// seeds returns the seeds to run: the one in REPLICATOR_SEED, or the first
// REPLICATOR_SEEDS ones.
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

// disturb runs one random fault. Faults of disks need a settled cluster, as one
// more could lose a majority.
func (w *world) disturb() {
	switch w.rng.IntN(14) {
	case 0:
		n := w.pickTarget()
		n.image = n.disk.clone()
	case 1:
		w.disturbDisk(w.pickTarget())
	default:
		w.disturbProcess()
	}
}

// pickTarget returns a replica, often the one that leads.
func (w *world) pickTarget() *node {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if lead := w.leader(); lead != nil && w.rng.IntN(2) == 0 {
		n = lead
	}
	return n
}

// disturbProcess runs one random fault that leaves disks alone.
func (w *world) disturbProcess() {
	n, other := w.pickTarget(), w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(12) {
	case 0, 1:
		if n.machine != nil {
			w.kill(n)
		}
	case 2, 3:
		if n.machine == nil {
			w.start(n)
		}
	case 4:
		n.crash = true
	case 5:
		n.frozen = n.machine != nil
	case 6:
		if n.frozen {
			w.thaw(n)
		}
	case 7:
		w.cuts[[2]string{n.name, other.name}] = true
	case 8:
		for _, other := range w.nodes {
			w.cuts[[2]string{n.name, other.name}], w.cuts[[2]string{other.name, n.name}] = true, true
		}
	case 9:
		w.loss, w.duplicate = 0.3*w.rng.Float64(), 0.3*w.rng.Float64()
		w.jitter = time.Duration(1 + w.rng.Int64N(int64(400*time.Millisecond)))
	case 10:
		w.heal()
	case 11:
		if n.machine != nil && !n.frozen {
			w.step(n, Resign{Now: w.clock(n)})
		}
	}
}

// disturbDisk loses a disk or restores an old image, and often kills another
// replica right afterwards. Without trust in disks, an image may be restored
// while other replicas lag behind.
func (w *world) disturbDisk(n *node) {
	strict := w.settings.TrustDiskAfter == 0
	if (!strict || w.rng.IntN(2) == 0) && !w.settle(time.Minute) {
		w.problemf("not settled after a minute without faults\n%s", w.describe())
	}
	hasImage := n.image != nil && n.image.id == n.disk.id
	if w.settledAt <= w.disturbedAt || len(w.nodes) == 1 || (strict && !hasImage) {
		return
	}
	w.disturbedAt = w.now
	if n.machine != nil {
		w.kill(n)
	}
	if hasImage && (strict || w.rng.IntN(2) == 0) {
		n.disk = n.image.clone()
	} else {
		n.disk, n.image = nil, nil
	}
	w.start(n)
	if i := w.rng.IntN(2 * len(w.nodes)); i < len(w.nodes) && w.nodes[i].machine != nil {
		w.run(time.Duration(w.rng.Int64N(int64(3 * time.Second))))
		if w.nodes[i].machine != nil {
			w.kill(w.nodes[i])
		}
	}
}

// runSeed runs one schedule of faults and returns whether the history is
// linearizable.
func runSeed(seed uint64, change mutation) (*world, porcupine.CheckResult) {
	size := []int{3, 3, 5, 5, 3, 1}[seed%6]
	w := newWorld(seed, size, change)
	if seed%2 == 0 {
		w.settings.TrustDiskAfter = 0
	}
	w.run(5 * time.Second)
	w.addClients(4, 60)
	for range 40 {
		w.disturb()
		w.run(time.Duration(w.rng.Int64N(int64(1500 * time.Millisecond))))
	}
	if change == (mutation{}) {
		w.checkRecovery()
	}
	for _, c := range w.clients {
		if c.open != nil {
			c.open.finish(w, "", false)
		}
	}
	return w, w.history.check()
}

// checkRecovery requires that all replicas become equal and serve again.
func (w *world) checkRecovery() {
	if !w.settle(time.Minute) {
		w.problemf("not settled after a minute without faults\n%s", w.describe())
		return
	}
	w.clients = append(w.clients, &client{id: len(w.clients), limit: 20})
	served := len(w.history)
	w.run(10 * time.Second)
	for _, c := range w.clients {
		c.limit = 0
	}
	w.run(3 * time.Second)
	if len(w.history) == served {
		w.problemf("no operation succeeds after all faults ended\n%s", w.describe())
	}
	want := w.leader()
	for _, n := range w.nodes {
		if want == nil || n.applied != want.applied || !equalValues(n.values, want.values) {
			w.problemf("%s differs from the leader: applied %d, %v\n%s", n.name, n.applied, n.values, w.describe())
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

// Guards against lost, doubled or reordered commands, stale reads, and refusals
// of commands that take effect, under all faults of the design page.
//
// Rerun one seed: REPLICATOR_SEED=17 go test ./services/replicator -run TestHistories.
func TestHistories(t *testing.T) {
	t.Parallel()
	known := 0
	for _, seed := range seeds(t, 80) {
		w, result := runSeed(seed, mutation{})
		require.Emptyf(t, w.problems, "rerun with REPLICATOR_SEED=%d", seed)
		require.Equalf(t, porcupine.Ok, result, "history of REPLICATOR_SEED=%d", seed)
		known += len(w.history)
	}
	t.Logf("%d operations", known)
}

// Guards against a checker that cannot fail: each wrong decision must give a
// history that is not linearizable for at least one seed.
func TestMutationsAreCaught(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]mutation{
		"a vote that forgets":            {forgetVotes: true},
		"commit without majority":        {loneMajority: true},
		"no verification after a start":  {noVerification: true},
		"read without asking a majority": {readWithoutAsk: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2000) {
				if w, result := runSeed(seed, change); result == porcupine.Illegal || len(w.problems) > 0 {
					t.Logf("caught by seed %d: history %s, %d problems", seed, result, len(w.problems))
					return
				}
			}
			t.Fatal("no seed caught the mutation")
		})
	}
}
