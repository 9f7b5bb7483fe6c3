package forwarder

import (
	"net/netip"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/entry/services/resolver"
	"github.com/redwingledge/redwingledge/entry/services/translator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Suffixes of service names towards the placement. A backend server has one
// address, so that a service with an IPv4 and an IPv6 address has a table for
// each.
const (
	suffixIPv4 = "/ipv4"
	suffixIPv6 = "/ipv6"
)

// Member is a live entry of the region.
type Member struct {
	Name       string
	DataCentre string
	// PacketAddress is where relayed packets are sent.
	PacketAddress netip.AddrPort
}

// Input is a change of the view.
type Input interface{ isInput() }

type (
	// CatalogChanged states the configuration in force.
	CatalogChanged struct{ Catalog cataloger.Catalog }

	// RecordsChanged states records that are new or changed, or removed.
	RecordsChanged struct {
		Changed []announcer.Record
		Removed []announcer.ID
	}

	// RecordsReplaced states all records.
	RecordsReplaced struct{ Records []announcer.Record }

	// MembersChanged states all live entries of the region.
	MembersChanged struct{ Members []Member }

	// PlacerInput is an input for the placement alone.
	PlacerInput struct{ Input placer.Input }
)

func (CatalogChanged) isInput()  {}
func (RecordsChanged) isInput()  {}
func (RecordsReplaced) isInput() {}
func (MembersChanged) isInput()  {}
func (PlacerInput) isInput()     {}

// departedRetention is how long an entry that left may still relay packets. A
// leaving entry forwards until the fabric stops handing it packets.
const departedRetention = time.Minute

// memberAddress is where an entry sends packets from. The time is zero while the
// entry is live.
type memberAddress struct {
	address  netip.AddrPort
	departed time.Time
}

// view is what the entry knows of the configuration, the backend servers and
// the other entries.
type view struct {
	catalog cataloger.Catalog
	records map[announcer.ID]announcer.Record
	members map[uint64]memberAddress
	table   *resolver.Table
}

func newView() view {
	return view{
		records: make(map[announcer.ID]announcer.Record),
		members: make(map[uint64]memberAddress),
		table:   resolver.NewTable(cataloger.Catalog{}, nil),
	}
}

// isMember reports whether the live entry with the given hash has the address,
// so that only entries can mark packets as relayed.
func (v *view) isMember(hash uint64, address netip.AddrPort) bool {
	known, ok := v.members[hash]
	return ok && known.address == netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// setMembers replaces the live entries and keeps those that left for
// departedRetention.
func (v *view) setMembers(now time.Time, members []Member) {
	for hash, known := range v.members {
		switch {
		case known.departed.IsZero():
			known.departed = now
			v.members[hash] = known
		case now.Sub(known.departed) > departedRetention:
			delete(v.members, hash)
		}
	}
	for _, member := range members {
		v.members[placer.HashEntry(member.Name)] = memberAddress{address: member.PacketAddress}
	}
}

func (v *view) rebuild() {
	records := make([]announcer.Record, 0, len(v.records))
	for _, record := range v.records {
		records = append(records, record)
	}
	v.table = resolver.NewTable(v.catalog, records)
}

// HandleInput changes the view and returns what the placement asks for. Packets
// that it releases have been sent.
func (f *Forwarder) HandleInput(now time.Time, input Input) []placer.Output {
	switch in := input.(type) {
	case CatalogChanged:
		f.view.catalog = in.Catalog
		f.view.rebuild()
		outputs := f.step(now, placer.CatalogChanged{Catalog: splitFamilies(in.Catalog)})
		f.index()
		return outputs
	case RecordsChanged:
		return f.changeRecords(now, in)
	case RecordsReplaced:
		return f.replaceRecords(now, in)
	case MembersChanged:
		return f.changeMembers(now, in.Members)
	case PlacerInput:
		return f.step(now, in.Input)
	default:
		return nil
	}
}

func (f *Forwarder) changeRecords(now time.Time, in RecordsChanged) []placer.Output {
	var change placer.RecordsChanged
	for _, id := range in.Removed {
		if known, ok := f.view.records[id]; ok {
			change.Removed = append(change.Removed, familyID(id, known.Address))
			delete(f.view.records, id)
		}
	}
	for _, record := range in.Changed {
		known, ok := f.view.records[record.ID]
		if ok && known.Address.Addr().Is4() != record.Address.Addr().Is4() {
			change.Removed = append(change.Removed, familyID(record.ID, known.Address))
		}
		f.view.records[record.ID] = record
		record.ID = familyID(record.ID, record.Address)
		change.Changed = append(change.Changed, record)
	}
	f.view.rebuild()
	outputs := f.step(now, change)
	f.index()
	return outputs
}

func (f *Forwarder) replaceRecords(now time.Time, in RecordsReplaced) []placer.Output {
	change := RecordsChanged{Changed: in.Records}
	kept := make(map[announcer.ID]struct{}, len(in.Records))
	for _, record := range in.Records {
		kept[record.ID] = struct{}{}
	}
	for id := range f.view.records {
		if _, ok := kept[id]; !ok {
			change.Removed = append(change.Removed, id)
		}
	}
	return f.changeRecords(now, change)
}

func (f *Forwarder) changeMembers(now time.Time, members []Member) []placer.Output {
	change := placer.MembersChanged{}
	f.view.setMembers(now, members)
	for _, member := range members {
		change.Members = append(change.Members, placer.Member{Name: member.Name, DataCentre: member.DataCentre})
	}
	return f.step(now, change)
}

// step passes an input to the placement, sends the packets that it releases, and
// returns all other outputs.
func (f *Forwarder) step(now time.Time, input placer.Input) []placer.Output {
	outputs := f.machine.Step(now, input)
	rest := outputs[:0]
	for _, output := range outputs {
		switch out := output.(type) {
		case placer.PacketReleased:
			f.release(out)
		default:
			rest = append(rest, output)
		}
	}
	return rest
}

func (f *Forwarder) release(out placer.PacketReleased) {
	held, ok := f.held[out.Ticket]
	if !ok {
		return
	}
	delete(f.held, out.Ticket)
	if reason := f.decoder.Decode(translator.Encode(nil, f.settings.VNI, held.inner, 0), &f.packet); reason != translator.ReasonNone {
		f.drop(reason)
		return
	}
	f.apply(out.Decision)
}

// index looks up the services and backend servers of the view in the machine.
func (f *Forwarder) index() {
	clear(f.services)
	for _, service := range f.view.catalog.Services {
		for _, address := range service.Addresses {
			index, ok := f.machine.ServiceIndex(familyName(service.Name, address))
			if ok {
				f.services[resolver.Endpoint{Address: address, Protocol: resolver.ProtocolNumber(service.Protocol)}] = index
			}
		}
	}
	clear(f.owners)
	clear(f.addresses)
	for endpoint, known := range f.view.table.Owners() {
		index, ok := f.machine.BackendIndex(familyID(known.ID, endpoint.Address))
		if ok {
			f.owners[endpoint] = owner{index: index, serviceAddress: known.ServiceAddress}
			f.addresses[index] = endpoint.Address
		}
	}
}

// splitFamilies returns the catalog with a service for each IP family of each
// flow service.
func splitFamilies(catalog cataloger.Catalog) cataloger.Catalog {
	services := make([]cataloger.Service, 0, len(catalog.Services))
	for _, service := range catalog.Services {
		if service.Kind != cataloger.KindFlow {
			continue
		}
		for _, address := range service.Addresses {
			split := service
			split.Name = familyName(service.Name, address)
			split.Addresses = []netip.AddrPort{address}
			services = append(services, split)
		}
	}
	drained := make([]announcer.ID, 0, 2*len(catalog.Drained))
	for _, id := range catalog.Drained {
		drained = append(drained,
			announcer.ID{Service: id.Service + suffixIPv4, Host: id.Host},
			announcer.ID{Service: id.Service + suffixIPv6, Host: id.Host})
	}
	catalog.Services, catalog.Drained = services, drained
	return catalog
}

func familyName(service string, address netip.AddrPort) string {
	if address.Addr().Is4() {
		return service + suffixIPv4
	}
	return service + suffixIPv6
}

func familyID(id announcer.ID, address netip.AddrPort) announcer.ID {
	id.Service = familyName(id.Service, address)
	return id
}

// originalID undoes familyID.
func originalID(id announcer.ID) announcer.ID {
	id.Service = strings.TrimSuffix(strings.TrimSuffix(id.Service, suffixIPv4), suffixIPv6)
	return id
}
