package transceiver_test

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/routers/transceiver"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timestamper/timestampertest"
)

// Guards against a wait in the socket that is not noticed, or that is taken from another datagram of a batch.
func TestDatagramsTellTheirArrival(t *testing.T) {
	t.Parallel()
	const wait = 150 * time.Millisecond
	timestampertest.Await(t)
	socket, err := transceiver.Listen(netip.MustParseAddrPort("127.0.0.1:0"), slog.New(slog.DiscardHandler), reporter.NewCounters())
	require.NoError(t, err)
	sender, err := net.Dial("udp", socket.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, sender.Close()) }()
	send := func() {
		_, err := sender.Write([]byte("x"))
		require.NoError(t, err)
	}
	arrivals := make(chan time.Time)
	begin := time.Now()
	send()
	send()
	time.Sleep(wait)
	started := time.Now()
	socket.Start(func(d *transceiver.Datagram) {
		at := d.ArrivedAt
		d.Release()
		arrivals <- at
	})
	for range 2 {
		at := <-arrivals
		require.False(t, at.Before(begin.Add(-time.Millisecond)), "before it was sent")
		require.LessOrEqual(t, at, started.Add(-wait+10*time.Millisecond))
	}
	send()
	require.False(t, (<-arrivals).Before(started.Add(-time.Millisecond)))
	require.NoError(t, socket.Close(t.Context()))
}
