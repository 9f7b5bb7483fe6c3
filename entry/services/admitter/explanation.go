package admitter

import (
	"maps"
	"time"
)

// Explanation describes the limits that apply to a new flow.
type Explanation struct {
	// Rank is that of the flow; 0 is the highest.
	Rank int
	// IsExhausted is set if the shared figures show that no data centre has room.
	IsExhausted bool
	// OwnLimit is the number of requests in progress through this entry from which it refuses flows of the
	// rank: to an exhausted service, and to any if the flows of a lower rank are long. It is 0 if it is not known.
	OwnLimit float64
	// IsLinkLimiting is set if the link refuses flows of the lowest rank.
	IsLinkLimiting bool
	// LinkFill is the fill of the bucket of the link, 0 to 1.
	LinkFill float64
}

// Copy returns an Admitter that decides as this one would, and that leaves this one unchanged.
func (a *Admitter) Copy() *Admitter {
	c := *a
	c.ranks, c.credits = a.ranks.Copy(), maps.Clone(a.credits)
	return &c
}

// Explain returns the limits that apply to a new flow. Like IsLimiting it may end a window of the link, so
// that it is to be called on a Copy where the state must not change.
func (a *Admitter) Explain(f Flow, now time.Time) Explanation {
	urgency := f.Load.Ranks.urgency(f.Priority)
	e := Explanation{
		Rank: f.Load.Ranks.of(f.Priority), IsExhausted: f.Load.isExhausted(), OwnLimit: f.Load.ownLimit(urgency),
		IsLinkLimiting: a.link.isLimiting(now),
	}
	if limit := f.Load.longFlowLimit(urgency); limit > 0 {
		e.OwnLimit = min(limit, e.OwnLimit)
	}
	if a.link.rate > 0 {
		e.LinkFill = a.link.level / a.link.depth()
	}
	return e
}
