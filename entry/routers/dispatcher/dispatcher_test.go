package dispatcher_test

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/routers/dispatcher"
	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/entry/services/hedger"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/timestamper/timestampertest"
)

var (
	start  = time.Unix(1_000_000, 0)
	route  = netip.MustParseAddrPort("198.18.0.1:443")
	caller = netip.MustParseAddrPort("100.64.0.7:40001")
)

// numberedPackets is a codec whose datagrams hold the number of a packet in one byte.
type numberedPackets struct {
	packets   []balancer.Packet
	backend   netip.AddrPort
	processed *sync.WaitGroup
}

func (n numberedPackets) Decode(datagram []byte) (balancer.Packet, error) {
	return n.packets[datagram[0]], nil
}

func (n numberedPackets) Forward(dst, datagram []byte, _ director.Server) ([]byte, error) {
	n.processed.Done()
	return append(dst, datagram...), nil
}

func (n numberedPackets) Reset(dst, datagram []byte) ([]byte, netip.AddrPort, error) {
	n.processed.Done()
	return append(dst, datagram...), n.backend, nil
}

// process returns the counters and the log of an entry that has processed the packets in order.
func process(t *testing.T, changes []director.Change, packets ...balancer.Packet) (counters, lines string) {
	t.Helper()
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 100}, rand.New(rand.NewPCG(1, 1)))
	routed := director.Route{Address: route, Shares: []director.Share{{Service: "orders", Weight: 1}}}
	b.Update(1, append(changes, director.RouteChanged{Route: routed}, director.VersionChanged{Version: 1}), true, start)
	return processAll(t, b, func(int, *timer.Fake, *sync.WaitGroup) {}, packets...)
}

// processAll calls next after each packet.
func processAll(t *testing.T, b *balancer.Balancer, next func(i int, clock *timer.Fake, processed *sync.WaitGroup), packets ...balancer.Packet) (counters, lines string) {
	t.Helper()
	sink, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	defer func() { require.NoError(t, sink.Close()) }()
	codec := numberedPackets{packets: packets, backend: addressOf(t, sink.LocalAddr()), processed: new(sync.WaitGroup)}
	var log bytes.Buffer
	clock, counted := timer.NewFake(start), reporter.NewCounters()
	d, err := dispatcher.Listen(netip.MustParseAddrPort("127.0.0.1:0"), codec, b, clock, counted, slog.New(slog.NewTextHandler(&log, nil)))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { d.Run(ctx) })
	for i := range packets {
		codec.processed.Add(1)
		_, err := sink.WriteToUDPAddrPort([]byte{byte(i)}, addressOf(t, d.Addr()))
		require.NoError(t, err)
		codec.processed.Wait()
		next(i, clock, codec.processed)
	}
	cancel()
	running.Wait()
	return counted.Text(), log.String()
}

func addressOf(t *testing.T, address net.Addr) netip.AddrPort {
	t.Helper()
	udp, ok := address.(*net.UDPAddr)
	require.True(t, ok)
	return udp.AddrPort()
}

func server(token director.Token, state director.State) director.ServerChanged {
	return director.ServerChanged{Server: director.Server{
		Token: token, Host: "i-1", Service: "orders", DataCentre: "b", Slots: 2, State: state, Address: netip.MustParseAddrPort("127.0.0.1:9"),
	}}
}

// Guards against a reset that cannot be explained from the counters and the log.
func TestResetsAreExplained(t *testing.T) {
	t.Parallel()
	t.Run("a first opening packet", func(t *testing.T) {
		t.Parallel()
		counters, lines := process(t, nil, balancer.Packet{Source: caller, Destination: route, IsOpening: true})
		require.Contains(t, counters, "packets_reset_opening.no_server 1\n")
		require.Contains(t, lines, `token=0 host="" data_centre="" opening=true copy=0 late=false tracked=false reason=no_server outcome=reset`)
	})
	t.Run("an open flow", func(t *testing.T) {
		t.Parallel()
		counters, lines := process(t, []director.Change{server(3, director.StateGone)},
			balancer.Packet{Source: caller, Destination: route, Token: 3})
		require.Contains(t, counters, "packets_reset_open.server_gone 1\n")
		require.Contains(t, lines, "token=3 host=i-1 data_centre=b opening=false copy=0 late=false tracked=false reason=server_gone outcome=reset")
	})
}

