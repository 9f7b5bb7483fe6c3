package detector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/detector"
)

// Guards against flows of other entries that are taken for a change although they come one by one, or that are
// overlooked, and against a sign that is forgotten too early or never.
func TestForeignFlows(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	record := func(d *detector.Detector, period time.Duration) time.Time {
		at := now
		for i := range 3 {
			require.False(t, d.IsChanging(at))
			at = now.Add(time.Duration(i) * period)
			d.RecordForeignFlow(at)
		}
		return at
	}
	var d detector.Detector
	last := record(&d, 499*time.Millisecond)
	require.True(t, d.IsChanging(last))
	require.True(t, d.IsChanging(last.Add(1999*time.Millisecond)))
	require.False(t, d.IsChanging(last.Add(2*time.Second)))
	d = detector.Detector{}
	require.False(t, d.IsChanging(record(&d, 500*time.Millisecond)))
}

// Guards against an entry that has started or lagged behind and does not know what changed meanwhile.
func TestCompleteView(t *testing.T) {
	t.Parallel()
	var d detector.Detector
	d.RecordChanges(nil, false, time.Unix(1_000_000, 0))
	require.False(t, d.IsChanging(time.Unix(1_000_001, 0)))
	d.RecordChanges(nil, true, time.Unix(1_000_000, 0))
	require.True(t, d.IsChanging(time.Unix(1_000_001, 0)))
}

// Guards against a pause, or a return to the rotation, that is not noticed where packets have no time of arrival.
func TestPause(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	var d detector.Detector
	receive := func(gap time.Duration, n int) {
		for range n {
			now = now.Add(gap)
			d.RecordPacket(now)
		}
	}
	receive(0, 1)
	require.True(t, d.HasPaused(now), "the first packet")
	receive(detector.MaxGap-1, 11)
	require.False(t, d.HasPaused(now))
	receive(detector.MaxGap, 1)
	require.True(t, d.HasPaused(now))
}
