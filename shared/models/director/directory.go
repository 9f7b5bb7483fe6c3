package director

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Directory is the state that results from applying changes. It is not safe for
// concurrent use.
type Directory struct {
	Version     uint64
	IdleTimeout time.Duration
	servers     map[Token]Server
	routes      map[netip.AddrPort]Route
	takenOut    map[string]bool
	coldRates   map[string]float64
	entries     map[string]bool
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{
		servers: make(map[Token]Server), routes: make(map[netip.AddrPort]Route), takenOut: make(map[string]bool),
		coldRates: make(map[string]float64), entries: make(map[string]bool),
	}
}

// Apply applies a change to the state.
func (d *Directory) Apply(change Change) {
	switch c := change.(type) {
	case ServerChanged:
		d.servers[c.Server.Token] = c.Server
	case ServerRemoved:
		delete(d.servers, c.Token)
	case RouteChanged:
		d.routes[c.Route.Address] = c.Route
	case RouteRemoved:
		delete(d.routes, c.Address)
	case DataCentreChanged:
		if c.TakenOut {
			d.takenOut[c.Name] = true
		} else {
			delete(d.takenOut, c.Name)
		}
	case ServiceChanged:
		if c.ColdRate > 0 {
			d.coldRates[c.Name] = c.ColdRate
		} else {
			delete(d.coldRates, c.Name)
		}
	case EntryAdded:
		d.entries[c.Name] = true
	case VersionChanged:
		d.Version, d.IdleTimeout = c.Version, c.IdleTimeout
	}
}

// Changes returns the changes that turn an empty Directory into an equal one. Their
// order depends on the content only.
func (d *Directory) Changes() []Change {
	changes := make([]Change, 0, len(d.servers)+len(d.routes)+len(d.takenOut)+1)
	for _, s := range d.Servers() {
		changes = append(changes, ServerChanged{Server: s})
	}
	for _, r := range d.Routes() {
		changes = append(changes, RouteChanged{Route: r})
	}
	for _, name := range d.TakenOut() {
		changes = append(changes, DataCentreChanged{Name: name, TakenOut: true})
	}
	for _, name := range slices.Sorted(maps.Keys(d.coldRates)) {
		changes = append(changes, ServiceChanged{Name: name, ColdRate: d.coldRates[name]})
	}
	for _, name := range d.Entries() {
		changes = append(changes, EntryAdded{Name: name})
	}
	return append(changes, VersionChanged{Version: d.Version, IdleTimeout: d.IdleTimeout})
}

// Server returns the backend server with the token.
func (d *Directory) Server(token Token) (Server, bool) {
	s, ok := d.servers[token]
	return s, ok
}

// EachServer returns an iterator over all backend servers in no particular order.
func (d *Directory) EachServer() iter.Seq[Server] { return maps.Values(d.servers) }

// Servers returns all backend servers, sorted by token.
func (d *Directory) Servers() []Server {
	servers := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.Token, b.Token) })
	return servers
}

// Route returns the route of a service address.
func (d *Directory) Route(address netip.AddrPort) (Route, bool) {
	r, ok := d.routes[address]
	return r, ok
}

// Routes returns all routes, sorted by address.
func (d *Directory) Routes() []Route {
	routes := make([]Route, 0, len(d.routes))
	for _, r := range d.routes {
		routes = append(routes, r)
	}
	slices.SortFunc(routes, func(a, b Route) int { return a.Address.Compare(b.Address) })
	return routes
}

// IsTakenOut reports whether a data centre is taken out.
func (d *Directory) IsTakenOut(dataCentre string) bool { return d.takenOut[dataCentre] }

// ColdRate returns the maximum rate of new flows per second to a cold backend
// server of the service; 0 means no limit.
func (d *Directory) ColdRate(service string) float64 { return d.coldRates[service] }

// Entries returns the sorted names of the entries that were added.
func (d *Directory) Entries() []string { return slices.Sorted(maps.Keys(d.entries)) }

// HasEntry reports whether the entry was added by EntryAdded.
func (d *Directory) HasEntry(name string) bool { return d.entries[name] }

// TakenOut returns the data centres that are taken out, sorted by name.
func (d *Directory) TakenOut() []string { return slices.Sorted(maps.Keys(d.takenOut)) }
