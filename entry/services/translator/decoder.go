package translator

import (
	"encoding/binary"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"
)

const (
	geneveHeaderLength = 8
	// maxOptionsLength limits the options of the outer header, in bytes. gopacket
	// keeps their offset in 8 bits, which overflows above 247 bytes.
	maxOptionsLength = 64
	// relayOptionClass and relayOptionType identify the Geneve option that marks a
	// packet as relayed by an entry.
	// Classes from 0xFFF0 are for experimental use (RFC 8926, section 7).
	relayOptionClass = 0xFFF0
	relayOptionType  = 1
	relayDataLength  = 8
	// moreFragments is the MF flag of the IPv4 header.
	moreFragments = layers.IPv4MoreFragments
)

// Decoder decodes datagrams. It reuses its buffers and is not safe for concurrent
// use.
type Decoder struct {
	vni    uint32
	geneve layers.Geneve
	ipv4   layers.IPv4
	ipv6   layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
}

// NewDecoder returns a Decoder that accepts only the given virtual network
// identifier (24 bits).
func NewDecoder(vni uint32) *Decoder { return &Decoder{vni: vni} }

// Decode fills packet from the payload of an outer UDP datagram. It returns the
// reason to drop the datagram, or ReasonNone.
func (d *Decoder) Decode(datagram []byte, packet *Packet) Reason {
	*packet = Packet{}
	if reason := d.decodeOuter(datagram, packet); reason != ReasonNone {
		return reason
	}
	switch d.geneve.Protocol {
	case layers.EthernetTypeIPv4:
		return d.decodeIPv4(d.geneve.Payload, packet)
	case layers.EthernetTypeIPv6:
		return d.decodeIPv6(d.geneve.Payload, packet)
	default:
		return ReasonInnerProtocol
	}
}

// decodeOuter decodes the Geneve header. It checks all lengths before it calls
// gopacket, which reads beyond the end of a datagram of 7 bytes.
func (d *Decoder) decodeOuter(datagram []byte, packet *Packet) Reason {
	if len(datagram) < geneveHeaderLength {
		return ReasonTruncated
	}
	optionsLength := int(datagram[0]&0x3f) * 4
	if optionsLength > maxOptionsLength || datagram[0]>>6 != 0 {
		return ReasonOuterHeader
	}
	if len(datagram) < geneveHeaderLength+optionsLength {
		return ReasonTruncated
	}
	if !optionLengthsValid(datagram[geneveHeaderLength : geneveHeaderLength+optionsLength]) {
		return ReasonOuterHeader
	}
	d.geneve.Options = d.geneve.Options[:0]
	if err := d.geneve.DecodeFromBytes(datagram, gopacket.NilDecodeFeedback); err != nil || d.geneve.OAMPacket {
		return ReasonOuterHeader
	}
	if d.geneve.VNI != d.vni {
		return ReasonVNI
	}
	for _, option := range d.geneve.Options {
		switch {
		case option.Class == relayOptionClass && option.Type&0x7f == relayOptionType && len(option.Data) == relayDataLength:
			packet.RelayedBy = binary.BigEndian.Uint64(option.Data)
		case option.Type&0x80 != 0:
			// An unknown critical option must lead to a drop (RFC 8926, section 3.5).
			return ReasonCriticalOption
		}
	}
	return ReasonNone
}

// optionLengthsValid reports whether the lengths of the options add up to the length
// of the options field.
func optionLengthsValid(options []byte) bool {
	for len(options) > 0 {
		length := 4 + int(options[3]&0x1f)*4
		// gopacket reads only 4 of the 5 bits of the length.
		if length > len(options) || options[3]&0x10 != 0 {
			return false
		}
		options = options[length:]
	}
	return true
}

func (d *Decoder) decodeIPv4(data []byte, packet *Packet) Reason {
	if len(data) < 20 || len(data) < int(binary.BigEndian.Uint16(data[2:4])) {
		return ReasonTruncated
	}
	if data[0]>>4 != 4 || binary.BigEndian.Uint16(data[2:4]) == 0 {
		return ReasonMalformed
	}
	if err := d.ipv4.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ReasonMalformed
	}
	if d.ipv4.FragOffset != 0 || d.ipv4.Flags&moreFragments != 0 {
		return ReasonFragment
	}
	source, _ := netip.AddrFromSlice(d.ipv4.SrcIP)
	destination, _ := netip.AddrFromSlice(d.ipv4.DstIP)
	packet.Inner = data[:d.ipv4.Length]
	packet.transportOffset = int(d.ipv4.IHL) * 4
	return d.decodeTransport(d.ipv4.Protocol, source, destination, packet)
}

func (d *Decoder) decodeIPv6(data []byte, packet *Packet) Reason {
	const headerLength = 40
	if len(data) < headerLength {
		return ReasonTruncated
	}
	length := headerLength + int(binary.BigEndian.Uint16(data[4:6]))
	if len(data) < length {
		return ReasonTruncated
	}
	if data[0]>>4 != 6 {
		return ReasonMalformed
	}
	switch next := layers.IPProtocol(data[6]); next {
	case layers.IPProtocolTCP, layers.IPProtocolUDP:
	case layers.IPProtocolIPv6Fragment:
		return ReasonFragment
	default:
		// Extension headers are not supported.
		return ReasonTransport
	}
	if err := d.ipv6.DecodeFromBytes(data[:length], gopacket.NilDecodeFeedback); err != nil {
		return ReasonMalformed
	}
	source, _ := netip.AddrFromSlice(d.ipv6.SrcIP)
	destination, _ := netip.AddrFromSlice(d.ipv6.DstIP)
	packet.Inner = data[:length]
	packet.transportOffset = headerLength
	return d.decodeTransport(d.ipv6.NextHeader, source, destination, packet)
}

func (d *Decoder) decodeTransport(protocol layers.IPProtocol, source, destination netip.Addr, packet *Packet) Reason {
	data := packet.Inner[packet.transportOffset:]
	switch protocol {
	case layers.IPProtocolTCP:
		if err := d.tcp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return ReasonMalformed
		}
		packet.Protocol = ProtocolTCP
		packet.Flags = tcpFlags(&d.tcp)
		packet.Sequence = d.tcp.Seq
		packet.Source = netip.AddrPortFrom(source, uint16(d.tcp.SrcPort))
		packet.Destination = netip.AddrPortFrom(destination, uint16(d.tcp.DstPort))
	case layers.IPProtocolUDP:
		if err := d.udp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil || int(d.udp.Length) > len(data) {
			return ReasonMalformed
		}
		packet.Protocol = ProtocolUDP
		packet.Source = netip.AddrPortFrom(source, uint16(d.udp.SrcPort))
		packet.Destination = netip.AddrPortFrom(destination, uint16(d.udp.DstPort))
	default:
		return ReasonTransport
	}
	if packet.Source.Port() == 0 || packet.Destination.Port() == 0 {
		return ReasonMalformed
	}
	return ReasonNone
}

func tcpFlags(tcp *layers.TCP) Flags {
	var flags Flags
	if tcp.FIN {
		flags |= FlagFIN
	}
	if tcp.SYN {
		flags |= FlagSYN
	}
	if tcp.RST {
		flags |= FlagRST
	}
	if tcp.ACK {
		flags |= FlagACK
	}
	return flags
}
