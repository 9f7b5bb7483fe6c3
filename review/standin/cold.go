package main

import (
	"slices"
	"time"
)

const (
	coldFactor   = 1.5
	coldSlack    = 5
	coldSlowness = 1.6
)

// cold is the state of a host that bears only rate requests a second until it is warm.
type cold struct {
	rate   float64
	until  time.Time
	nextAt time.Time
	// sentAt has, for each opening packet of the last second, when its client sent the first copy.
	sentAt []time.Time
}

func (c *cold) isActive(now time.Time) bool { return c.rate > 0 && now.Before(c.until) }

func (c *cold) remaining() time.Duration { return max(time.Until(c.until), 0) }

// started records that a request starts.
func (c *cold) started(now time.Time) {
	if c.isActive(now) {
		c.nextAt = now.Add(time.Duration(float64(time.Second) / c.rate))
	}
}

// becomeCold makes a host cold.
func (h *host) becomeCold(rate float64, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cold = cold{rate: rate, until: time.Now().Add(length)}
	h.w.logf("host %s becomes cold for %s; it bears %.1f requests a second", h.id, length, rate)
}

// isOverCold reports whether a cold host can't start another request yet.
func (h *host) isOverCold() bool {
	now := time.Now()
	return h.cold.isActive(now) && now.Before(h.cold.nextAt)
}

// judgeCold applies the rule FAILBACK to an opening packet that arrives. Any second counts; in it
// are the requests that were sent and have arrived.
func (h *host) judgeCold(key flowKey, now time.Time) {
	if !h.cold.isActive(now) {
		return
	}
	h.cold.sentAt = append(h.cold.sentAt, h.w.sentAt(key))
	h.cold.sentAt = slices.DeleteFunc(h.cold.sentAt, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if limit := h.cold.rate*coldFactor + coldSlack; float64(len(h.cold.sentAt)) > limit {
		h.w.breakf("FAILBACK: cold host %s gets %d requests in one second; at most %.1f are allowed", h.id, len(h.cold.sentAt), limit)
	}
}
