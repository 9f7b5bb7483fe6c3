package director

import (
	"net/netip"
	"slices"
	"time"
)

// Share is the weight of a service in the new flows of a route.
type Share struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  uint32
}

// Kind tells whether requests on a route may be retried.
type Kind uint8

// Kinds of routes.
const (
	// KindSafe has requests that may be retried.
	KindSafe Kind = iota + 1
	// KindUnsafe has requests that run at most once.
	KindUnsafe
	// KindDownload has requests with large responses, which may be retried.
	KindDownload
)

// Route maps an address that callers use to the services that handle its flows.
type Route struct {
	_ struct{} `cbor:",toarray"`
	// Address is the destination address of the callers' packets.
	Address netip.AddrPort
	Kind    Kind
	// Priority is the priority of requests on the route; 0 is the highest.
	Priority uint8
	// TargetLatency is the response time that callers expect.
	TargetLatency time.Duration
	Shares        []Share
	// FormerServices lists services that only earlier versions of the route named. Their
	// established flows continue.
	FormerServices []string
}

// Allows reports whether the service may have flows of the route, because this or
// an earlier version of the route names it.
func (r Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) || slices.Contains(r.FormerServices, service)
}

// HasWeight reports whether new flows of the route may go to the service.
func (r Route) HasWeight(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// WithFormer returns a copy that also allows the services of an earlier version of
// the route.
func (r Route) WithFormer(earlier Route) Route {
	formerServices := slices.Clone(r.FormerServices)
	add := func(service string) {
		if !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) && !slices.Contains(formerServices, service) {
			formerServices = append(formerServices, service)
		}
	}
	for _, share := range earlier.Shares {
		add(share.Service)
	}
	for _, service := range earlier.FormerServices {
		add(service)
	}
	r.FormerServices = formerServices
	return r
}

// PickService returns a service by weight: the one at the given fraction, in [0, 1),
// of the total weight. It returns "" if no service has a weight above 0.
func (r Route) PickService(fraction float64) string {
	total := uint64(0)
	for _, share := range r.Shares {
		total += uint64(share.Weight)
	}
	remaining := uint64(fraction * float64(total))
	for _, share := range r.Shares {
		if remaining < uint64(share.Weight) {
			return share.Service
		}
		remaining -= uint64(share.Weight)
	}
	return ""
}

// Equal reports whether both routes have equal fields.
func (r Route) Equal(other Route) bool {
	return r.Address == other.Address && r.Kind == other.Kind && r.Priority == other.Priority && r.TargetLatency == other.TargetLatency &&
		slices.Equal(r.Shares, other.Shares) && slices.Equal(r.FormerServices, other.FormerServices)
}
