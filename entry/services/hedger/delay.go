package hedger

import (
	"slices"
	"time"
)

const (
	// firstBound is the upper bound of the first bucket and boundGrowth the ratio of two bounds, which limits
	// the error of a percentile to 15%. The last bound is 213 ms; callers repeat opening packets after 200 ms.
	firstBound  = time.Millisecond
	boundGrowth = 1.15
	boundCount  = 40
	// minSamples is the number of opening times from which the 99th percentile is not merely the longest.
	minSamples = 100
	// maxSamples halves all counts when it is reached, so that opening times of a minute ago weigh little
	// at a few new flows per second.
	maxSamples = 400
	// samplesPerUpdate is the number of opening times after which the percentile is computed anew.
	samplesPerUpdate = 16
)

// bounds are the upper bounds of the buckets of a delayEstimator.
var bounds = makeBounds()

func makeBounds() (list [boundCount]time.Duration) {
	bound := float64(firstBound)
	for i := range list {
		list[i] = time.Duration(bound)
		bound *= boundGrowth
	}
	return list
}

// delayEstimator estimates the 99th percentile of the latest opening times.
type delayEstimator struct {
	counts [boundCount]uint16
	total  int
	added  int
	// percentile99 is 0 until there are enough opening times.
	percentile99 time.Duration
}

func (e *delayEstimator) add(took time.Duration) {
	i, _ := slices.BinarySearch(bounds[:], took)
	e.counts[min(i, boundCount-1)]++
	e.total++
	if e.total >= maxSamples {
		e.total = 0
		for i := range e.counts {
			e.counts[i] /= 2
			e.total += int(e.counts[i])
		}
	}
	if e.added++; e.added%samplesPerUpdate == 0 && e.total >= minSamples {
		e.percentile99 = e.percentile()
	}
}

func (e *delayEstimator) percentile() time.Duration {
	above := e.total / 100
	for i := boundCount - 1; i > 0; i-- {
		if above -= int(e.counts[i]); above < 0 {
			return bounds[i]
		}
	}
	return bounds[0]
}
