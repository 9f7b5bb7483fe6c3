package reserver_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/reserver"
)

// Guards against two processes that get the same port. A test failed because the second process
// reported "address already in use".
func TestAddressesAreReserved(t *testing.T) {
	t.Parallel()
	seen := make(map[string]bool)
	for range 20 {
		addresses, err := reserver.Addresses(5)
		require.NoError(t, err)
		for _, address := range addresses {
			require.False(t, seen[address.String()], "%s was returned twice", address)
			seen[address.String()] = true
			listener, err := net.Listen("tcp", address.String())
			require.NoError(t, err)
			require.NoError(t, listener.Close())
		}
	}
}
