package translator

import (
	"encoding/binary"

	"github.com/google/gopacket/layers"
)

// MaxOuterLength is the maximum length in bytes of the outer header that Encode
// writes.
const MaxOuterLength = geneveHeaderLength + 4 + relayDataLength

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
