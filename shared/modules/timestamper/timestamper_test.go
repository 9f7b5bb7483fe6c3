package timestamper_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/timestamper"
	"github.com/redwingledge/redwingledge/shared/modules/timestamper/timestampertest"
)

// receive returns the ancillary data of a datagram that waits in a socket for a time.
func receive(t *testing.T, wait time.Duration, stamped bool) []byte {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	if stamped {
		require.NoError(t, timestamper.Enable(conn))
	}
	_, err = conn.WriteTo([]byte("x"), conn.LocalAddr())
	require.NoError(t, err)
	time.Sleep(wait)
	datagram, ancillary := make([]byte, 1), make([]byte, timestamper.AncillarySize())
	_, n, _, _, err := conn.ReadMsgUDPAddrPort(datagram, ancillary)
	require.NoError(t, err)
	return ancillary[:n]
}

// Guards against a wait that is not noticed, is in a wrong unit, or is made up without a time stamp.
func TestWaited(t *testing.T) {
	t.Parallel()
	timestampertest.Await(t)
	const wait = 150 * time.Millisecond
	t.Run("with a time stamp", func(t *testing.T) {
		t.Parallel()
		began := time.Now()
		ancillary := receive(t, wait, true)
		now := time.Now()
		waited := timestamper.Waited(ancillary, now)
		require.GreaterOrEqual(t, waited, wait)
		require.LessOrEqual(t, waited, now.Sub(began))
		require.Zero(t, timestamper.Waited(ancillary, now.Add(-time.Hour)), "the clock was set back")
	})
	t.Run("without a time stamp", func(t *testing.T) {
		t.Parallel()
		require.Zero(t, timestamper.Waited(receive(t, 0, false), time.Now()))
	})
	t.Run("with ancillary data that is cut off", func(t *testing.T) {
		t.Parallel()
		ancillary := receive(t, 0, true)
		require.Zero(t, timestamper.Waited(ancillary[:len(ancillary)/2], time.Now()))
	})
}
