package replicator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cut separates two replicas from each other; all others reach both.
func (w *world) cut(a, b *node, isCut bool) {
	w.cuts[[2]string{a.name, b.name}] = isCut
	w.cuts[[2]string{b.name, a.name}] = isCut
}

func (w *world) others(n *node) []*node {
	var others []*node
	for _, other := range w.nodes {
		if other != n {
			others = append(others, other)
		}
	}
	return others
}

// Guards against elections without end, and against commits that stop, when two data centres
// cannot reach each other while the others reach both.
func TestBridgeCutDisturbsNobody(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 5, mutation{})
			require.True(t, w.settle(10*time.Second), w.describe())
			lead := w.leader()
			term, commit := lead.machine.term, lead.machine.commit
			behind := w.others(lead)[seed%4]
			w.cut(lead, behind, true)
			w.addClients(2, 200)
			w.run(30 * time.Second)
			require.Same(t, lead, w.leader())
			require.Equal(t, term, lead.machine.term, "the replica behind the cut raised no term")
			require.Greater(t, lead.machine.commit, commit+100)
			require.False(t, behind.machine.Status().HasQuorum, "entries must not follow a replica that hears no leader")
			w.cut(lead, behind, false)
			require.True(t, w.settle(10*time.Second), w.describe())
			require.Same(t, lead, w.leader())
			require.Empty(t, w.problems)
		})
	}
}

// Guards against a cluster without a leader when only one replica reaches all others.
func TestHubLeads(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 5, mutation{})
			require.True(t, w.settle(10*time.Second), w.describe())
			hub := w.others(w.leader())[seed%4]
			for i, a := range w.nodes {
				for _, b := range w.nodes[i+1:] {
					if a != hub && b != hub {
						w.cut(a, b, true)
					}
				}
			}
			w.run(10 * time.Second)
			require.Same(t, hub, w.leader(), w.describe())
			commit := hub.machine.commit
			w.addClients(1, 50)
			w.run(10 * time.Second)
			require.Greater(t, hub.machine.commit, commit)
			require.Empty(t, w.problems)
		})
	}
}

// reach returns how many replicas one reaches in both directions, with itself.
func (w *world) reach(n *node) int {
	count := 1
	for _, other := range w.others(n) {
		if !w.cuts[[2]string{n.name, other.name}] && !w.cuts[[2]string{other.name, n.name}] {
			count++
		}
	}
	return count
}

// Guards against a cluster without a leader while some replica reaches a majority, whatever
// pairs are cut off from each other, in one direction or both.
func TestPartialMeshHasLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 5, mutation{})
			require.True(t, w.settle(10*time.Second), w.describe())
			rng := rand.New(rand.NewPCG(seed, 11))
			best := 0
			for _, a := range w.nodes {
				for _, b := range w.others(a) {
					w.cuts[[2]string{a.name, b.name}] = rng.IntN(4) == 0
				}
			}
			for _, n := range w.nodes {
				best = max(best, w.reach(n))
			}
			w.run(20 * time.Second)
			if best < 3 {
				require.Empty(t, w.problems)
				return
			}
			require.NotNil(t, w.leader(), w.describe())
			commit := w.leader().machine.commit
			w.addClients(1, 50)
			w.run(10 * time.Second)
			require.NotNil(t, w.leader(), w.describe())
			require.Greater(t, w.leader().machine.commit, commit)
			require.Empty(t, w.problems)
		})
	}
}
