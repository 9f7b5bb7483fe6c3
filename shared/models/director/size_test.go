package director_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Guards against a full view that takes too long to send to an entry. At the
// design size, 3,900 backend servers and 830 routes, it must fit into 1 MB, which
// takes 2 s on a link of 4 Mbit/s.
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
	require.LessOrEqual(t, sizeOf(t, d.Changes()), limit)
	t.Logf("%d bytes, %d for one change", sizeOf(t, d.Changes()), sizeOf(t, d.Changes()[:1]))
}

// sizeOf returns the size in bytes of a WatchResponse with the changes.
func sizeOf(t *testing.T, changes []director.Change) int {
	t.Helper()
	batch, err := director.EncodeBatch(changes)
	require.NoError(t, err)
	data, err := cbor.Marshal(director.WatchResponse{Changes: batch})
	require.NoError(t, err)
	return len(data)
}

// Guards against changes that are lost in a compressed or uncompressed batch, and
// against a truncated batch that is decoded without an error.
func TestBatchRoundTrip(t *testing.T) {
	t.Parallel()
	for _, count := range []int{0, 1, 2000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			var changes []director.Change
			for i := range count {
				changes = append(changes, director.ServerChanged{Server: director.Server{Token: director.Token(i), Host: fmt.Sprint("h", i)}})
			}
			batch, err := director.EncodeBatch(changes)
			require.NoError(t, err)
			require.Equal(t, count > 1, batch.IsCompressed)
			decoded, unknown, err := batch.Decode()
			require.NoError(t, err)
			require.Zero(t, unknown)
			require.Len(t, decoded, count)
			for i := range changes {
				require.Equal(t, changes[i], decoded[i])
			}
		})
	}
	t.Run("truncated", func(t *testing.T) {
		t.Parallel()
		batch, err := director.EncodeBatch([]director.Change{director.RouteRemoved{}})
		require.NoError(t, err)
		batch.Data = batch.Data[:len(batch.Data)-1]
		_, _, err = batch.Decode()
		require.Error(t, err)
	})
}

// Guards against a type of change that Wrap or Unwrap does not handle.
func TestChangeRoundTrip(t *testing.T) {
	t.Parallel()
	address := netip.MustParseAddrPort("198.18.0.1:443")
	for _, change := range []director.Change{
		director.ServerChanged{Server: director.Server{Token: 3, Host: "h", State: director.StateDraining, ColdStart: 5}},
		director.ServerRemoved{Token: 7},
		director.RouteChanged{Route: director.Route{Address: address, FormerServices: []string{"a"}}},
		director.RouteRemoved{Address: address},
		director.DataCentreChanged{Name: "a", TakenOut: true},
		director.VersionChanged{Version: 9, IdleTimeout: 3},
		director.ServiceChanged{Name: "orders", ColdRate: 2.5},
		director.EntryAdded{Name: "entry-1"},
	} {
		data, err := cbor.Marshal(director.Wrap(change))
		require.NoError(t, err)
		var body director.Body
		require.NoError(t, cbor.Unmarshal(data, &body))
		require.Equal(t, change, body.Unwrap())
	}
}
