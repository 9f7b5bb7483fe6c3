// Package reservertest reserves loopback addresses for tests of servers that start more than once, or whose addresses
// others must know before they start.
package reservertest

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/reserver"
)

// Addresses returns addresses that no other test gets before this process ends.
func Addresses(t testing.TB, count int) []netip.AddrPort {
	t.Helper()
	addresses, err := reserver.Addresses(count)
	require.NoError(t, err)
	return addresses
}

// Address returns one address like Addresses.
func Address(t testing.TB) netip.AddrPort {
	t.Helper()
	return Addresses(t, 1)[0]
}
