package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// returnedSlots records the result with which a slot is returned.
type returnedSlots struct {
	Slots
	result leaseholder.Result
}

func (s *returnedSlots) Return(_ leaseholder.Slot, result leaseholder.Result, _ time.Duration) {
	s.result = result
}

// Guards against a request that is refused, and a backend server that counts as failed, because
// the gateway did not run while it connected; and against a backend server that does not count as
// failed although it did not answer a running gateway in time.
func TestPauseWhileConnectingIsNoFailure(t *testing.T) {
	t.Parallel()
	refused := recorder.RefusedNotRun{Reason: recorder.ReasonConnectFailed, RetryAfter: time.Second}
	failed := attempt{outcome: refused, retryable: true}
	tests := map[string]struct {
		elapsed   time.Duration
		connected bool
		want      attempt
		result    leaseholder.Result
	}{
		"refused at once": {want: failed, result: leaseholder.ResultFailed},
		"no answer":       {elapsed: dialTimeout, want: failed, result: leaseholder.ResultFailed},
		"late timer":      {elapsed: dialTimeout + maxDialDelay, want: failed, result: leaseholder.ResultFailed},
		"paused":          {elapsed: 1200 * time.Millisecond, want: attempt{slotExpired: true}, result: leaseholder.ResultUnused},
		"paused after it": {
			elapsed: 1200 * time.Millisecond, connected: true,
			want: attempt{outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed}}, result: leaseholder.ResultFailed,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock, slots := timer.NewFake(time.Unix(0, 0)), new(returnedSlots)
			d := New(slots, Settings{}, clock, reporter.NewCounters(), log.Discard())
			started := clock.Now()
			clock.Advance(test.elapsed)
			got := d.handleFailure(context.Background(), Request{}, leaseholder.Slot{}, started, test.connected)
			require.Equal(t, test.want, got)
			require.Equal(t, test.result, slots.result)
		})
	}
}
