// Package balancer routes flows whose packets carry a routing token. The token of the backend
// server is written into the opening packet, both ends of the flow return it, and any entry routes
// later packets by it without state shared between entries.
package balancer

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/hedger"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Packet holds the fields of a caller's packet that routing depends on.
type Packet struct {
	// Source is the address of the caller.
	Source netip.AddrPort
	// Destination is the address of a route.
	Destination netip.AddrPort
	// Token is the routing token that the caller returned; 0 on an opening packet.
	Token director.Token
	// IsOpening is set for the packet that opens a flow.
	IsOpening bool
	// Retransmissions is the number of times that the caller has sent this opening packet before.
	Retransmissions uint32
	// IsReset and IsFinal are set if the caller ends the flow.
	IsReset, IsFinal bool
	// HasData is set if the packet carries data of the caller, which starts at Sequence. An opening packet and its
	// copies have the sequence at which the flow starts, and packets without data that of the next data.
	HasData  bool
	Sequence uint32
	// Size is the number of bytes that the packet takes on the link of the entry when it is forwarded, and
	// ResetSize that of a reset of its flow.
	Size, ResetSize int
	// Acknowledged is the position up to which the caller has received data.
	Acknowledged uint32
	// Waited is how long the packet waited in the socket of the entry before it was read, or 0 if unknown.
	Waited time.Duration
	// MayRepeat is set if the router keeps an opening packet for which the verdict has a ticket.
	MayRepeat bool
}

// Action is the treatment of a packet.
type Action uint8

// Actions that a verdict may name.
const (
	// ActionDrop discards the packet without an answer.
	ActionDrop Action = iota
	// ActionForward sends the packet to a backend server.
	ActionForward
	// ActionReset resets the caller's flow.
	ActionReset
)

// Reason is why a packet was not forwarded.
type Reason uint8

// Reasons for not forwarding a packet.
const (
	ReasonNone Reason = iota
	// ReasonNoView is a packet that arrived before the first view of the control cluster.
	ReasonNoView
	// ReasonNoRoute is a packet to an address without a route.
	ReasonNoRoute
	// ReasonStaleView is a packet to an unknown address while the view may be out of date.
	ReasonStaleView
	// ReasonNoServer is an opening packet for which no backend server is available.
	ReasonNoServer
	// ReasonUnknownToken is a packet without a token or with one that is not in the view.
	ReasonUnknownToken
	// ReasonOtherService is a token of a service that the route has never named.
	ReasonOtherService
	// ReasonServerGone is a packet to a backend server that no longer exists.
	ReasonServerGone
	// ReasonLateCopy is an opening packet of a flow that is already established at a backend server
	// that gets no new flows.
	ReasonLateCopy
	// ReasonOverCapacity is an opening packet to a service that has no slot free and cannot serve a further
	// request in time.
	ReasonOverCapacity
	// ReasonLinkFull is an opening packet that the link of the entry has no room for.
	ReasonLinkFull
	// ReasonUnreachable is an opening packet to a service of which no data centre answers.
	ReasonUnreachable

	reasonCount
)

// String returns the name of the reason in counters and logs.
func (r Reason) String() string {
	names := [reasonCount]string{
		"none", "no_view", "no_route", "stale_view", "no_server", "unknown_token", "other_service", "server_gone", "late_copy",
		"over_capacity", "link_full", "unreachable",
	}
	if r >= reasonCount {
		return "unknown"
	}
	return names[r]
}

// Verdict is the decision on one packet. It is a struct because an interface value would cost an
// allocation for every packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Server is the destination of a forwarded packet. For other packets it is the record that the
	// token names, if the view has one.
	Server director.Server
	// IsTracked is set on packets that are not forwarded if this entry tracked their flow as
	// established.
	IsTracked bool
	// MovedFrom is the backend server at which this entry tracked the flow of a forwarded packet as
	// established, if the packet goes to another one; otherwise 0.
	MovedFrom director.Token
	// IsKept is set if the token of a forwarded packet names another backend server than the one that
	// holds its flow, and the packet goes to the latter.
	IsKept bool
	// IsPublished is set if the holder is known from another entry that carried the flow before.
	IsPublished bool
	// IsLate is set on a first opening packet that is dropped instead of reset because it waited in the socket.
	IsLate bool
	// IsWithheld is set on an opening packet that is dropped instead of reset because the link has no room.
	IsWithheld bool
	// Placement describes how a new flow was placed.
	Placement Placement
	// Ticket is set on an opening packet that may be sent to a second backend server; see
	// Balancer.SecondOpenings.
	Ticket hedger.Ticket
	// Overtaken is set on the packet that opens a flow at the second backend server. It is the first one,
	// which has not answered before.
	Overtaken director.Token
	// View identifies the view that the decision is based on.
	View View
}

// Placement is the choice of a backend server for a new flow.
type Placement struct {
	// IsNew is set if a backend server was chosen for this packet.
	IsNew bool
	// Candidates is the number of backend servers that could have been chosen.
	Candidates int
	// Flows and Requests are the load of the chosen backend server that passes through this entry.
	Flows, Requests int
	// IsLocal is set if the chosen backend server is in the data centre of the entry,
	// IsUnresponsive if it has recently left packets unanswered.
	IsLocal, IsUnresponsive bool
	// Tried is the backend server that got an earlier copy of the opening packet, or 0.
	Tried director.Token
}

// Kind returns the name of the placement in counters: "home" is a backend server in the local data
// centre, "elsewhere" one in another, "silent" one that has recently left packets unanswered, and
// "again" one that replaces a backend server that did not answer.
func (p Placement) Kind() string {
	switch {
	case p.Tried != 0:
		return "again"
	case p.IsUnresponsive:
		return "silent"
	case p.IsLocal:
		return "home"
	default:
		return "elsewhere"
	}
}

// View identifies a view and its age.
type View struct {
	Index   uint64
	Version uint64
	// Age is the time since the control cluster last confirmed the view.
	Age time.Duration
}

// Reasons returns all reasons for not forwarding a packet.
func Reasons() []Reason {
	reasons := make([]Reason, 0, reasonCount)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}
