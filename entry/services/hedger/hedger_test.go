package hedger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/hedger"
)

// Guards against a queue that grows, and second openings beyond the limit, under load or during a change.
func TestWithhold(t *testing.T) {
	t.Parallel()
	start, now := time.Unix(1_000_000, 0), time.Unix(1_000_000, 150_000_000)
	answer := func(h *hedger.Hedger, n int, took time.Duration, now time.Time) {
		for range n {
			h.RecordAnswer(0, took, now)
		}
	}
	for reason, record := range map[hedger.Reason]func(h *hedger.Hedger, now time.Time){
		hedger.ReasonNone:         func(*hedger.Hedger, time.Time) {},
		hedger.ReasonLimit:        func(h *hedger.Hedger, _ time.Time) { h.Spend() },
		hedger.ReasonRefusals:     func(h *hedger.Hedger, now time.Time) { h.RecordRefusal(now) },
		hedger.ReasonRotation:     func(*hedger.Hedger, time.Time) {},
		hedger.ReasonLateOpenings: func(h *hedger.Hedger, now time.Time) { answer(h, 2, 70*time.Millisecond, now) },
		hedger.ReasonSlowOpenings: func(h *hedger.Hedger, now time.Time) { answer(h, 112, 170*time.Millisecond, now.Add(-2*time.Second)) },
	} {
		t.Run(reason.String(), func(t *testing.T) {
			t.Parallel()
			h, err := hedger.New(hedger.Settings{Share: 1.0 / hedger.Capacity, After: hedger.DefaultAfter})
			require.NoError(t, err)
			for range hedger.Capacity {
				require.NotZero(t, h.Open(hedger.Flow{}, true, start))
			}
			require.Zero(t, h.Open(hedger.Flow{}, true, start))
			record(h, now)
			opening, _ := h.NextLate(now)
			require.Equal(t, reason, h.Withhold(opening, reason == hedger.ReasonRotation, now))
		})
	}
}
