package timer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Guards against a clock that goes backwards or uses a wrong unit.
func TestBootTimeMovesForwards(t *testing.T) {
	t.Parallel()
	clock := timer.NewBootTime()
	before, began := clock.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	require.InDelta(t, time.Since(began).Seconds(), clock.Now().Sub(before).Seconds(), 0.5)
	for range 1000 {
		now := clock.Now()
		require.False(t, now.Before(before))
		before = now
	}
}
