package translator

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
)

// MaxOuterLength is the maximum length in bytes of the outer header that Encode
// writes.
const MaxOuterLength = geneveHeaderLength + 4 + relayDataLength

// resetHopLimit is the TTL or hop limit of the TCP resets that an entry sends
// (RFC 1700).
const resetHopLimit = 64

// Encode appends a Geneve header and the inner packet to dst. If relayedBy is not 0,
// the header carries the option that marks the packet as relayed by the entry whose
// name has that hash.
func Encode(dst []byte, vni uint32, inner []byte, relayedBy uint64) []byte {
	header := [geneveHeaderLength]byte{}
	if relayedBy != 0 {
		header[0] = (4 + relayDataLength) / 4
	}
	protocol := layers.EthernetTypeIPv4
	if len(inner) > 0 && inner[0]>>4 == 6 {
		protocol = layers.EthernetTypeIPv6
	}
	binary.BigEndian.PutUint16(header[2:], uint16(protocol))
	binary.BigEndian.PutUint32(header[4:], vni<<8)
	dst = append(dst, header[:]...)
	if relayedBy != 0 {
		dst = binary.BigEndian.AppendUint16(dst, relayOptionClass)
		dst = append(dst, relayOptionType, relayDataLength/4)
		dst = binary.BigEndian.AppendUint64(dst, relayedBy)
	}
	return append(dst, inner...)
}

// CreateReset returns a TCP reset as an inner packet between the two addresses. The
// sequence must be the acknowledgment number of the segment that the reset responds
// to (RFC 9293, section 3.10.7.1). It returns an error if the addresses have
// different IP versions.
func CreateReset(from, to netip.AddrPort, sequence uint32) ([]byte, error) {
	tcp := &layers.TCP{SrcPort: layers.TCPPort(from.Port()), DstPort: layers.TCPPort(to.Port()), RST: true, Seq: sequence}
	network, err := networkLayer(from.Addr(), to.Addr(), tcp)
	if err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, network, tcp); err != nil {
		return nil, fmt.Errorf("encode a TCP reset: %w", err)
	}
	return buffer.Bytes(), nil
}

func networkLayer(from, to netip.Addr, tcp *layers.TCP) (gopacket.SerializableLayer, error) {
	if from.Is4() != to.Is4() {
		return nil, fmt.Errorf("addresses %s and %s have different IP versions", from, to)
	}
	if from.Is4() {
		ip := &layers.IPv4{Version: 4, TTL: resetHopLimit, Protocol: layers.IPProtocolTCP, SrcIP: from.AsSlice(), DstIP: to.AsSlice()}
		return ip, tcp.SetNetworkLayerForChecksum(ip)
	}
	ip := &layers.IPv6{Version: 6, HopLimit: resetHopLimit, NextHeader: layers.IPProtocolTCP, SrcIP: from.AsSlice(), DstIP: to.AsSlice()}
	return ip, tcp.SetNetworkLayerForChecksum(ip)
}
