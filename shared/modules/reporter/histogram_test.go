package reporter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

func TestHistogram(t *testing.T) {
	t.Parallel()
	counters := reporter.NewCounters()
	h := counters.Histogram("answer_time")
	for i := 1; i <= 100; i++ {
		h.Observe(time.Duration(i) * time.Millisecond)
	}
	h.Observe(time.Hour)
	l := h.Latency()
	require.Equal(t, int64(101), l.Count)
	require.InDelta(t, 51, l.P50, 1)
	require.InDelta(t, 60_000, l.Max, 600)
	require.Same(t, h, counters.Histogram("answer_time"))
}

// Guards against a text format that monitoring cannot parse line by line.
func TestText(t *testing.T) {
	t.Parallel()
	counters := reporter.NewCounters()
	counters.Int("b").Add(2)
	counters.Map("a").Add("x", 1)
	counters.Histogram("c").Observe(time.Millisecond)
	// A histogram reports the upper bound of the bucket that contains the value.
	require.Equal(t, "a.x 1\nb 2\nc.count 1\nc.p50_ms 1.003\nc.p99_ms 1.003\nc.max_ms 1.003\n", counters.Text())
}

func BenchmarkObserve(b *testing.B) {
	h := reporter.NewCounters().Histogram("h")
	b.ReportAllocs()
	for b.Loop() {
		h.Observe(time.Millisecond)
	}
}
