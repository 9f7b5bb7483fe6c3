package demonstrator_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/demo/services/demonstrator"
)

// BenchmarkPropagation measures how long a confirmed change takes to take effect at 8 entry
// processes. It makes 300 changes and restarts an entry after every 50. It fails if a change
// takes longer than 3 s, counted from the answer to the confirmation, or if an entry goes back
// to an earlier version.
func BenchmarkPropagation(b *testing.B) {
	const entries, changes, restartEvery = 8, 300, 50
	for b.Loop() {
		ctx, system := start(b, entries)
		var durations []time.Duration
		for i := range changes {
			command := "drain"
			if i%2 == 1 {
				command = "undrain"
			}
			require.NoError(b, system.Change(ctx, func(string) {}, command, "sack-orders/host-1"))
			confirmed := time.Now()
			waitForVersion(ctx, b, system, uint64(i+2), confirmed)
			durations = append(durations, time.Since(confirmed))
			if i%restartEvery == restartEvery-1 {
				require.NoError(b, system.RestartEntry(ctx, system.EntryNames()[i/restartEvery]))
			}
		}
		slices.Sort(durations)
		b.ReportMetric(durations[len(durations)/2].Seconds(), "median-s")
		b.ReportMetric(durations[len(durations)-1].Seconds(), "max-s")
		require.LessOrEqual(b, durations[len(durations)-1], changeLimit)
	}
}

// waitForVersion waits until all entries have the version, which must be the newest.
func waitForVersion(ctx context.Context, b *testing.B, system *demonstrator.System, want uint64, confirmed time.Time) {
	b.Helper()
	for {
		versions, err := system.Versions(ctx)
		require.NoError(b, err)
		require.GreaterOrEqual(b, slices.Min(versions), want-1, "an entry went back to an earlier version")
		if slices.Min(versions) == want {
			return
		}
		require.Less(b, time.Since(confirmed), 2*changeLimit, "versions %v", versions)
		time.Sleep(10 * time.Millisecond)
	}
}
