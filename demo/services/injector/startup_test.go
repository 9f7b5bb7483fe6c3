package injector_test

import (
	"fmt"
	"testing"

	"github.com/redwingledge/redwingledge/demo/services/injector"
)

// BenchmarkStartup measures the start of a control process and its disk size
// after planner changes.
func BenchmarkStartup(b *testing.B) {
	for _, changes := range []int{1, 1000, 10_000} {
		b.Run(fmt.Sprint("changes=", changes), func(b *testing.B) {
			for range b.N {
				result, err := injector.MeasureStartup(b.Context(), programs, b.TempDir(), changes)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(result.Answer.Milliseconds()), "ms/start")
				b.ReportMetric(float64(result.DataBytes), "disk-bytes")
				b.ReportMetric(float64(result.Making.Microseconds())/float64(changes), "us/change")
			}
		})
	}
}
