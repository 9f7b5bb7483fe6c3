package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
)

// Guards against transfers that lose items, and against transfers with one group per bucket: those
// kept an entry that joined a starting service from being ready for 45 s.
func TestTransferOfAllBuckets(t *testing.T) {
	t.Parallel()
	const targets = 4
	m := NewMachine(DefaultConfig("a", "dc"), time.Unix(1, 0))
	var items []digestItem
	for i := range targets {
		index, ok := m.internHash(uint64(1000 + i))
		require.True(t, ok)
		for bucket := range allocator.Buckets {
			items = append(items, digestItem{key: uint64(bucket), target: index, isFormerTarget: true})
		}
		items = append(items, digestItem{key: 7<<32 | uint64(i), target: index, isUDP: i%2 == 0})
	}
	parts := m.makeParts(messenger.Digest{}, append([]digestItem(nil), items...))
	var size int
	var got []digestItem
	for i, part := range parts {
		require.Equal(t, uint16(i), part.Part)
		require.Equal(t, i == len(parts)-1, part.IsLast)
		size += len(part.Groups) + len(part.Bitmaps)
		m.eachItem(part, func(item digestItem) { got = append(got, item) })
	}
	require.ElementsMatch(t, items, got)
	require.Less(t, size, targets*1024)
}
