// Package resolver finds the service or the backend server that an address of an inner packet
// belongs to.
package resolver

import (
	"iter"
	"maps"
	"net/netip"
	"slices"

	"github.com/redwingledge/redwingledge/entry/services/translator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Endpoint is an address and port with the transport protocol.
type Endpoint struct {
	Address  netip.AddrPort
	Protocol translator.Protocol
}

// Owner is a backend server, with the service address that is the source of its packets to callers.
type Owner struct {
	ID             announcer.ID
	ServiceAddress netip.AddrPort
}

// Table maps endpoints to services and backend servers. It is immutable.
type Table struct {
	services  map[Endpoint]string
	owners    map[Endpoint]Owner
	endpoints map[announcer.ID]Endpoint
	conflicts int
}

// NewTable returns the table for a catalog and the records of backend servers. If several records claim
// one endpoint, every entry assigns it to the greatest one by [announcer.Record.CompareOwnership], and
// the other backend servers get no packets.
func NewTable(catalog cataloger.Catalog, records []announcer.Record) *Table {
	table := &Table{
		services:  make(map[Endpoint]string),
		owners:    make(map[Endpoint]Owner, len(records)),
		endpoints: make(map[announcer.ID]Endpoint, len(records)),
	}
	addresses := make(map[string][]netip.AddrPort, len(catalog.Services))
	protocols := make(map[string]translator.Protocol, len(catalog.Services))
	for _, service := range catalog.Services {
		if service.Kind != cataloger.KindFlow {
			continue
		}
		protocols[service.Name] = ProtocolNumber(service.Protocol)
		addresses[service.Name] = service.Addresses
		for _, address := range service.Addresses {
			table.services[Endpoint{address, protocols[service.Name]}] = service.Name
		}
	}
	sorted := slices.Clone(records)
	slices.SortFunc(sorted, func(a, b announcer.Record) int { return b.CompareOwnership(a) })
	for _, record := range sorted {
		serviceAddress, ok := findSameFamily(addresses[record.Service], record.Address)
		if !ok {
			continue
		}
		endpoint := Endpoint{record.Address, protocols[record.Service]}
		_, isService := table.services[endpoint]
		if _, taken := table.owners[endpoint]; taken || isService {
			table.conflicts++
			continue
		}
		table.owners[endpoint] = Owner{ID: record.ID, ServiceAddress: serviceAddress}
		table.endpoints[record.ID] = endpoint
	}
	return table
}

// FindService returns the name of the service at an endpoint.
func (t *Table) FindService(endpoint Endpoint) (string, bool) {
	name, ok := t.services[endpoint]
	return name, ok
}

// FindOwner returns the backend server at an endpoint.
func (t *Table) FindOwner(endpoint Endpoint) (Owner, bool) {
	owner, ok := t.owners[endpoint]
	return owner, ok
}

// Owners iterates over the endpoints of all backend servers.
func (t *Table) Owners() iter.Seq2[Endpoint, Owner] { return maps.All(t.owners) }

// FindAddress returns the address of a backend server. It returns false if the backend server is
// unknown or its address belongs to another one.
func (t *Table) FindAddress(id announcer.ID) (netip.AddrPort, bool) {
	endpoint, ok := t.endpoints[id]
	return endpoint.Address, ok
}

// Conflicts returns the number of records whose endpoint belongs to another backend server or to a
// service.
func (t *Table) Conflicts() int { return t.conflicts }

// ProtocolNumber returns the IP protocol number of a protocol name.
func ProtocolNumber(protocol cataloger.Protocol) translator.Protocol {
	if protocol == cataloger.ProtocolUDP {
		return translator.ProtocolUDP
	}
	return translator.ProtocolTCP
}

func findSameFamily(addresses []netip.AddrPort, peer netip.AddrPort) (netip.AddrPort, bool) {
	for _, address := range addresses {
		if address.Addr().Is4() == peer.Addr().Is4() {
			return address, true
		}
	}
	return netip.AddrPort{}, false
}
