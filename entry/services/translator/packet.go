// Package translator decodes the Geneve datagrams (RFC 8926) that the fabric
// delivers, rewrites the source or destination address of the inner packet, and
// encodes the packet again.
package translator

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol is the IP protocol number of an inner packet.
type Protocol uint8

// Protocols of inner packets (IANA protocol numbers).
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// Flags are the TCP flags that flow placement evaluates.
type Flags uint8

// TCP flags (RFC 9293, section 3.1).
const (
	FlagFIN Flags = 1 << iota
	FlagSYN
	FlagRST
	FlagACK
)

// Has reports whether all flags in want are set.
func (f Flags) Has(want Flags) bool { return f&want == want }

// Packet is a decoded inner packet. Inner aliases the buffer from which it was
// decoded.
type Packet struct {
	// Inner is the IP packet without the outer headers. Its length is the one that
	// its IP header states.
	Inner       []byte
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    Protocol
	Flags       Flags
	// Sequence is the TCP sequence number, or 0 for UDP.
	Sequence uint32
	// RelayedBy is the hash of the name of the entry that relayed the packet, or 0
	// if the fabric delivered it.
	RelayedBy uint64

	// transportOffset is the offset of the transport header in Inner, in bytes.
	transportOffset int
}

// Reason is the reason for which a packet was dropped.
type Reason uint8

// Reasons for dropping a packet.
const (
	ReasonNone Reason = iota
	ReasonTruncated
	ReasonOuterHeader
	ReasonVNI
	ReasonCriticalOption
	ReasonInnerProtocol
	ReasonMalformed
	ReasonFragment
	ReasonTransport
	ReasonUnknownAddress
	ReasonNoBackendServer
	ReasonTakenOut
	ReasonNotReady
	ReasonQueueFull
	ReasonRelayUnknown
	ReasonAddressConflict
	ReasonLateOpening
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:            "none",
	ReasonTruncated:       "truncated",
	ReasonOuterHeader:     "outer_header",
	ReasonVNI:             "vni",
	ReasonCriticalOption:  "critical_option",
	ReasonInnerProtocol:   "inner_protocol",
	ReasonMalformed:       "malformed",
	ReasonFragment:        "fragment",
	ReasonTransport:       "transport_protocol",
	ReasonUnknownAddress:  "unknown_address",
	ReasonNoBackendServer: "no_backend_server",
	ReasonTakenOut:        "taken_out",
	ReasonNotReady:        "not_ready",
	ReasonQueueFull:       "queue_full",
	ReasonRelayUnknown:    "relay_unknown",
	ReasonAddressConflict: "address_conflict",
	ReasonLateOpening:     "late_opening",
}

// String returns the name of the reason in snake case, as used in the names of counters.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns all reasons for dropping a packet.
func Reasons() []Reason {
	reasons := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}

// FlowHash returns the hash of a flow between a caller and a service address. The hash
// is the same for both directions and on every entry. FlowHash does not allocate.
func FlowHash(caller, service netip.AddrPort, protocol Protocol) uint64 {
	var key [37]byte
	callerIP, serviceIP := caller.Addr().As16(), service.Addr().As16()
	copy(key[:16], callerIP[:])
	copy(key[16:32], serviceIP[:])
	key[32], key[33] = byte(caller.Port()>>8), byte(caller.Port())
	key[34], key[35] = byte(service.Port()>>8), byte(service.Port())
	key[36] = byte(protocol)
	return xxhash.Sum64(key[:])
}
