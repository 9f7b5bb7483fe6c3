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
	// minLatency and maxLatency bound what a histogram tells apart, in microseconds;
	// longer times count as the longest.
	minLatency = 1
	maxLatency = int64(60 * time.Second / time.Microsecond)
	// latencyDigits keeps values to 1%, in 20 KB a histogram.
	latencyDigits = 2
)

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Histogram returns the histogram with the given name and creates it empty.
func (c *Counters) Histogram(name string) *Histogram {
	if h, ok := c.vars.Get(name).(*Histogram); ok {
		return h
	}
	h := &Histogram{values: hdrhistogram.New(minLatency, maxLatency, latencyDigits)}
	c.vars.Set(name, h)
	return h
}

// Observe adds a duration.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the bounds, which is all that can be wrong with it.
	_ = h.values.RecordValue(min(max(d.Microseconds(), minLatency), maxLatency))
}

// Latency is what a histogram shows, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Latency returns the state of the histogram.
func (h *Histogram) Latency() Latency {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := func(percentile float64) float64 { return float64(h.values.ValueAtPercentile(percentile)) / 1000 }
	return Latency{Count: h.values.TotalCount(), P50: at(50), P99: at(99), Max: at(100)}
}

// String returns the state as a JSON object.
func (h *Histogram) String() string {
	data, err := json.Marshal(h.Latency())
	if err != nil {
		return "{}" // numbers always have an encoding
	}
	return string(data)
}

func (h *Histogram) writeText(b *strings.Builder, name string) {
	l := h.Latency()
	fmt.Fprintf(b, "%s.count %d\n%s.p50_ms %g\n%s.p99_ms %g\n%s.max_ms %g\n", name, l.Count, name, l.P50, name, l.P99, name, l.Max)
}
