package hedger

import "time"

const (
	// intervals is the number of parts of the second that a slidingCount covers.
	intervals      = 10
	intervalLength = time.Second / intervals
)

// slidingCount counts the events of the last second. It forgets them in steps of a tenth of a second. The
// zero value is empty.
type slidingCount struct {
	counts    [intervals]int
	total     int
	newest    int
	startedAt time.Time
}

func (c *slidingCount) increment(now time.Time) {
	c.advance(now)
	c.counts[c.newest]++
	c.total++
}

func (c *slidingCount) sum(now time.Time) int {
	c.advance(now)
	return c.total
}

// advance starts the interval that contains now.
func (c *slidingCount) advance(now time.Time) {
	passed := int64(now.Sub(c.startedAt) / intervalLength)
	if passed <= 0 {
		return
	}
	if passed >= intervals {
		*c = slidingCount{startedAt: now}
		return
	}
	c.startedAt = c.startedAt.Add(time.Duration(passed) * intervalLength)
	for range passed {
		c.newest = (c.newest + 1) % intervals
		c.total -= c.counts[c.newest]
		c.counts[c.newest] = 0
	}
}
