package replicator

import (
	"container/heap"
	"net/netip"
	"slices"
	"time"
)

// maxQueue bounds the messages in transit. A correct cluster of 5 replicas with 5 clients needs
// a few hundred.
const maxQueue = 5000

type delivery struct {
	at  time.Duration
	seq uint64
	to  netip.AddrPort
	env Envelope
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }

func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || (d[i].at == d[j].at && d[i].seq < d[j].seq)
}

func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }

func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

func (sim *simulation) transmit(from *node, o Send) {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.address == o.To.Address })
	if i < 0 || sim.cuts[[2]string{from.name, sim.nodes[i].name}] {
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.duplicate {
		copies = 2
	}
	for range copies {
		if sim.rng.Float64() < sim.loss {
			continue
		}
		sim.seq++
		delay := sim.minDelay + time.Duration(sim.rng.Int64N(int64(sim.jitter)))
		if sim.slowLink != nil && sim.slowLink.to == sim.nodes[i].name {
			wait, ok := sim.slowLink.transmit(sim.now, o.Envelope.Message)
			if !ok {
				continue
			}
			delay += wait
		}
		if len(sim.queue) >= maxQueue {
			sim.violationf("more than %d messages in transit", maxQueue)
			sim.queue = nil
		}
		heap.Push(&sim.queue, delivery{at: sim.now + delay, seq: sim.seq, to: o.To.Address, env: o.Envelope})
	}
}
