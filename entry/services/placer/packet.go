// Package placer decides which backend server each packet goes to, so that the entries of a domain
// agree on every flow while backend servers and entries come and go. A domain is the set of entries
// that share the flows of a service: those of the region, or those of one data centre. The package
// is a deterministic state machine; see docs/placement.md.
package placer

import (
	"fmt"
	"time"
)

// Protocol is the transport protocol of a packet.
type Protocol uint8

// Transport protocols.
const (
	ProtocolTCP Protocol = iota
	ProtocolUDP
)

// Flags are the TCP flags of a packet that matter for its placement.
type Flags uint8

// TCP flags (RFC 9293).
const (
	FlagSYN Flags = 1 << iota
	FlagFIN
	FlagRST
)

// Packet describes a packet from a caller, as far as its placement depends on it.
type Packet struct {
	// Flow is the 64-bit hash of the 5-tuple. All bits must be well mixed.
	Flow uint64
	// RelayedBy is the hash of the name of the entry that relayed the packet, or 0 if the packet
	// came from the network fabric.
	RelayedBy uint64
	// Service is the index from Machine.ServiceIndex.
	Service  uint16
	Protocol Protocol
	// Flags has FlagSYN only if the ACK flag is not set.
	Flags Flags
	// Sequence is the TCP sequence number, or 0 if unknown. Copies of an opening packet have the same one,
	// and a flow that uses a port again has another (RFC 9293, section 3.4.1).
	Sequence uint32
	// Waited is how long the packet waited in this entry before its placement, or 0 if unknown.
	Waited time.Duration
}

// maxOpeningWait is the wait from which on an opening packet is late: callers send a copy after 200 ms, which
// another entry may have forwarded since.
const maxOpeningWait = 200 * time.Millisecond

func (p Packet) isLateSYN() bool { return p.isSYN() && p.Waited >= maxOpeningWait }

func (p Packet) isSYN() bool { return p.Protocol == ProtocolTCP && p.Flags&FlagSYN != 0 }

func (p Packet) isClosing() bool {
	return p.Protocol == ProtocolTCP && p.Flags&(FlagFIN|FlagRST) != 0
}

// Reply is a packet from a backend server to a caller.
type Reply struct {
	// Flow is the same hash as for the packets from the caller.
	Flow uint64
	// Backend is the index from Machine.BackendIndex.
	Backend  uint32
	Protocol Protocol
	Flags    Flags
}

// Action is what to do with a packet.
type Action uint8

// Actions.
const (
	// ActionDrop drops the packet and counts it by reason.
	ActionDrop Action = iota
	// ActionForward sends the packet to Decision.Backend.
	ActionForward
	// ActionRelay sends the packet to Decision.Entry.
	ActionRelay
	// ActionHold keeps the packet until a PacketReleased output with the same Decision.Ticket.
	ActionHold
)

// Reason states why a packet is dropped.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	ReasonServiceNotExist
	ReasonNoView
	ReasonNoBackend
	ReasonTakenOut
	ReasonHoldFull
	// ReasonUnanswered means that a peer which may know the flow has not answered a query.
	ReasonUnanswered
	// ReasonLateOpening means that an opening packet which waited too long would have been relayed, or
	// taken for a new flow on a port used again.
	ReasonLateOpening
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the name of the reason, as used for counters.
func (r Reason) String() string {
	names := [ReasonCount]string{"none", "service_not_exist", "no_view", "no_backend", "taken_out", "hold_full", "unanswered", "late_opening"}
	if r >= ReasonCount {
		return fmt.Sprintf("reason_%d", uint8(r))
	}
	return names[r]
}

// Decision is what to do with a packet.
type Decision struct {
	Action Action
	Reason Reason
	// Entry is an index for Machine.GetEntry.
	Entry uint16
	// Backend is an index for Machine.GetBackend.
	Backend uint32
	// Ticket identifies a held packet.
	Ticket uint32
}

func drop(reason Reason) Decision     { return Decision{Action: ActionDrop, Reason: reason} }
func forward(backend uint32) Decision { return Decision{Action: ActionForward, Backend: backend} }
func relay(entry uint16) Decision     { return Decision{Action: ActionRelay, Entry: entry} }
func hold(ticket uint32) Decision     { return Decision{Action: ActionHold, Ticket: ticket} }
