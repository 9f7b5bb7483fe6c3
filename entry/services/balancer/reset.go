package balancer

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// shouldReset reports whether to reset the flow of a retransmitted request, so that the caller can
// repeat the request on a new flow before its deadline. Otherwise the requests on open flows to a
// data centre that loses power or is cut off would all be lost.
//
// All of these must hold: the request may be repeated, since after a reset it is unknown whether it
// has run; the data centre of its backend server does not answer at all; and another data centre
// that answers can serve it.
func (b *Balancer) shouldReset(route director.Route, f *flow, server director.Server, now time.Time) bool {
	if b.settings.KeepSilentFlows || !f.isRequestRepeated || route.Kind != director.KindSafe && route.Kind != director.KindDownload {
		return false
	}
	if !b.selector.isUnreachable(server, now) {
		return false
	}
	for _, share := range route.Shares {
		if share.Weight > 0 && b.selector.hasAlternative(share.Service, server.DataCentre, now) {
			return true
		}
	}
	return false
}

// isUnreachable reports whether the data centre of a backend server does not answer at all.
func (s *selector) isUnreachable(server director.Server, now time.Time) bool {
	health := s.healthByDataCentre[server.DataCentre]
	return health != nil && health.isUnreachable(server.Token, now)
}

// hasAlternative reports whether a service has backend servers that are not full in another data
// centre that answers, as far as this entry knows.
func (s *selector) hasAlternative(service, dataCentre string, now time.Time) bool {
	for _, g := range s.groups(service) {
		if g.dataCentre != dataCentre && !g.health.isAvoided(true, now) && g.open.Len() > 0 {
			return true
		}
	}
	return false
}
