package forwarder_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/forwarder"
	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/entry/services/translator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

const vni = 9

var (
	fabric   = netip.MustParseAddrPort("127.0.0.1:1")
	peerAddr = netip.MustParseAddrPort("127.0.0.1:2")
	caller4  = netip.MustParseAddrPort("203.0.113.5:5555")
	caller6  = netip.MustParseAddrPort("[2001:db8:5::5]:5555")
	address4 = netip.MustParseAddrPort("192.0.2.1:80")
	address6 = netip.MustParseAddrPort("[2001:db8::1]:80")
	backend4 = netip.MustParseAddrPort("10.0.0.1:8080")
	backend6 = netip.MustParseAddrPort("[2001:db8:a::1]:8080")
)

// recordingSender records the datagrams that are sent.
type recordingSender struct {
	to   []netip.AddrPort
	data [][]byte
}

func (s *recordingSender) Send(to netip.AddrPort, write func(dst []byte) []byte) {
	s.to = append(s.to, to)
	s.data = append(s.data, write(nil))
}

type fixture struct {
	*forwarder.Forwarder
	sender   recordingSender
	counters *reporter.Counters
	now      time.Time
}

// newFixture returns the Forwarder of the only entry in its region, with one TCP
// service that has an IPv4 and an IPv6 address.
func newFixture(t *testing.T, records ...announcer.Record) *fixture {
	t.Helper()
	now := time.Unix(1000, 0)
	f := &fixture{counters: reporter.NewCounters(), now: now}
	machine := placer.NewMachine(placer.DefaultConfig("entry-1", "a"), now)
	f.Forwarder = forwarder.New(forwarder.Settings{Name: "entry-1", VNI: vni, Fabric: fabric}, machine, &f.sender, f.counters)
	f.HandleInput(now, forwarder.MembersChanged{Members: []forwarder.Member{{Name: "entry-1", DataCentre: "a"}}})
	f.HandleInput(now, forwarder.RecordsChanged{Changed: records})
	f.HandleInput(now, forwarder.CatalogChanged{Catalog: catalog()})
	f.HandleInput(now, forwarder.PlacerInput{Input: placer.ViewSynchronized{}})
	for range 500 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.HandleInput(f.now, forwarder.PlacerInput{Input: placer.Tick{}})
	}
	require.True(t, machine.IsReady())
	return f
}

func catalog() cataloger.Catalog {
	return cataloger.Catalog{
		Version:     1,
		DataCentres: []cataloger.DataCentre{{Name: "a", Region: "r"}},
		Services: []cataloger.Service{{
			Name: "web", Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP, SprayScope: cataloger.SprayRegion,
			Addresses: []netip.AddrPort{address4, address6},
		}},
	}
}

func record(service, host string, address netip.AddrPort) announcer.Record {
	return announcer.Record{
		Announcement: announcer.Announcement{
			ID: announcer.ID{Service: service, Host: host}, Address: address, DataCentre: "a",
			Slots: 2, Connections: 2000, Incarnation: 1, Sequence: 1, State: announcer.StateReady,
		},
		RampStep: announcer.RampSteps,
	}
}

func tcpPacket(t *testing.T, from, to netip.AddrPort, syn bool) []byte {
	t.Helper()
	tcp := &layers.TCP{SrcPort: layers.TCPPort(from.Port()), DstPort: layers.TCPPort(to.Port()), SYN: syn, ACK: !syn}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if from.Addr().Is4() {
		ip := &layers.IPv4{Version: 4, TTL: 5, Protocol: layers.IPProtocolTCP, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
		require.NoError(t, tcp.SetNetworkLayerForChecksum(ip))
		require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, tcp))
	} else {
		ip := &layers.IPv6{Version: 6, HopLimit: 5, NextHeader: layers.IPProtocolTCP, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
		require.NoError(t, tcp.SetNetworkLayerForChecksum(ip))
		require.NoError(t, gopacket.SerializeLayers(buffer, options, ip, tcp))
	}
	return buffer.Bytes()
}

func (f *fixture) handle(inner []byte, relayedBy uint64, remote netip.AddrPort) {
	f.HandleDatagram(f.now, translator.Encode(nil, vni, inner, relayedBy), remote, 0)
}

// requireSent asserts that the last datagram carries a packet between the given
// addresses.
func (f *fixture) requireSent(t *testing.T, to, source, destination netip.AddrPort) {
	t.Helper()
	require.NotEmpty(t, f.sender.to, f.counters.String())
	last := len(f.sender.to) - 1
	require.Equal(t, to, f.sender.to[last])
	var packet translator.Packet
	require.Equal(t, translator.ReasonNone, translator.NewDecoder(vni).Decode(f.sender.data[last], &packet))
	require.Equal(t, source, packet.Source)
	require.Equal(t, destination, packet.Destination)
}

// Guards against packets that are forwarded to a backend server of the other IP
// family, whose address does not fit into the packet, and against replies whose source
// is not the service address.
func TestForwardBothFamilies(t *testing.T) {
	t.Parallel()
	f := newFixture(t, record("web", "h4", backend4), record("web", "h6", backend6))
	f.handle(tcpPacket(t, caller4, address4, true), 0, fabric)
	f.requireSent(t, fabric, caller4, backend4)
	f.handle(tcpPacket(t, caller6, address6, true), 0, fabric)
	f.requireSent(t, fabric, caller6, backend6)
	f.handle(tcpPacket(t, backend4, caller4, false), 0, fabric)
	f.requireSent(t, fabric, address4, caller4)
	f.handle(tcpPacket(t, backend6, caller6, false), 0, fabric)
	f.requireSent(t, fabric, address6, caller6)
	observations := f.TakeObservations()
	require.Len(t, observations, 2)
	require.Equal(t, "web", observations[0].ID.Service)
}

