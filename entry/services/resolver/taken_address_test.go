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

// Guards against packets of one service that reach another's backend server, which has taken the address.
func TestTakenOverAddressBelongsToActiveServer(t *testing.T) {
	t.Parallel()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	catalog := cataloger.Catalog{Services: []cataloger.Service{
		{Name: "a", Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP, Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:80")}},
		{Name: "b", Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP, Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.2:80")}},
	}}
	record := func(service string, state announcer.State) announcer.Record {
		return announcer.Record{Announcement: announcer.Announcement{ID: announcer.ID{Service: service, Host: "h"}, Address: address, State: state}}
	}
	for name, former := range map[string]announcer.Record{
		"lapsed": record("a", announcer.StateReady).WithLapsed(true), "left": record("a", announcer.StateLeaving),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := resolver.NewTable(catalog, []announcer.Record{former, record("b", announcer.StateReady)})
			owner, ok := table.FindOwner(resolver.Endpoint{Address: address, Protocol: translator.ProtocolTCP})
			require.True(t, ok)
			require.Equal(t, "b", owner.ID.Service)
			_, ok = table.FindAddress(former.ID)
			require.False(t, ok, "packets of the former service go to the address")
		})
	}
}
