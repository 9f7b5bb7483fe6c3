package hedger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/services/hedger"
)

// Guards against a delay from too few response times, and against one that falls because the second
// attempt of a slow request is answered first.
func TestDelay(t *testing.T) {
	t.Parallel()
	h := hedger.New(0.1)
	for i := range 2000 {
		took := time.Duration(i%100) * time.Millisecond
		h.Observe("orders", min(took, 97*time.Millisecond), took < 97*time.Millisecond)
		delay, ok := h.Delay("orders")
		require.Equal(t, i >= 63, ok, i)
		if i > 512 {
			require.InDelta(t, 95, delay.Milliseconds(), 2)
		}
	}
}
