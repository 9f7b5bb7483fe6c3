package leaser

import (
	"net/netip"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// addressIndex holds the IDs of the records at each address.
type addressIndex map[netip.AddrPort]map[announcer.ID]struct{}

func (x addressIndex) add(record announcer.Record) {
	ids := x[record.Address]
	if ids == nil {
		ids = make(map[announcer.ID]struct{}, 1)
		x[record.Address] = ids
	}
	ids[record.ID] = struct{}{}
}

func (x addressIndex) remove(record announcer.Record) {
	ids := x[record.Address]
	delete(ids, record.ID)
	if len(ids) == 0 {
		delete(x, record.Address)
	}
}

// findOwner returns the record that an address belongs to among all but the one with the given ID.
func (m *Machine) findOwner(address netip.AddrPort, except announcer.ID) (announcer.Record, bool) {
	var owner announcer.Record
	found := false
	for id := range m.addresses[address] {
		if record := m.records[id]; id != except && (!found || record.CompareOwnership(owner) > 0) {
			owner, found = record, true
		}
	}
	return owner, found
}

// claimAddress returns the claim with which the address of a belongs to the sender of a. It returns
// false and the owner if another backend server has the address: it must belong to one service only,
// because packets are assigned by address.
func (m *Machine) claimAddress(a announcer.Announcement) (uint64, announcer.ID, bool) {
	known, ok := m.records[a.ID]
	isKnownThere := ok && known.Address == a.Address
	owner, ok := m.findOwner(a.Address, a.ID)
	switch {
	case isKnownThere && (!ok || known.CompareOwnership(owner) > 0):
		return known.Claim, announcer.ID{}, true
	case !ok:
		return 0, announcer.ID{}, true
	case owner.HasAddress():
		return 0, owner.ID, false
	default:
		return owner.Claim + 1, announcer.ID{}, true
	}
}

// isDisplaced reports whether the address of a record belongs to another one.
func (m *Machine) isDisplaced(record announcer.Record) bool {
	owner, ok := m.findOwner(record.Address, record.ID)
	return ok && record.CompareOwnership(owner) < 0
}

// updateOwnership publishes the records at an address that have lost it or have it again.
func (m *Machine) updateOwnership(address netip.AddrPort) {
	ids := make([]announcer.ID, 0, len(m.addresses[address]))
	for id := range m.addresses[address] {
		ids = append(ids, id)
	}
	sortIDs(ids)
	for _, id := range ids {
		if record := m.records[id]; m.isDisplaced(record) != m.displaced[id] {
			m.publish(record)
		}
	}
}
