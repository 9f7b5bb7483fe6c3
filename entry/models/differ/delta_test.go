package differ_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/differ"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// largeCatalog returns a catalog of the design size: 6 data centres, 830 services, 530 entries.
func largeCatalog() *cataloger.Catalog {
	c := &cataloger.Catalog{Version: 1}
	for i := range 6 {
		c.DataCentres = append(c.DataCentres, cataloger.DataCentre{Name: fmt.Sprintf("dc-%d", i), Region: "north"})
	}
	for i := range 830 {
		c.Services = append(c.Services, cataloger.Service{
			Name: fmt.Sprintf("service-%d", i), Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP,
			Addresses:   []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)},
			TokenSHA256: fmt.Sprintf("%064x", i),
		})
	}
	for i := range 530 {
		c.Entries = append(c.Entries, cataloger.Member{
			Name: fmt.Sprintf("entry-%d", i), DataCentre: "dc-0", Address: netip.MustParseAddrPort("10.0.0.1:7000"),
		})
	}
	return c
}

// changeRandomly returns the next version of c with one random change.
func changeRandomly(c cataloger.Catalog, random *rand.Rand) cataloger.Catalog {
	c.Version++
	i := random.IntN(len(c.Services))
	switch random.IntN(5) {
	case 0:
		c, _ = c.WithTakenOut("dc-1", !c.IsTakenOut("dc-1"))
	case 1:
		id := announcer.ID{Service: "s", Host: fmt.Sprint(random.IntN(5))}
		c = c.WithDrained(id, !c.IsDrained(id))
	case 2:
		c.Services = append(append([]cataloger.Service{}, c.Services[:i]...), c.Services[i+1:]...)
	case 3:
		c.Services = append([]cataloger.Service{}, c.Services...)
		c.Services[i].TokenSHA256 = fmt.Sprint(random.Uint64())
	default:
		c.Policies.ForbidSelfConfirm = !c.Policies.ForbidSelfConfirm
		c.Operators = append([]cataloger.Operator{}, cataloger.Operator{Name: fmt.Sprint(random.Uint64())})
	}
	return c
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := cbor.Marshal(v)
	require.NoError(t, err)
	return data
}

// Guards against a delta that does not reproduce the new catalog, and against one
// that is nearly as large as the catalog.
func TestDiffGivesTheSameCatalog(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	current := largeCatalog()
	for range 12 {
		next := changeRandomly(*current, random)
		delta, ok := differ.Diff(current, &next)
		require.True(t, ok)
		data := encode(t, delta)
		require.Less(t, len(data), 1000, "whole catalog: %d", len(encode(t, next)))
		var received differ.Delta
		require.NoError(t, cbor.Unmarshal(data, &received))
		applied, err := received.Apply(current)
		require.NoError(t, err)
		require.Equal(t, encode(t, next), encode(t, applied))
		_, err = received.Apply(applied)
		require.Error(t, err, "a delta applies only to its own base version")
		current = applied
	}
}

// Guards against a delta that loses the order of items.
func TestDiffRefusesNewOrder(t *testing.T) {
	t.Parallel()
	base, next := largeCatalog(), largeCatalog()
	next.Version = 2
	next.Services[0], next.Services[1] = next.Services[1], next.Services[0]
	_, ok := differ.Diff(base, next)
	require.False(t, ok)
}
