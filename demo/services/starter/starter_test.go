package starter_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/demo/services/starter"
)

// Guards against two processes that get the same port. A test failed because the second process
// reported "address already in use".
func TestFreeAddressesAreReserved(t *testing.T) {
	t.Parallel()
	seen := make(map[string]bool)
	for range 20 {
		addresses, err := starter.FreeAddresses(5)
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
