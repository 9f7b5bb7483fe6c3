package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/tabler"
)

// Guards against transfers that lose lines, and against their growth to a group
// for each bucket, which kept an entry that joined a starting service from being
// ready for 45 s.
func TestTransferOfAllBuckets(t *testing.T) {
	t.Parallel()
	const targets = 4
	m := NewMachine(DefaultConfig("a", "dc"), time.Unix(1, 0))
	var lines []digestLine
	for i := range targets {
		index, ok := m.internHash(uint64(1000 + i))
		require.True(t, ok)
		for bucket := range tabler.Buckets {
			lines = append(lines, digestLine{key: uint64(bucket), target: index, isFormer: true})
		}
		lines = append(lines, digestLine{key: 7<<32 | uint64(i), target: index, isUDP: i%2 == 0})
	}
	parts := m.makeParts(messenger.Digest{}, append([]digestLine(nil), lines...))
	var size int
	var got []digestLine
	for i, part := range parts {
		require.Equal(t, uint16(i), part.Part)
		require.Equal(t, i == len(parts)-1, part.IsLast)
		size += len(part.Groups) + len(part.Maps)
		m.eachLine(part, func(line digestLine) { got = append(got, line) })
	}
	require.ElementsMatch(t, lines, got)
	require.Less(t, size, targets*1024)
}
