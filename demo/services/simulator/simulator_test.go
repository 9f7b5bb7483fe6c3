package simulator_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/demo/modules/framer"
	"github.com/redwingledge/redwingledge/demo/services/simulator"
)

// Guards against an error for a packet that a real fabric drops, which would fail each test in
// which no entry runs for a moment.
func TestPacketsWithoutReadyEntryAreDropped(t *testing.T) {
	t.Parallel()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	fabric, err := simulator.ListenFabric(loopback, 1, 1)
	require.NoError(t, err)
	defer func() { require.NoError(t, fabric.Close()) }()
	entry, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	require.NoError(t, err)
	defer func() { require.NoError(t, entry.Close()) }()
	segment := framer.Segment{
		IsTCP: true, SYN: true, Source: netip.MustParseAddrPort("203.0.113.1:999"), Destination: netip.MustParseAddrPort("192.0.2.1:80"),
	}
	require.NoError(t, fabric.Send(segment))
	require.Equal(t, simulator.Stats{Unready: 1}, fabric.Stats())

	address, ok := entry.LocalAddr().(*net.UDPAddr)
	require.True(t, ok)
	fabric.SetEntries([]netip.AddrPort{address.AddrPort()})
	require.NoError(t, fabric.Send(segment))
	require.Equal(t, simulator.Stats{Sent: 1, Unready: 1}, fabric.Stats())
	require.NoError(t, entry.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := entry.Read(make([]byte, 9216))
	require.NoError(t, err)
	require.Positive(t, n)
}
