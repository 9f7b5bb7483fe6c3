package buffer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/buffer"
)

// Guards against lost or reordered items when the ring wraps around, and against
// consumers that block after Close.
func TestRing(t *testing.T) {
	t.Parallel()
	ring := buffer.NewRing[int](2)
	for i := range 5 {
		require.True(t, ring.TryPush(i))
		require.True(t, ring.TryPush(i+100))
		require.False(t, ring.TryPush(-1), "a full ring must refuse items")
		batch := make([]int, 4)
		require.Equal(t, 2, ring.PopBatch(batch))
		require.Equal(t, []int{i, i + 100}, batch[:2])
	}
	require.True(t, ring.TryPush(7))
	ring.Close()
	item, ok := ring.Pop()
	require.True(t, ok)
	require.Equal(t, 7, item)
	_, ok = ring.Pop()
	require.False(t, ok)
	require.False(t, ring.TryPush(8))
}

// Guards against a waiting producer that is not woken when there is space or when
// the ring closes, against two items that are appended where there is space for one,
// and against an item that is appended after Close.
func TestRingPushWaits(t *testing.T) {
	t.Parallel()
	ring := buffer.NewRing[int](1)
	require.True(t, ring.Push(0))
	results := make(chan bool)
	go func() {
		results <- ring.Push(1)
		results <- ring.Push(2)
	}()
	item, ok := ring.Pop()
	require.True(t, ok)
	require.Equal(t, 0, item)
	require.True(t, <-results)
	ring.Close()
	require.False(t, <-results)
	require.Equal(t, 1, ring.Len())
}
