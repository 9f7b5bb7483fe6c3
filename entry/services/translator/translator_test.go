package translator_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/translator"
)

const vni = 77

var (
	caller4  = netip.MustParseAddrPort("192.0.2.9:4000")
	service4 = netip.MustParseAddrPort("198.51.100.1:443")
	backend4 = netip.MustParseAddrPort("10.1.2.3:8443")
	caller6  = netip.MustParseAddrPort("[2001:db8::9]:4000")
	service6 = netip.MustParseAddrPort("[2001:db8:1::1]:443")
	backend6 = netip.MustParseAddrPort("[2001:db8:2::3]:8443")
)

// innerPacket builds an IP packet with correct lengths and checksums.
func innerPacket(t testing.TB, protocol translator.Protocol, from, to netip.AddrPort, payload string) []byte {
	t.Helper()
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	var network gopacket.SerializableLayer
	var checksummed gopacket.NetworkLayer
	if from.Addr().Is4() {
		ip := &layers.IPv4{Version: 4, TTL: 9, Protocol: layers.IPProtocol(protocol), SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
		network, checksummed = ip, ip
	} else {
		ip := &layers.IPv6{Version: 6, HopLimit: 9, NextHeader: layers.IPProtocol(protocol), SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice()}
		network, checksummed = ip, ip
	}
	var transport gopacket.SerializableLayer
	if protocol == translator.ProtocolTCP {
		tcp := &layers.TCP{SrcPort: layers.TCPPort(from.Port()), DstPort: layers.TCPPort(to.Port()), Seq: 5, Ack: 6, SYN: true, Window: 100}
		require.NoError(t, tcp.SetNetworkLayerForChecksum(checksummed))
		transport = tcp
	} else {
		udp := &layers.UDP{SrcPort: layers.UDPPort(from.Port()), DstPort: layers.UDPPort(to.Port())}
		require.NoError(t, udp.SetNetworkLayerForChecksum(checksummed))
		transport = udp
	}
	require.NoError(t, gopacket.SerializeLayers(buffer, options, network, transport, gopacket.Payload(payload)))
	return buffer.Bytes()
}

// Guards against wrong addresses and checksums after a rewrite: the rewritten
// packet must equal a packet that was built with the new addresses.
func TestRewrite(t *testing.T) {
	t.Parallel()
	cases := []struct{ caller, service, backend netip.AddrPort }{
		{caller4, service4, backend4},
		{caller6, service6, backend6},
	}
	for _, c := range cases {
		for _, protocol := range []translator.Protocol{translator.ProtocolTCP, translator.ProtocolUDP} {
			for _, payload := range []string{"", "x", "some payload"} {
				t.Run(fmt.Sprintf("%s/%d/%d", c.caller.Addr(), protocol, len(payload)), func(t *testing.T) {
					t.Parallel()
					decoder := translator.NewDecoder(vni)
					var packet translator.Packet

					inbound := translator.Encode(nil, vni, innerPacket(t, protocol, c.caller, c.service, payload), 0)
					require.Equal(t, translator.ReasonNone, decoder.Decode(inbound, &packet))
					require.Equal(t, c.caller, packet.Source)
					require.Equal(t, c.service, packet.Destination)
					if protocol == translator.ProtocolTCP {
						require.Equal(t, uint32(5), packet.Sequence)
					}
					translator.RewriteDestination(&packet, c.backend)
					require.Equal(t, innerPacket(t, protocol, c.caller, c.backend, payload), packet.Inner)

					outbound := translator.Encode(nil, vni, innerPacket(t, protocol, c.backend, c.caller, payload), 42)
					require.Equal(t, translator.ReasonNone, decoder.Decode(outbound, &packet))
					require.Equal(t, uint64(42), packet.RelayedBy)
					translator.RewriteSource(&packet, c.service)
					require.Equal(t, innerPacket(t, protocol, c.service, c.caller, payload), packet.Inner)
				})
			}
		}
	}
}

// Guards against accepting malformed or unsupported datagrams.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	t.Parallel()
	valid := translator.Encode(nil, vni, innerPacket(t, translator.ProtocolTCP, caller4, service4, ""), 0)
	change := func(index int, value byte) []byte {
		changed := append([]byte(nil), valid...)
		changed[index] = value
		return changed
	}
	cases := map[string]struct {
		datagram []byte
		want     translator.Reason
	}{
		"empty":                  {nil, translator.ReasonTruncated},
		"seven bytes":            {valid[:7], translator.ReasonTruncated},
		"truncated inner packet": {valid[:len(valid)-1], translator.ReasonTruncated},
		"options beyond the end": {change(0, 0x3f)[:10], translator.ReasonOuterHeader},
		"other network":          {change(6, 1), translator.ReasonVNI},
		"inner Ethernet":         {change(2, 0x65), translator.ReasonInnerProtocol},
		"IPv4 fragment":          {change(8+6, 0x20), translator.ReasonFragment},
		"ICMP":                   {change(8+9, 1), translator.ReasonTransport},
		"IPv6 in IPv4 type":      {change(8, 0x65), translator.ReasonMalformed},
		"critical option":        {append([]byte{1, 0, 8, 0, 0, 0, 77, 0, 0xff, 0xf0, 0x82, 0}, valid[8:]...), translator.ReasonCriticalOption},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var packet translator.Packet
			require.Equal(t, c.want.String(), translator.NewDecoder(vni).Decode(c.datagram, &packet).String())
		})
	}
}

// Guards against panics, reads beyond the datagram, and rewrites that change
// the length of a packet.
func FuzzDecode(f *testing.F) {
	for _, protocol := range []translator.Protocol{translator.ProtocolTCP, translator.ProtocolUDP} {
		f.Add(translator.Encode(nil, vni, innerPacket(f, protocol, caller4, service4, "x"), 0))
		f.Add(translator.Encode(nil, vni, innerPacket(f, protocol, caller6, service6, "x"), 7))
	}
	decoder := translator.NewDecoder(vni)
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var packet translator.Packet
		if decoder.Decode(datagram, &packet) != translator.ReasonNone {
			return
		}
		length := len(packet.Inner)
		to := backend6
		if packet.Destination.Addr().Is4() {
			to = backend4
		}
		translator.RewriteDestination(&packet, to)
		var reencoded translator.Packet
		require.Equal(t, translator.ReasonNone, decoder.Decode(translator.Encode(nil, vni, packet.Inner, 0), &reencoded))
		require.Len(t, reencoded.Inner, length)
		require.Equal(t, to, reencoded.Destination)
	})
}

func BenchmarkDecodeAndRewrite(b *testing.B) {
	datagram := translator.Encode(nil, vni, innerPacket(b, translator.ProtocolTCP, caller4, service4, "payload"), 0)
	decoder := translator.NewDecoder(vni)
	var packet translator.Packet
	b.ReportAllocs()
	for b.Loop() {
		if decoder.Decode(datagram, &packet) != translator.ReasonNone {
			b.Fatal("valid packet was dropped")
		}
		_ = translator.FlowHash(packet.Source, packet.Destination, packet.Protocol)
		translator.RewriteDestination(&packet, backend4)
		translator.RewriteDestination(&packet, service4)
	}
}
