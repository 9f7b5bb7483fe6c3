package recorder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
)

// Guards against refused callers that return together or before a slot is expected to be free.
func TestSpreadRetryAfter(t *testing.T) {
	t.Parallel()
	for estimate, least := range map[time.Duration]time.Duration{0: time.Second, 1100 * time.Millisecond: 2 * time.Second, 1<<63 - 1: time.Hour} {
		require.Equal(t, least, recorder.SpreadRetryAfter(estimate, func(int64) int64 { return 0 }))
		require.Equal(t, 2*least, recorder.SpreadRetryAfter(estimate, func(n int64) int64 { return n - 1 }))
	}
}
