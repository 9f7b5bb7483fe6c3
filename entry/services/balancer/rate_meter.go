package balancer

import (
	"time"
)

// rateMeter measures a rate of events.
type rateMeter struct {
	startedAt time.Time
	count     int
	perSecond float64
}

func (r *rateMeter) add(now time.Time) {
	r.advance(now)
	r.count++
}

// advance ends the windows that have passed.
func (r *rateMeter) advance(now time.Time) {
	passed := now.Sub(r.startedAt)
	if passed < arrivalWindow {
		return
	}
	if passed > 8*arrivalWindow {
		*r = rateMeter{startedAt: now}
		return
	}
	r.perSecond += arrivalSmoothing * (float64(r.count)/passed.Seconds() - r.perSecond)
	r.startedAt, r.count = now, 0
}
