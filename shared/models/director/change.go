package director

import (
	"net/netip"
	"time"
)

// Change is one update of the state that control replicates to entries. The types
// of this file implement it.
type Change interface{ isChange() }

type sealed struct{}

func (sealed) isChange() {}

// ServerChanged adds or replaces a backend server.
type ServerChanged struct {
	sealed
	Server Server
}

// ServerRemoved removes a backend server whose flows have all ended.
type ServerRemoved struct {
	sealed
	Token Token
}

// RouteChanged adds or replaces a route.
type RouteChanged struct {
	sealed
	Route Route
}

// RouteRemoved removes a route.
type RouteRemoved struct {
	sealed
	Address netip.AddrPort
}

// DataCentreChanged takes a data centre out or brings it back.
type DataCentreChanged struct {
	sealed
	Name     string
	TakenOut bool
}

// VersionChanged sets the configuration version that the preceding changes
// establish.
type VersionChanged struct {
	sealed
	Version uint64
	// IdleTimeout is how long a flow may be idle before its state may be discarded.
	IdleTimeout time.Duration
}

// ServiceChanged sets the rate limit of a service's backend servers during a cold
// start.
type ServiceChanged struct {
	sealed
	Name string
	// ColdRate is the maximum rate of new flows per second to a cold backend server,
	// from all entries together; 0 means no limit.
	ColdRate float64
}

// EntryAdded adds an entry to those among which the cold-start rate is divided.
type EntryAdded struct {
	sealed
	Name string
}

// Body is the wire form of one change. Exactly one field is set.
type Body struct {
	Server        *Server         `cbor:"1,keyasint,omitempty"`
	RemovedServer *Token          `cbor:"2,keyasint,omitempty"`
	Route         *Route          `cbor:"3,keyasint,omitempty"`
	RemovedRoute  *netip.AddrPort `cbor:"4,keyasint,omitempty"`
	DataCentre    *dataCentreBody `cbor:"5,keyasint,omitempty"`
	Version       *versionBody    `cbor:"6,keyasint,omitempty"`
	Service       *serviceBody    `cbor:"7,keyasint,omitempty"`
	Entry         *string         `cbor:"8,keyasint,omitempty"`
}

type serviceBody struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	ColdRate float64
}

type dataCentreBody struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	TakenOut bool
}

type versionBody struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	IdleTimeout time.Duration
}

// Wrap returns the wire form of a change.
func Wrap(change Change) Body {
	switch c := change.(type) {
	case ServerChanged:
		return Body{Server: &c.Server}
	case ServerRemoved:
		return Body{RemovedServer: &c.Token}
	case RouteChanged:
		return Body{Route: &c.Route}
	case RouteRemoved:
		return Body{RemovedRoute: &c.Address}
	case DataCentreChanged:
		return Body{DataCentre: &dataCentreBody{Name: c.Name, TakenOut: c.TakenOut}}
	case VersionChanged:
		return Body{Version: &versionBody{Version: c.Version, IdleTimeout: c.IdleTimeout}}
	case ServiceChanged:
		return Body{Service: &serviceBody{Name: c.Name, ColdRate: c.ColdRate}}
	case EntryAdded:
		return Body{Entry: &c.Name}
	default:
		return Body{}
	}
}

// Unwrap returns the change of a body, or nil if this version of the program does
// not know its type.
func (b Body) Unwrap() Change {
	switch {
	case b.Server != nil:
		return ServerChanged{Server: *b.Server}
	case b.RemovedServer != nil:
		return ServerRemoved{Token: *b.RemovedServer}
	case b.Route != nil:
		return RouteChanged{Route: *b.Route}
	case b.RemovedRoute != nil:
		return RouteRemoved{Address: *b.RemovedRoute}
	case b.DataCentre != nil:
		return DataCentreChanged{Name: b.DataCentre.Name, TakenOut: b.DataCentre.TakenOut}
	case b.Version != nil:
		return VersionChanged{Version: b.Version.Version, IdleTimeout: b.Version.IdleTimeout}
	case b.Service != nil:
		return ServiceChanged{Name: b.Service.Name, ColdRate: b.Service.ColdRate}
	case b.Entry != nil:
		return EntryAdded{Name: *b.Entry}
	default:
		return nil
	}
}
