package director_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Guards against a view that grows beyond what an entry can be sent at the design
// size: 3,900 backend servers and 830 routes in 1 MB, 2 s of a link of 4 Mbit/s.
func TestViewSizeAtDesignSize(t *testing.T) {
	t.Parallel()
	const servers, routes, limit = 3900, 830, 1 << 20
	d := director.NewDirectory()
	for i := range servers {
		d.Apply(director.ServerChanged{Server: director.Server{
			Token: director.Token(i + 1), Host: fmt.Sprintf("i-%010x", i), Service: fmt.Sprintf("service-%d", i%40), DataCentre: "egy-north-a", Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080), State: director.StateReady, Incarnation: 1_700_000_000_000, Sequence: 1,
		}})
	}
	for i := range routes {
		d.Apply(director.RouteChanged{Route: director.Route{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443), Kind: director.KindSafe,
			Shares: []director.Share{{Service: fmt.Sprintf("service-%d", i%40), Weight: 1}},
		}})
	}
	var resp director.WatchResponse
	for _, change := range d.Changes() {
		resp.Changes = append(resp.Changes, director.Wrap(change))
	}
	data, err := cbor.Marshal(resp)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), limit)
	one, err := cbor.Marshal(director.WatchResponse{Changes: resp.Changes[:1]})
	require.NoError(t, err)
	t.Logf("%d bytes, %d for one change", len(data), len(one))
}

// Guards against a kind of change that is lost on its way to entries.
func TestEveryChangeSurvivesTheWire(t *testing.T) {
	t.Parallel()
	address := netip.MustParseAddrPort("198.18.0.1:443")
	for _, change := range []director.Change{
		director.ServerChanged{Server: director.Server{Token: 3, Host: "h", State: director.StateDraining, ColdFor: 5}},
		director.ServerForgotten{Token: 7},
		director.RouteChanged{Route: director.Route{Address: address, Former: []string{"a"}}},
		director.RouteRemoved{Address: address},
		director.DataCentreChanged{Name: "a", TakenOut: true},
		director.VersionChanged{Version: 9, IdleTimeout: 3},
		director.ServiceChanged{Name: "orders", ColdRate: 2.5},
		director.EntryEnlisted{Name: "entry-1"},
	} {
		data, err := cbor.Marshal(director.Wrap(change))
		require.NoError(t, err)
		var body director.Body
		require.NoError(t, cbor.Unmarshal(data, &body))
		require.Equal(t, change, body.Unwrap())
	}
}
