package resolver_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/resolver"
	"github.com/redwingledge/redwingledge/entry/services/translator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Guards against a backend server that receives packets of another service by announcing the
// address of one of that service's backend servers, in whichever order the records arrive.
func TestTableConflict(t *testing.T) {
	t.Parallel()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	catalog := cataloger.Catalog{Services: []cataloger.Service{
		{Name: "a", Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP, Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:80")}},
		{Name: "b", Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP, Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.2:80")}},
	}}
	record := func(service string) announcer.Record {
		return announcer.Record{Announcement: announcer.Announcement{ID: announcer.ID{Service: service, Host: "h"}, Address: address}}
	}
	for _, records := range [][]announcer.Record{{record("a"), record("b")}, {record("b"), record("a")}} {
		table := resolver.NewTable(catalog, records)
		require.Equal(t, 1, table.Conflicts())
		owner, ok := table.FindOwner(resolver.Endpoint{Address: address, Protocol: translator.ProtocolTCP})
		require.True(t, ok)
		require.Equal(t, "a", owner.ID.Service)
		_, ok = table.FindAddress(announcer.ID{Service: "b", Host: "h"})
		require.False(t, ok)
	}
}
