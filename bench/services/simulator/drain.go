package simulator

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// settleTimeout limits the time of a drain. It exceeds the time that 32 entries need for their
// digests.
const settleTimeout = 10 * time.Minute

// Cost is the placement traffic that one change causes.
type Cost struct {
	Entries, Flows int
	// Messages and Bytes are means per entry of what was sent. Bytes include the overhead of calls.
	Messages, Bytes float64
	// Settled is the time from the drain until all buckets are settled at all entries, or until the
	// measurement timed out. In the second case IsSettled is false.
	Settled   time.Duration
	IsSettled bool
}

// MeasureDrain drains one of 14 backend servers of a service while about the given number of flows
// is open, and adds up the placement messages until all buckets are settled.
func MeasureDrain(d specifier.Deployment, entries, flows int, seed uint64) Cost {
	n := newNetwork(d, seed, entries)
	n.meanFlowDuration = 24 * time.Hour
	n.Run(10 * time.Second)
	n.openFlows(float64(flows)/10, 10*time.Second)
	n.Run(15 * time.Second)
	n.isCounting = true
	service := d.Services[0].Name
	n.setBackend(service, 0, announcer.StateDraining, announcer.RampSteps)
	start := n.Now()
	n.Run(2 * time.Second)
	for n.contestedBuckets(service) > 0 && n.Now().Sub(start) < settleTimeout {
		n.Run(time.Second)
	}
	return Cost{
		Entries: entries, Flows: len(n.flows), Settled: n.Now().Sub(start), IsSettled: n.contestedBuckets(service) == 0,
		Messages: float64(n.messages) / float64(entries), Bytes: float64(n.bytes) / float64(entries),
	}
}

func (n *network) contestedBuckets(service string) int {
	sum := 0
	for _, e := range n.nodes {
		sum += e.machine.ContestedBuckets(service)
	}
	return sum
}

func (n *network) countMessage(from *node, out placer.SendMessage) {
	data, err := messenger.Envelope{From: from.name, Incarnation: 1, Messages: []messenger.Message{out.Message}}.MarshalCBOR()
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", out.Message, err)) // The state machines send only messages that encode.
	}
	n.messages++
	n.bytes += len(data) + gossiper.MessageOverhead
}
