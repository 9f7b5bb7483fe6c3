// Package framer builds and reads IP packets and their Geneve encapsulation (RFC 8926) for the
// simulated callers, backend servers and fabric. It shares no code with the entry program, so
// that a fault in one of them is found by the other.
package framer

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
)

// hopLimit is the IPv4 TTL and the IPv6 hop limit of the packets (RFC 1700).
const hopLimit = 64

// geneveHeaderLength is the length in bytes of an outer header without options.
const geneveHeaderLength = 8

// Segment is a TCP segment or UDP datagram with its addresses.
type Segment struct {
	IsTCP           bool
	Source          netip.AddrPort
	Destination     netip.AddrPort
	SYN             bool
	ACK             bool
	FIN             bool
	RST             bool
	Sequence        uint32
	Acknowledgement uint32
	Payload         []byte
}

// Encode returns the IP packet of the segment.
func (s Segment) Encode() ([]byte, error) {
	network, checksummed := s.networkLayer()
	transport, err := s.transportLayer(checksummed)
	if err != nil {
		return nil, fmt.Errorf("set the checksum: %w", err)
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, network, transport, gopacket.Payload(s.Payload)); err != nil {
		return nil, fmt.Errorf("encode the segment: %w", err)
	}
	return buffer.Bytes(), nil
}

// Decode reads an IP packet and checks its transport checksum.
func Decode(inner []byte) (Segment, error) {
	if len(inner) == 0 {
		return Segment{}, fmt.Errorf("the packet is empty")
	}
	first := layers.LayerTypeIPv4
	if inner[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	packet := gopacket.NewPacket(inner, first, gopacket.NoCopy)
	if failure := packet.ErrorLayer(); failure != nil {
		return Segment{}, fmt.Errorf("decode the packet: %w", failure.Error())
	}
	source, destination, err := networkAddresses(packet)
	if err != nil {
		return Segment{}, err
	}
	var segment Segment
	switch transport := packet.TransportLayer().(type) {
	case *layers.TCP:
		segment = Segment{IsTCP: true, SYN: transport.SYN, ACK: transport.ACK, FIN: transport.FIN, RST: transport.RST, Sequence: transport.Seq, Acknowledgement: transport.Ack, Payload: transport.Payload}
		segment.Source = netip.AddrPortFrom(source, uint16(transport.SrcPort))
		segment.Destination = netip.AddrPortFrom(destination, uint16(transport.DstPort))
	case *layers.UDP:
		segment = Segment{Payload: transport.Payload}
		segment.Source = netip.AddrPortFrom(source, uint16(transport.SrcPort))
		segment.Destination = netip.AddrPortFrom(destination, uint16(transport.DstPort))
	default:
		return Segment{}, fmt.Errorf("the packet has no TCP or UDP header")
	}
	return segment, segment.checkChecksum(inner)
}

// Encapsulate prepends a Geneve header without options to an IP packet.
func Encapsulate(vni uint32, inner []byte) []byte {
	outer := make([]byte, geneveHeaderLength, geneveHeaderLength+len(inner))
	protocol := layers.EthernetTypeIPv4
	if len(inner) > 0 && inner[0]>>4 == 6 {
		protocol = layers.EthernetTypeIPv6
	}
	binary.BigEndian.PutUint16(outer[2:], uint16(protocol))
	binary.BigEndian.PutUint32(outer[4:], vni<<8)
	return append(outer, inner...)
}

// Decapsulate returns the IP packet of a Geneve datagram.
func Decapsulate(vni uint32, datagram []byte) ([]byte, error) {
	if len(datagram) < geneveHeaderLength {
		return nil, fmt.Errorf("the datagram has %d bytes, fewer than a Geneve header", len(datagram))
	}
	if got := binary.BigEndian.Uint32(datagram[4:]) >> 8; got != vni {
		return nil, fmt.Errorf("the datagram has VNI %d, want %d", got, vni)
	}
	offset := geneveHeaderLength + int(datagram[0]&0x3f)*4
	if len(datagram) < offset {
		return nil, fmt.Errorf("the Geneve options extend past the end of the datagram")
	}
	return datagram[offset:], nil
}

func (s Segment) networkLayer() (gopacket.SerializableLayer, gopacket.NetworkLayer) {
	protocol := layers.IPProtocolUDP
	if s.IsTCP {
		protocol = layers.IPProtocolTCP
	}
	source, destination := s.Source.Addr().AsSlice(), s.Destination.Addr().AsSlice()
	if s.Source.Addr().Is4() {
		ip := &layers.IPv4{Version: 4, TTL: hopLimit, Protocol: protocol, SrcIP: source, DstIP: destination}
		return ip, ip
	}
	ip := &layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: protocol, SrcIP: source, DstIP: destination}
	return ip, ip
}

func (s Segment) transportLayer(network gopacket.NetworkLayer) (gopacket.SerializableLayer, error) {
	if s.IsTCP {
		tcp := &layers.TCP{
			SrcPort: layers.TCPPort(s.Source.Port()), DstPort: layers.TCPPort(s.Destination.Port()),
			Seq: s.Sequence, Ack: s.Acknowledgement, SYN: s.SYN, ACK: s.ACK, FIN: s.FIN, RST: s.RST, Window: 65535,
		}
		return tcp, tcp.SetNetworkLayerForChecksum(network)
	}
	udp := &layers.UDP{SrcPort: layers.UDPPort(s.Source.Port()), DstPort: layers.UDPPort(s.Destination.Port())}
	return udp, udp.SetNetworkLayerForChecksum(network)
}

// checkChecksum encodes the segment again and compares the transport checksums. It locates them
// from the end of the packets, where the transport header and the payload are.
func (s Segment) checkChecksum(inner []byte) error {
	encoded, err := s.Encode()
	if err != nil {
		return err
	}
	const udpChecksum, tcpChecksum = 6, 16
	offset := len(inner) - len(s.Payload) - 8 + udpChecksum
	expected := len(encoded) - len(s.Payload) - 8 + udpChecksum
	if s.IsTCP {
		offset = len(inner) - len(s.Payload) - 20 + tcpChecksum
		expected = len(encoded) - len(s.Payload) - 20 + tcpChecksum
	}
	if got, want := binary.BigEndian.Uint16(inner[offset:]), binary.BigEndian.Uint16(encoded[expected:]); got != want {
		return fmt.Errorf("the transport checksum is %#04x, want %#04x", got, want)
	}
	return nil
}

func networkAddresses(packet gopacket.Packet) (source, destination netip.Addr, err error) {
	if packet.NetworkLayer() == nil {
		return netip.Addr{}, netip.Addr{}, fmt.Errorf("the packet has no IP header")
	}
	from, to := packet.NetworkLayer().NetworkFlow().Endpoints()
	source, okSource := netip.AddrFromSlice(from.Raw())
	destination, okDestination := netip.AddrFromSlice(to.Raw())
	if !okSource || !okDestination {
		return netip.Addr{}, netip.Addr{}, fmt.Errorf("the packet has no IP addresses")
	}
	return source, destination, nil
}
