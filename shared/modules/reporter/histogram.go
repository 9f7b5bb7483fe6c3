package reporter

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyMicros and maxLatencyMicros are the range of a histogram in microseconds.
	// Longer durations are recorded as maxLatencyMicros.
	minLatencyMicros = 1
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	// significantDigits gives a precision of 1%. A histogram takes 20 KB.
	significantDigits = 2
)

// Histogram records the distribution of durations. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Histogram returns the histogram with the given name. It creates an empty one if
// there is none.
func (c *Counters) Histogram(name string) *Histogram {
	return getOrCreate(c, name, func() *Histogram {
		return &Histogram{values: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
	})
}

// Observe records a duration.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range, which are clamped here.
	_ = h.values.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// Latency summarises a histogram: the number of durations, and percentiles and
// maximum in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Latency returns the current summary of the histogram.
func (h *Histogram) Latency() Latency {
	h.mu.Lock()
	defer h.mu.Unlock()
	millisAt := func(percentile float64) float64 { return float64(h.values.ValueAtPercentile(percentile)) / 1000 }
	return Latency{Count: h.values.TotalCount(), P50: millisAt(50), P99: millisAt(99), Max: millisAt(100)}
}

// String returns the summary as a JSON object.
func (h *Histogram) String() string {
	data, err := json.Marshal(h.Latency())
	if err != nil {
		return "{}" // not reached: JSON can encode all values of a Latency
	}
	return string(data)
}

func (h *Histogram) writeText(b *strings.Builder, name string) {
	l := h.Latency()
	fmt.Fprintf(b, "%s.count %d\n%s.p50_ms %g\n%s.p99_ms %g\n%s.max_ms %g\n", name, l.Count, name, l.P50, name, l.P99, name, l.Max)
}
