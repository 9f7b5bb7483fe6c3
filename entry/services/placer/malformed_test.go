package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// newMalformedMessage returns a random message whose lists are inconsistent.
func newMalformedMessage(rng *rand.Rand) messenger.Message {
	bytes := func() []byte {
		data := make([]byte, rng.IntN(60))
		for i := range data {
			data[i] = byte(rng.IntN(256) >> rng.IntN(8))
		}
		return data
	}
	targets := make([]uint64, rng.IntN(4))
	for i := range targets {
		targets[i] = rng.Uint64()
	}
	small := func() uint64 { return uint64(rng.IntN(4)) }
	switch rng.IntN(6) {
	case 0:
		return messenger.Placements{Targets: targets, Flows: bytes(), IsReplacing: rng.IntN(2) == 0, Sequence: small()}
	case 1:
		return messenger.PlacementsAck{Sequence: small()}
	case 2:
		return messenger.FlowQuery{ID: uint32(small()), Flows: bytes(), Service: hasher.String(services[rng.IntN(2)])}
	case 3:
		return messenger.FlowAnswer{ID: uint32(small()), Targets: targets, Flows: bytes()}
	case 4:
		return messenger.DigestAck{Stream: small(), Part: uint16(small())}
	default:
		return messenger.Digest{
			Service: hasher.String(services[rng.IntN(2)]), Version: small(), Stream: small(), Phase: messenger.Phase(rng.IntN(8)),
			Part: uint16(small()), IsLast: rng.IntN(2) == 0, Targets: targets, Groups: bytes(), Bitmaps: bytes(),
		}
	}
}

// Guards against a message from another entry that makes the process panic.
func TestMalformedMessagesCauseNoPanic(t *testing.T) {
	t.Parallel()
	n := newNetwork(5, 3)
	n.run(10 * time.Second)
	n.openFlows(60, 20*time.Second, 10*time.Second)
	n.run(5 * time.Second)
	n.drain(1)
	rng := rand.New(rand.NewPCG(5, 5))
	for range 20_000 {
		message := newMalformedMessage(rng)
		require.NotPanics(t, func() {
			n.step(n.nodes[0], MessageReceived{From: n.nodes[1+rng.IntN(2)].name, Message: message})
		}, "%T %+v", message, message)
		if rng.IntN(100) == 0 {
			n.run(20 * time.Millisecond)
		}
	}
}
