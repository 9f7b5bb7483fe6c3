package reporter_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

// Guards against a deadlock of a read, whose gauge waits for a lock, with the holder of that lock, which adds a
// counter. Here the gauge itself adds the counter.
func TestCounterIsAddedDuringRead(t *testing.T) {
	t.Parallel()
	for name, read := range map[string]func(*reporter.Counters) string{
		"text": (*reporter.Counters).Text,
		"json": (*reporter.Counters).String,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counters := reporter.NewCounters()
			counters.Func("gauge", func() any { return counters.Int("added").Value() })
			done := make(chan string, 1)
			go func() { done <- read(counters) }()
			select {
			case text := <-done:
				require.Contains(t, text, "gauge")
			case <-time.After(5 * time.Second):
				require.Fail(t, "the read does not end")
			}
		})
	}
}

// Guards against lost counts of a counter that several goroutines use for the first time at once.
func TestFirstCountsAreKept(t *testing.T) {
	t.Parallel()
	const rounds, goroutines = 500, 8
	for range rounds {
		counters := reporter.NewCounters()
		start := make(chan struct{})
		var done sync.WaitGroup
		for range goroutines {
			done.Go(func() {
				<-start
				counters.Int("requests").Add(1)
				counters.Map("reasons").Add("a", 1)
				counters.Histogram("latency").Observe(time.Millisecond)
			})
		}
		close(start)
		done.Wait()
		require.EqualValues(t, goroutines, counters.Int("requests").Value())
		require.JSONEq(t, `{"a": 8}`, counters.Map("reasons").String())
		require.EqualValues(t, goroutines, counters.Histogram("latency").Latency().Count)
	}
}

// Guards against JSON that /debug/vars cannot serve.
func TestCountersAreJSON(t *testing.T) {
	t.Parallel()
	counters := reporter.NewCounters()
	require.JSONEq(t, `{}`, counters.String())
	counters.Int("b").Add(2)
	counters.Map("a").Add("x", 1)
	counters.Func("c", func() any { return []string{"y"} })
	require.JSONEq(t, `{"a": {"x": 1}, "b": 2, "c": ["y"]}`, counters.String())
}
