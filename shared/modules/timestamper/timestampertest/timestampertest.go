// Package timestampertest has a helper for tests of code that uses the times of arrival of datagrams.
package timestampertest

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/timestamper"
)

// Await returns once the kernel stamps datagrams on arrival, and keeps it so until the test ends. The kernel
// begins to do so shortly after the first socket asks for it; until then, datagrams are stamped when read.
func Await(t *testing.T) {
	t.Helper()
	const wait = 10 * time.Millisecond
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, conn.Close()) })
	require.NoError(t, timestamper.Enable(conn))
	require.Eventually(t, func() bool {
		_, err := conn.WriteTo([]byte("x"), conn.LocalAddr())
		require.NoError(t, err)
		time.Sleep(wait)
		datagram, ancillary := make([]byte, 1), make([]byte, timestamper.AncillarySize())
		_, n, _, _, err := conn.ReadMsgUDPAddrPort(datagram, ancillary)
		require.NoError(t, err)
		return timestamper.Waited(ancillary[:n], time.Now()) >= wait
	}, 5*time.Second, time.Millisecond)
}
