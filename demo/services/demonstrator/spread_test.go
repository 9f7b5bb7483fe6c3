package demonstrator_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/demo/services/demonstrator"
)

// BenchmarkSpread measures how long a confirmed change takes until it is in force
// at 8 entry processes: 300 changes, with an entry restarted after every 50. It
// fails if a change takes longer than 3 s, counted from the answer to the
// confirmation, or if an entry goes back to an earlier version.
func BenchmarkSpread(b *testing.B) {
	const entries, changes, restartEvery = 8, 300, 50
	for b.Loop() {
		ctx, system := start(b, entries)
		var took []time.Duration
		for i := range changes {
			command := "drain"
			if i%2 == 1 {
				command = "undrain"
			}
			require.NoError(b, system.Change(ctx, func(string) {}, command, "sack-orders/host-1"))
			confirmed := time.Now()
			waitForVersion(ctx, b, system, uint64(i+2), confirmed)
			took = append(took, time.Since(confirmed))
			if i%restartEvery == restartEvery-1 {
				require.NoError(b, system.RestartEntry(ctx, system.EntryNames()[i/restartEvery]))
			}
		}
		slices.Sort(took)
		b.ReportMetric(took[len(took)/2].Seconds(), "median-s")
		b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
		require.LessOrEqual(b, took[len(took)-1], changeLimit)
	}
}

// waitForVersion waits until all entries have the version, which is the newest.
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
