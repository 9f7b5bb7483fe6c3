package hedger

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of latest response times that the estimate is taken from. 25 of
	// them exceed the p95, so that one slow backend server of many changes it little.
	windowSize = 512
	// minObservations is the number of response times without which there is no estimate: 3 of
	// them exceed the p95.
	minObservations = 64
	// estimateInterval is the number of response times after which the estimate is taken anew,
	// because sorting the window takes about 10 µs.
	estimateInterval = 32
	// minDelay bounds the delay, so that a service with very short response times does not get
	// second attempts for pauses of the network or of the runtime.
	minDelay = 20 * time.Millisecond
	// percentile is the share of response times that are shorter than the delay.
	percentile = 0.95
)

// window holds the latest response times of one service in a ring, and the delay computed from
// them.
type window struct {
	times [windowSize]time.Duration
	// count is the number of response times added so far.
	count int
	// delay is 0 until minObservations response times are known.
	delay time.Duration
}

func (w *window) add(responseTime time.Duration) {
	w.times[w.count%windowSize] = responseTime
	w.count++
	if w.count >= minObservations && w.count%estimateInterval == 0 {
		sorted := slices.Clone(w.times[:min(w.count, windowSize)])
		slices.Sort(sorted)
		w.delay = max(minDelay, sorted[int(percentile*float64(len(sorted)))])
	}
}
