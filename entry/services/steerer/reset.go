package steerer

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// shouldReset reports whether the flow of a repeated request is reset, so that its caller
// repeats the request on a new flow before the deadline. It answers the load of callers on
// open flows when a data centre loses power or is cut off, whose requests would otherwise be
// lost one by one.
//
// It holds only if all of this does: the request may be repeated, as after a reset nobody
// knows whether it has run; the data centre of its backend server does not answer at all; and
// another one that does can serve it.
func (s *Steerer) shouldReset(route director.Route, f *flow, server director.Server, now time.Time) bool {
	if s.settings.KeepSilentFlows || !f.isOverdue || route.Kind != director.KindSafe && route.Kind != director.KindDownload {
		return false
	}
	if !s.selector.isLost(server, now) {
		return false
	}
	for _, share := range route.Shares {
		if share.Weight > 0 && s.selector.hasOther(share.Service, server.DataCentre, now) {
			return true
		}
	}
	return false
}

// isLost reports whether the data centre of a backend server does not answer at all.
func (s *selector) isLost(server director.Server, now time.Time) bool {
	r := s.reaches[server.DataCentre]
	return r != nil && r.isLost(server.Token, now)
}

// hasOther reports whether a service has backend servers in another data centre that answers,
// as far as this entry knows.
func (s *selector) hasOther(service, dataCentre string, now time.Time) bool {
	for _, g := range s.groups(service) {
		if g.dataCentre != dataCentre && !g.reach.isAvoided(true, now) && g.open.Len() > 0 {
			return true
		}
	}
	return false
}
