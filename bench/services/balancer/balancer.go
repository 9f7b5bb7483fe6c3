// Package balancer measures how evenly flows are placed on backend servers.
package balancer

import (
	"math/rand/v2"

	"github.com/redwingledge/redwingledge/entry/services/allocator"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// Result has, for each policy, the imbalance: the greatest number of flows of one backend server
// divided by the mean over all backend servers.
type Result struct {
	Hosts                     int
	Table, Modulo, Rendezvous float64
}

// Run places flows on backend servers of equal weight by the table of redwingledge, by plain
// modulo hashing and by plain rendezvous hashing per flow.
func Run(service string, names []string, flows int, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 1))
	backends := make([]allocator.Backend, len(names))
	for i, name := range names {
		// This is the identity hash that entry/services/placer computes.
		hash := hasher.Pair(hasher.String(service), hasher.String(name))
		backends[i] = allocator.Backend{Index: uint32(i + 1), Hash: hash, Weight: 16}
	}
	table := allocator.Build(backends)
	byTable, byModulo, byRendezvous := make([]int, len(names)), make([]int, len(names)), make([]int, len(names))
	for range flows {
		flow := rng.Uint64()
		byTable[table[allocator.Bucket(flow)]-1]++
		byModulo[flow%uint64(len(names))]++
		best, bestScore := 0, uint64(0)
		for i, b := range backends {
			if s := hasher.Pair(b.Hash, flow); s > bestScore {
				best, bestScore = i, s
			}
		}
		byRendezvous[best]++
	}
	return Result{
		Hosts: len(names), Table: imbalance(byTable, flows), Modulo: imbalance(byModulo, flows),
		Rendezvous: imbalance(byRendezvous, flows),
	}
}

func imbalance(counts []int, flows int) float64 {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) * float64(len(counts)) / float64(flows)
}