// Guards against the time in the socket being lost on the way to the decision.
func TestOpeningPacketThatWaitedIsDropped(t *testing.T) {
	t.Parallel()
	timestampertest.Await(t)
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 100}, rand.New(rand.NewPCG(1, 1)))
	routed := director.Route{Address: route, Shares: []director.Share{{Service: "orders", Weight: 1}}}
	b.Update(1, []director.Change{director.RouteChanged{Route: routed}, director.VersionChanged{Version: 1}}, true, start)
	codec := numberedPackets{packets: []balancer.Packet{{Source: caller, Destination: route, IsOpening: true}}}
	counted := reporter.NewCounters()
	d, err := dispatcher.Listen(netip.MustParseAddrPort("127.0.0.1:0"), codec, b, timer.NewFake(start), counted, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	sender, err := net.Dial("udp", d.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, sender.Close()) }()
	_, err = sender.Write([]byte{0})
	require.NoError(t, err)
	time.Sleep(150 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { d.Run(ctx) })
	require.Eventually(t, func() bool { return strings.Contains(counted.Text(), "opening_packets_late 1\n") }, 5*time.Second, 10*time.Millisecond)
	cancel()
	running.Wait()
	require.NotContains(t, counted.Text(), "packets_reset_opening")
}

// Guards against a flow that changes its backend server, or that a token would move, unnoticed.
func TestMovedFlowsAreCounted(t *testing.T) {
	t.Parallel()
	for message, tc := range map[string]struct {
		acknowledged   uint32
		counter, where string
	}{
		"flow moved": {acknowledged: 50_000_000, counter: "flows_moved 1\n", where: "token=4 host=i-1 data_centre=b other_token=3 acknowledged=50000000"},
		"flow kept":  {acknowledged: 8, counter: "flows_kept 1\n", where: "token=3 host=i-1 data_centre=b other_token=4 acknowledged=8"},
	} {
		t.Run(message, func(t *testing.T) {
			t.Parallel()
			counters, lines := process(t, []director.Change{server(3, director.StateReady), server(4, director.StateReady)},
				balancer.Packet{Source: caller, Destination: route, Token: 3, Acknowledged: 7},
				balancer.Packet{Source: caller, Destination: route, Token: 4, Acknowledged: tc.acknowledged})
			require.Contains(t, counters, tc.counter)
			require.Contains(t, lines, `msg="`+message+`"`)
			require.Contains(t, lines, tc.where)
		})
	}
}

// Guards against a late opening packet that is not sent a second time, or whose second one goes unnoticed.
func TestSecondOpeningIsSent(t *testing.T) {
	t.Parallel()
	hedging, err := hedger.New(hedger.Settings{Share: 0.1, After: hedger.DefaultAfter})
	require.NoError(t, err)
	b := balancer.New(balancer.Settings{DataCentre: "b", MaxFlows: 100, Hedger: hedging}, rand.New(rand.NewPCG(1, 1)))
	routed := director.Route{Address: route, Kind: director.KindSafe, Shares: []director.Share{{Service: "orders", Weight: 1}}}
	remote := server(4, director.StateReady)
	remote.Server.DataCentre = "c"
	b.Update(1, []director.Change{server(3, director.StateReady), remote, director.RouteChanged{Route: routed}, director.VersionChanged{Version: 1}}, true, start.Add(-time.Hour))
	b.Update(2, nil, false, start)
	opening, opened := balancer.Packet{Source: caller, Destination: route, IsOpening: true}, balancer.Packet{Source: caller, Destination: route, Token: 4}
	for range 20 { // fills the limit
		b.Decide(opening, start)
		b.Decide(balancer.Packet{Source: caller, Destination: route, Token: 3, IsReset: true}, start)
	}
	counters, lines := processAll(t, b, func(i int, clock *timer.Fake, processed *sync.WaitGroup) {
		if i == 0 {
			processed.Add(1)
			for range 15 {
				time.Sleep(20 * time.Millisecond) // lets the periodic task handle one tick before the next
				clock.Advance(10 * time.Millisecond)
			}
			processed.Wait()
		}
	}, opening, opened)
	require.Contains(t, counters, "second_openings 1\nsecond_openings_won 1\n")
	require.Contains(t, lines, "tried=3 token=4 host=i-1 data_centre=c reason=none outcome=sent")
	require.Contains(t, lines, `msg="flow opened by second opening"`)
}
