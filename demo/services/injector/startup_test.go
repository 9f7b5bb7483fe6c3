package injector_test

import (
	"fmt"
	"testing"

	"github.com/redwingledge/redwingledge/demo/services/injector"
)

// BenchmarkStartup measures the restart time of a control process and the size of its data file
// after a number of changes.
func BenchmarkStartup(b *testing.B) {
	for _, changes := range []int{1, 1000, 10_000} {
		b.Run(fmt.Sprint("changes=", changes), func(b *testing.B) {
			for range b.N {
				result, err := injector.MeasureStartup(b.Context(), programs, b.TempDir(), changes)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(result.FirstAnswerTime.Milliseconds()), "ms/start")
				b.ReportMetric(float64(result.DataBytes), "disk-bytes")
				b.ReportMetric(float64(result.ChangesTime.Microseconds())/float64(changes), "us/change")
			}
		})
	}
}
