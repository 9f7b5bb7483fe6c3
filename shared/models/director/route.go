package director

import (
	"net/netip"
	"slices"
	"time"
)

// Share is a service's part of the new flows of a route.
type Share struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Weight  uint32
}

// Kind tells whether requests on a route may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// KindSafe has requests that may be repeated.
	KindSafe Kind = iota + 1
	// KindUnsafe has requests that run at most once.
	KindUnsafe
	// KindDownload has large responses that may be repeated.
	KindDownload
)

// Route tells where the flows to an address of callers go.
type Route struct {
	_ struct{} `cbor:",toarray"`
	// Address is where callers send their packets.
	Address netip.AddrPort
	Kind    Kind
	// Priority is that of its requests; 0 is the highest.
	Priority uint8
	// Objective is the response time that callers expect.
	Objective time.Duration
	Shares    []Share
	// Former lists services that earlier versions of the route named. Their open
	// flows go on.
	Former []string
}

// Allows reports whether flows of the route may be at the service, because the
// route names it or has named it.
func (r Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) || slices.Contains(r.Former, service)
}

// WithFormer returns a copy that also allows the services of an earlier version.
func (r Route) WithFormer(earlier Route) Route {
	former := slices.Clone(r.Former)
	add := func(service string) {
		if !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) && !slices.Contains(former, service) {
			former = append(former, service)
		}
	}
	for _, share := range earlier.Shares {
		add(share.Service)
	}
	for _, service := range earlier.Former {
		add(service)
	}
	r.Former = former
	return r
}

// PickService returns the service for a point of [0, 1), by weight. It returns ""
// if no service has a weight.
func (r Route) PickService(point float64) string {
	total := uint64(0)
	for _, share := range r.Shares {
		total += uint64(share.Weight)
	}
	left := uint64(point * float64(total))
	for _, share := range r.Shares {
		if left < uint64(share.Weight) {
			return share.Service
		}
		left -= uint64(share.Weight)
	}
	return ""
}

// Equal reports whether both routes are the same.
func (r Route) Equal(other Route) bool {
	return r.Address == other.Address && r.Kind == other.Kind && r.Priority == other.Priority && r.Objective == other.Objective &&
		slices.Equal(r.Shares, other.Shares) && slices.Equal(r.Former, other.Former)
}
