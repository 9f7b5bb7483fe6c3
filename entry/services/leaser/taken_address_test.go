package leaser

import (
	"maps"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/resolver"
	"github.com/redwingledge/redwingledge/entry/services/translator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// otherAnnouncement is of another service's backend server at the address of announcement.
func otherAnnouncement(service string, sequence uint64, state announcer.State) announcer.Announcement {
	a := announcement(sequence, state)
	a.ID = announcer.ID{Service: service, Host: "host-2"}
	return a
}

// newHarnessWithTakenAddress returns a harness in which another service's backend server has taken
// the address of one whose lease has expired.
func newHarnessWithTakenAddress(t *testing.T, service string) *harness {
	t.Helper()
	h := newHarnessWithRecord(t)
	h.run(DefaultLease+gracePeriod, nil)
	h.step(AnnouncementReceived{Announcement: otherAnnouncement(service, 1, announcer.StateReady)})
	require.Empty(t, h.answered.AddressOwner)
	return h
}

// requireOwner asserts which service has the packets of the address, and that it alone gets new flows
// if any does.
func (h *harness) requireOwner(service string, acceptsNewFlows bool) {
	h.t.Helper()
	catalog := cataloger.Catalog{}
	for i, name := range []string{"alpha", "sack-orders", "zeta"} {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i)}), 80)
		catalog.Services = append(catalog.Services, cataloger.Service{
			Name: name, Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP, Addresses: []netip.AddrPort{address},
		})
	}
	table := resolver.NewTable(catalog, slices.Collect(maps.Values(h.published)))
	owner, ok := table.FindOwner(resolver.Endpoint{Address: announcement(0, "").Address, Protocol: translator.ProtocolTCP})
	require.True(h.t, ok)
	require.Equal(h.t, service, owner.ID.Service)
	for id, record := range h.published {
		require.Equal(h.t, acceptsNewFlows && id == owner.ID, record.AcceptsNewFlows(), id)
	}
}

// returns holds the ways in which the lease of the former backend server is restored.
func returns(sequence uint64) map[string]Input {
	return map[string]Input{
		"announcement": AnnouncementReceived{Announcement: announcement(sequence, announcer.StateReady)},
		"renewal": BatchReceived{Batch: messenger.RenewalBatch{Renewals: []messenger.Renewal{
			{Service: "sack-orders", Host: "host-1", Incarnation: 7, Sequence: sequence},
		}}},
	}
}

// Guards against an address that two active records have after the first one's lease was restored.
func TestLapsedServerDoesNotReturnAtTakenAddress(t *testing.T) {
	t.Parallel()
	for name, input := range returns(2) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWithTakenAddress(t, "zeta")
			h.step(input)
			h.requireOwner("zeta", true)
			require.True(t, h.records[announcement(0, "").ID].Lapsed)
		})
	}
}

// Guards against packets of a former service after the one that has taken its address has ended too.
func TestAddressStaysWithLastServer(t *testing.T) {
	t.Parallel()
	for _, service := range []string{"alpha", "zeta"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWithTakenAddress(t, service)
			h.step(AnnouncementReceived{Announcement: otherAnnouncement(service, 2, announcer.StateLeaving)})
			h.requireOwner(service, false)
			h.run(DefaultLease+gracePeriod, nil)
			h.requireOwner(service, false)
		})
	}
}

// Guards against a backend server that gets no packets at an address that has become free again.
func TestFreeAddressReturnsToServer(t *testing.T) {
	t.Parallel()
	for _, service := range []string{"alpha", "zeta"} {
		for name, input := range returns(2) {
			t.Run(service+" "+name, func(t *testing.T) {
				t.Parallel()
				h := newHarnessWithTakenAddress(t, service)
				h.run(DefaultLease+gracePeriod, nil)
				h.step(input)
				h.requireOwner("sack-orders", true)
			})
		}
	}
}

// newHarnessWithDisplacedServer returns a harness in which an entry that has not heard of the taking
// has restored the former record.
func newHarnessWithDisplacedServer(t *testing.T) *harness {
	t.Helper()
	h := newHarnessWithTakenAddress(t, "zeta")
	h.step(RecordUpdated{Record: announcer.Record{Announcement: announcement(2, announcer.StateReady), Holder: "e2"}})
	h.requireOwner("zeta", true)
	return h
}

// Guards against a backend server that is not told the owner, or renews without getting packets.
func TestDisplacedServerClaimsFreeAddress(t *testing.T) {
	t.Parallel()
	for name, input := range returns(3) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWithDisplacedServer(t)
			h.step(AnnouncementReceived{Announcement: announcement(3, announcer.StateReady)})
			require.Equal(t, "zeta", h.answered.AddressOwner.Service)
			h.step(AnnouncementReceived{Announcement: otherAnnouncement("zeta", 2, announcer.StateLeaving)})
			h.requireOwner("zeta", false)
			h.step(input)
			h.requireOwner("sack-orders", true)
		})
	}
}

// Guards against a backend server that stays without flows after the owner of its address has gone.
func TestAddressReturnsWhenOwnerGoes(t *testing.T) {
	t.Parallel()
	moved := otherAnnouncement("zeta", 2, announcer.StateReady)
	moved.Address = netip.MustParseAddrPort("10.9.0.2:80")
	for name, input := range map[string]Input{
		"moved": AnnouncementReceived{Announcement: moved}, "removed": RecordRemoved{ID: moved.ID},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWithDisplacedServer(t)
			h.step(input)
			delete(h.published, moved.ID)
			h.requireOwner("sack-orders", true)
		})
	}
}

// Guards against entries that give one address to different backend servers, by the order of records.
func TestEntriesAgreeOnTakenAddress(t *testing.T) {
	t.Parallel()
	for _, service := range []string{"alpha", "zeta"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			taken := newHarnessWithTakenAddress(t, service)
			unaware := newHarnessWithRecord(t)
			unaware.run(DefaultLease+gracePeriod, nil)
			unaware.step(AnnouncementReceived{Announcement: announcement(2, announcer.StateReady)})
			for _, records := range permute(append(taken.changed, unaware.takeLastChange())) {
				h := newHarness(t, "e2", "b", member("e1", "a"), member("e2", "b"))
				for _, record := range records {
					h.step(RecordUpdated{Record: record})
				}
				h.requireOwner(service, true)
			}
		})
	}
}

// Guards against entries that keep different records after one announcement reached two of them, of
// which one had not heard of the taking.
func TestEntriesAgreeOnClaim(t *testing.T) {
	t.Parallel()
	for _, service := range []string{"alpha", "zeta"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			aware, unaware := newHarnessWithTakenAddress(t, service), newHarnessWithRecord(t)
			for _, h := range []*harness{aware, unaware} {
				h.run(DefaultLease+gracePeriod, nil)
				h.step(AnnouncementReceived{Announcement: announcement(2, announcer.StateReady)})
			}
			records := append(slices.Clone(aware.changed), unaware.takeLastChange())
			for _, records := range permute(records[len(records)-4:]) {
				h := newHarness(t, "e2", "b", member("e1", "a"), member("e2", "b"))
				for _, record := range records {
					h.step(RecordUpdated{Record: record})
				}
				h.requireOwner("sack-orders", true)
			}
		})
	}
}

func permute(records []announcer.Record) [][]announcer.Record {
	if len(records) < 2 {
		return [][]announcer.Record{records}
	}
	var all [][]announcer.Record
	for i, first := range records {
		for _, rest := range permute(slices.Delete(slices.Clone(records), i, i+1)) {
			all = append(all, append([]announcer.Record{first}, rest...))
		}
	}
	return all
}
