package translator

import (
	"encoding/binary"
	"net/netip"
)

const (
	ipv4ChecksumOffset = 10
	ipv4SourceOffset   = 12
	ipv6SourceOffset   = 8
	tcpChecksumOffset  = 16
	udpChecksumOffset  = 6
)

// RewriteDestination replaces the destination address and port in place and
// updates the checksums. The new address must have the IP version of the packet.
func RewriteDestination(packet *Packet, to netip.AddrPort) {
	rewrite(packet, packet.Destination, to, 1)
	packet.Destination = to
}

// RewriteSource replaces the source address and port in place and updates the
// checksums. The new address must have the IP version of the packet.
func RewriteSource(packet *Packet, to netip.AddrPort) {
	rewrite(packet, packet.Source, to, 0)
	packet.Source = to
}

// rewrite replaces the source (position 0) or the destination (position 1) address
// and port.
func rewrite(packet *Packet, from, to netip.AddrPort, position int) {
	inner := packet.Inner
	checksumOffset := packet.transportOffset + tcpChecksumOffset
	if packet.Protocol == ProtocolUDP {
		checksumOffset = packet.transportOffset + udpChecksumOffset
	}
	transportSum := inner[checksumOffset : checksumOffset+2]
	// A UDP checksum of 0 over IPv4 means that the sender did not compute one (RFC 768).
	hasChecksum := packet.Protocol == ProtocolTCP || binary.BigEndian.Uint16(transportSum) != 0

	var oldWords, newWords [18]byte
	var length int
	if from.Addr().Is4() {
		length = 4
		oldIP, newIP := from.Addr().As4(), to.Addr().As4()
		copy(oldWords[:], oldIP[:])
		copy(newWords[:], newIP[:])
		copy(inner[ipv4SourceOffset+4*position:], newIP[:])
		updateChecksum(inner[ipv4ChecksumOffset:ipv4ChecksumOffset+2], oldWords[:length], newWords[:length])
	} else {
		length = 16
		oldIP, newIP := from.Addr().As16(), to.Addr().As16()
		copy(oldWords[:], oldIP[:])
		copy(newWords[:], newIP[:])
		copy(inner[ipv6SourceOffset+16*position:], newIP[:])
	}
	binary.BigEndian.PutUint16(oldWords[length:], from.Port())
	binary.BigEndian.PutUint16(newWords[length:], to.Port())
	binary.BigEndian.PutUint16(inner[packet.transportOffset+2*position:], to.Port())
	if !hasChecksum {
		return
	}
	updateChecksum(transportSum, oldWords[:length+2], newWords[:length+2])
	if packet.Protocol == ProtocolUDP && binary.BigEndian.Uint16(transportSum) == 0 {
		binary.BigEndian.PutUint16(transportSum, 0xffff)
	}
}

// updateChecksum updates an Internet checksum after a change of 16-bit words
// (RFC 1624, equation 3).
func updateChecksum(checksum, oldWords, newWords []byte) {
	sum := uint32(^binary.BigEndian.Uint16(checksum))
	for i := 0; i < len(oldWords); i += 2 {
		sum += uint32(^binary.BigEndian.Uint16(oldWords[i:]))
		sum += uint32(binary.BigEndian.Uint16(newWords[i:]))
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	binary.BigEndian.PutUint16(checksum, ^uint16(sum))
}
