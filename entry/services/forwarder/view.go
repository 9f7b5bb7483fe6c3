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

// Suffixes of the service names that the flow placement uses. A backend server has
// one address, so a service with an IPv4 and an IPv6 address needs one hash table
// per IP family.
const (
	suffixIPv4 = "/ipv4"
	suffixIPv6 = "/ipv6"
)

// Member is a live entry of the region.
type Member struct {
	Name       string
	DataCentre string
	// PacketAddress is the address to which relayed packets are sent.
	PacketAddress netip.AddrPort
}

// Input is a change of the view or an input of the flow placement.
type Input interface{ isInput() }

type (
	// CatalogChanged carries the current configuration.
	CatalogChanged struct{ Catalog cataloger.Catalog }

	// RecordsChanged carries new or changed records and the IDs of removed ones.
	RecordsChanged struct {
		Changed []announcer.Record
		Removed []announcer.ID
	}

	// RecordsReplaced carries all records. Known records that it lacks are removed.
	RecordsReplaced struct{ Records []announcer.Record }

	// MembersChanged carries all live entries of the region.
	MembersChanged struct{ Members []Member }

	// PlacerInput is passed to the flow placement unchanged.
	PlacerInput struct{ Input placer.Input }
)

func (CatalogChanged) isInput()  {}
func (RecordsChanged) isInput()  {}
func (RecordsReplaced) isInput() {}
func (MembersChanged) isInput()  {}
func (PlacerInput) isInput()     {}

// departedRetention is how long relayed packets are accepted from an entry that has
// left. A leaving entry forwards packets until the fabric stops sending it any.
const departedRetention = time.Minute

// memberAddress is the address from which an entry sends packets. departed is zero
// while the entry is live.
type memberAddress struct {
	address  netip.AddrPort
	departed time.Time
}

// view holds the configuration, the records of the backend servers and the other
// entries as this entry knows them.
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

// isMember reports whether the address belongs to the entry with the given name
// hash. The check ensures that only entries can mark packets as relayed.
func (v *view) isMember(hash uint64, address netip.AddrPort) bool {
	known, ok := v.members[hash]
	return ok && known.address == netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// setMembers replaces the live entries. Entries that have left are kept for
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

func (v *view) rebuildTable() {
	records := make([]announcer.Record, 0, len(v.records))
	for _, record := range v.records {
		records = append(records, record)
	}
	v.table = resolver.NewTable(v.catalog, records)
}

// HandleInput applies an input to the view and the flow placement, sends the packets
// that the placement releases, and returns the other outputs of the placement.
func (f *Forwarder) HandleInput(now time.Time, input Input) []placer.Output {
	switch in := input.(type) {
	case CatalogChanged:
		f.view.catalog = in.Catalog
		f.view.rebuildTable()
		outputs := f.step(now, placer.CatalogChanged{Catalog: splitByFamily(in.Catalog)})
		f.rebuildIndexes()
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
			change.Removed = append(change.Removed, idWithFamily(id, known.Address))
			delete(f.view.records, id)
		}
	}
	for _, record := range in.Changed {
		known, ok := f.view.records[record.ID]
		if ok && known.Address.Addr().Is4() != record.Address.Addr().Is4() {
			change.Removed = append(change.Removed, idWithFamily(record.ID, known.Address))
		}
		f.view.records[record.ID] = record
		record.ID = idWithFamily(record.ID, record.Address)
		change.Changed = append(change.Changed, record)
	}
	f.view.rebuildTable()
	outputs := f.step(now, change)
	f.rebuildIndexes()
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

// step passes an input to the flow placement, sends the packets that it releases,
// and returns all other outputs.
func (f *Forwarder) step(now time.Time, input placer.Input) []placer.Output {
	outputs := f.machine.Step(now, input)
	remaining := outputs[:0]
	for _, output := range outputs {
		switch out := output.(type) {
		case placer.PacketReleased:
			f.releasePacket(out)
		default:
			remaining = append(remaining, output)
		}
	}
	return remaining
}

func (f *Forwarder) releasePacket(out placer.PacketReleased) {
	held, ok := f.heldPackets[out.Ticket]
	if !ok {
		return
	}
	delete(f.heldPackets, out.Ticket)
	if reason := f.decoder.Decode(translator.Encode(nil, f.settings.VNI, held.inner, 0), &f.packet); reason != translator.ReasonNone {
		f.drop(reason)
		return
	}
	f.applyDecision(out.Decision)
}

// rebuildIndexes rebuilds the maps from the endpoints of the view to the placement's indexes.
func (f *Forwarder) rebuildIndexes() {
	clear(f.services)
	for _, service := range f.view.catalog.Services {
		for _, address := range service.Addresses {
			index, ok := f.machine.ServiceIndex(nameWithFamily(service.Name, address))
			if ok {
				f.services[resolver.Endpoint{Address: address, Protocol: resolver.ProtocolNumber(service.Protocol)}] = index
			}
		}
	}
	clear(f.backends)
	clear(f.addresses)
	for endpoint, known := range f.view.table.Owners() {
		index, ok := f.machine.BackendIndex(idWithFamily(known.ID, endpoint.Address))
		if ok {
			f.backends[endpoint] = backend{index: index, serviceAddress: known.ServiceAddress}
			f.addresses[index] = endpoint.Address
		}
	}
}

// splitByFamily returns the catalog with each flow service split into one service
// per IP family. Services of other kinds are left out.
func splitByFamily(catalog cataloger.Catalog) cataloger.Catalog {
	services := make([]cataloger.Service, 0, len(catalog.Services))
	for _, service := range catalog.Services {
		if service.Kind != cataloger.KindFlow {
			continue
		}
		for _, address := range service.Addresses {
			split := service
			split.Name = nameWithFamily(service.Name, address)
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

func nameWithFamily(service string, address netip.AddrPort) string {
	if address.Addr().Is4() {
		return service + suffixIPv4
	}
	return service + suffixIPv6
}

func idWithFamily(id announcer.ID, address netip.AddrPort) announcer.ID {
	id.Service = nameWithFamily(id.Service, address)
	return id
}

// idWithoutFamily removes the suffix that idWithFamily has added.
func idWithoutFamily(id announcer.ID) announcer.ID {
	id.Service = strings.TrimSuffix(strings.TrimSuffix(id.Service, suffixIPv4), suffixIPv6)
	return id
}