// Guards against forwarding packets that belong to no service, or that are marked
// as relayed by a process that is not an entry.
func TestInvalidPacketsAreDropped(t *testing.T) {
	t.Parallel()
	f := newFixture(t, record("web", "h4", backend4), record("other", "x", netip.MustParseAddrPort("10.0.0.9:1")))
	for reason, handle := range map[translator.Reason]func(){
		translator.ReasonUnknownAddress: func() {
			f.handle(tcpPacket(t, caller4, netip.MustParseAddrPort("192.0.2.1:81"), true), 0, fabric)
		},
		translator.ReasonRelayUnknown: func() { f.handle(tcpPacket(t, caller4, address4, true), 77, peerAddr) },
		translator.ReasonNoBackendServer: func() {
			f.handle(tcpPacket(t, caller6, address6, true), 0, fabric)
		},
		translator.ReasonTruncated: func() { f.HandleDatagram(f.now, []byte{1}, fabric, 0) },
	} {
		handle()
		require.Empty(t, f.sender.to, reason.String())
		require.Contains(t, strings.ReplaceAll(f.counters.String(), " ", ""), `"packets_dropped_`+reason.String()+`":1`)
	}
	f.handle(tcpPacket(t, netip.MustParseAddrPort("10.0.0.9:1"), caller4, false), 0, fabric)
	require.Empty(t, f.sender.to, "a backend server of an unknown service must not reach callers")
}

// Guards against the wait and the sequence number of an opening packet being lost on the way to its placement:
// both tell a copy from a new flow once the backend server takes no new ones.
func TestLateOpeningPacketIsCounted(t *testing.T) {
	t.Parallel()
	f := newFixture(t, record("web", "h4", backend4))
	open := func(sequence byte, waited time.Duration) {
		inner := tcpPacket(t, caller4, address4, true)
		inner[27] = sequence // the lowest byte, after 20 bytes of IP header and 4 of ports
		f.HandleDatagram(f.now, translator.Encode(nil, vni, inner, 0), fabric, waited)
	}
	requireCounted := func(reason translator.Reason, n int) {
		require.Contains(t, f.counters.Text(), fmt.Sprintf("packets_dropped_%s %d\n", reason, n))
	}
	open(1, time.Second)
	f.requireSent(t, fabric, caller4, backend4)
	out, err := catalog().WithTakenOut("a", true)
	require.NoError(t, err)
	f.HandleInput(f.now, forwarder.CatalogChanged{Catalog: out})
	open(1, time.Second)
	requireCounted(translator.ReasonTakenOut, 1)
	open(2, 0)
	requireCounted(translator.ReasonLateOpening, 0)
	open(2, time.Second)
	requireCounted(translator.ReasonLateOpening, 1)
}

// Guards against packets of an open flow that reach another service at the address of its backend server.
func TestTakenAddressGetsNoPacketsOfFormerService(t *testing.T) {
	t.Parallel()
	former := record("web", "h4", backend4)
	f := newFixture(t, former)
	f.handle(tcpPacket(t, caller4, address4, true), 0, fabric)
	f.requireSent(t, fabric, caller4, backend4)

	other := netip.MustParseAddrPort("192.0.2.2:80")
	f.HandleInput(f.now, forwarder.CatalogChanged{Catalog: cataloger.Catalog{
		Version:     2,
		DataCentres: []cataloger.DataCentre{{Name: "a", Region: "r"}},
		Services: []cataloger.Service{
			{Name: "web", Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP, SprayScope: cataloger.SprayRegion, Addresses: []netip.AddrPort{address4}},
			{Name: "zoo", Kind: cataloger.KindFlow, Protocol: cataloger.ProtocolTCP, SprayScope: cataloger.SprayRegion, Addresses: []netip.AddrPort{other}},
		},
	}})
	f.HandleInput(f.now, forwarder.RecordsChanged{Changed: []announcer.Record{former.WithLapsed(true), record("zoo", "h5", backend4).WithClaim(1)}})
	sent := len(f.sender.to)
	f.handle(tcpPacket(t, caller4, address4, false), 0, fabric)
	require.Len(t, f.sender.to, sent)
	f.handle(tcpPacket(t, backend4, caller4, false), 0, fabric)
	f.requireSent(t, fabric, other, caller4)
}

// Guards against packets that are forwarded to or from a removed backend server.
func TestRemovedServerGetsNoPackets(t *testing.T) {
	t.Parallel()
	f := newFixture(t, record("web", "h4", backend4))
	f.HandleInput(f.now, forwarder.RecordsReplaced{})
	for range 500 {
		f.now = f.now.Add(20 * time.Millisecond)
		f.HandleInput(f.now, forwarder.PlacerInput{Input: placer.Tick{}})
	}
	f.handle(tcpPacket(t, caller4, address4, true), 0, fabric)
	f.handle(tcpPacket(t, backend4, caller4, false), 0, fabric)
	require.Empty(t, f.sender.to)
}
