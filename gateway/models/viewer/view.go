// Package viewer defines a gateway's view of the system (the gateways, the services
// and the backend servers) and the sources of views.
package viewer

import (
	"context"
	"net/netip"
	"slices"
	"strings"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Gateway is a gateway process of the region.
type Gateway struct {
	Name       string         `json:"name" cbor:"name"`
	DataCentre string         `json:"data_centre" cbor:"data_centre"`
	Address    netip.AddrPort `json:"address" cbor:"address"`
	// Dead is set by this gateway's own probes, never by a source.
	Dead bool `json:"-" cbor:"-"`
}

// View is an immutable snapshot of the system as a gateway sees it. It lists only the
// gateways of the gateway's own region.
type View struct {
	// Version increases with each change of the view in this process.
	Version  uint64    `json:"version"`
	Gateways []Gateway `json:"gateways"`
	// Services lists the services that gateways dispatch.
	Services []string `json:"services"`
	// Backends lists the backend servers, including those that accept no requests.
	Backends []announcer.Record `json:"backends"`
	// Drained lists backend servers that operators have drained.
	Drained []announcer.ID `json:"drained"`
	// TakenOut lists the data centres that operators have taken out.
	TakenOut []string `json:"taken_out"`
}

// Source provides views. An entry's View/Watch and a file are sources.
type Source interface {
	// Watch waits until there is a view newer than the known version and
	// returns it. It returns an error if ctx ends or the source fails; the
	// caller then keeps its last view.
	Watch(ctx context.Context, known uint64) (View, error)
}

// Accepts reports whether new requests may go to the backend server.
func (v View) Accepts(r announcer.Record) bool {
	return r.AcceptsNewFlows() && !slices.Contains(v.TakenOut, r.DataCentre) && !slices.Contains(v.Drained, r.ID)
}

// HasService reports whether gateways dispatch the service.
func (v View) HasService(name string) bool { return slices.Contains(v.Services, name) }

// GetGateway returns the gateway with the given name.
func (v View) GetGateway(name string) (Gateway, bool) {
	i := slices.IndexFunc(v.Gateways, func(g Gateway) bool { return g.Name == name })
	if i < 0 {
		return Gateway{}, false
	}
	return v.Gateways[i], true
}

// SortedGateways returns the gateways, sorted by name.
func (v View) SortedGateways() []Gateway {
	sorted := slices.Clone(v.Gateways)
	slices.SortFunc(sorted, func(a, b Gateway) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}
