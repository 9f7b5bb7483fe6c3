package gossiper

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
)

// Guards against messages that share memory with the machine: another goroutine encodes
// them after the step.
func TestSyncBucketsAreCopied(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	settings := Settings{Name: "a", DataCentre: "dc", Region: "r", Address: address(1), Incarnation: 1}
	m := New(settings, rand.New(rand.NewPCG(1, 1)), now)
	m.Step(now, RecordChanged{Record: record("host-1", 1)})
	peer := messenger.Member{Name: "b", Incarnation: 1, DataCentre: "dc", Region: "r", Address: address(2)}
	var buckets []uint64
	for _, out := range m.Step(now, Received{Envelope: messenger.Envelope{
		From: "b", Incarnation: 1, Messages: []messenger.Message{messenger.SyncRoots{Self: peer}},
	}}) {
		if sent, ok := out.(Send); ok {
			for _, msg := range sent.Envelope.Messages {
				if sync, ok := msg.(messenger.SyncBuckets); ok {
					buckets = sync.Records
				}
			}
		}
	}
	require.NotEmpty(t, buckets)
	before := slices.Clone(buckets)
	m.Step(now, RecordChanged{Record: record("host-1", 2)})
	require.Equal(t, before, buckets)
}
