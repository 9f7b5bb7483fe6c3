// Package steerer decides where the packets of flows go when the ends of a flow
// hand back a routing token: the token of the backend server is written into the
// opening packet, and any entry routes every later packet by it without state
// shared between entries.
package steerer

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Packet is what a decision needs of a packet of a caller.
type Packet struct {
	// Source is the address of the caller.
	Source netip.AddrPort
	// Destination is the address of a route.
	Destination netip.AddrPort
	// Token is the one that the caller handed back; 0 on an opening packet.
	Token director.Token
	// IsOpening tells that the packet opens a flow.
	IsOpening bool
	// Copy counts the earlier copies of an opening packet that the caller sent.
	Copy uint32
	// IsReset and IsFinal tell that the caller ends the flow.
	IsReset, IsFinal bool
	// HasData tells that the packet carries bytes of the caller, from Sequence on.
	HasData  bool
	Sequence uint32
	// Acknowledged is up to where the caller has received.
	Acknowledged uint32
}

// Action is what happens to a packet.
type Action uint8

// Actions.
const (
	// ActionDrop discards the packet without an answer.
	ActionDrop Action = iota
	// ActionForward sends the packet to a backend server.
	ActionForward
	// ActionReset tells the caller that its flow has ended.
	ActionReset
)

// Reason tells why a packet was not forwarded.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoView is a packet before control was reached.
	ReasonNoView
	// ReasonNoRoute is a packet to an address without a route.
	ReasonNoRoute
	// ReasonStaleView is a packet to an unknown address while control is silent.
	ReasonStaleView
	// ReasonNoServer is an opening packet for which no backend server is open.
	ReasonNoServer
	// ReasonUnknownToken is a token that this entry has not heard of, or none.
	ReasonUnknownToken
	// ReasonOtherService is a token of a service that the route never named.
	ReasonOtherService
	// ReasonServerGone is a packet to a backend server that has ended.
	ReasonServerGone
	// ReasonServerLost is a repeated request to a data centre that does not answer.
	ReasonServerLost

	reasonCount
)

// String returns the name of the reason in counters and logs.
func (r Reason) String() string {
	names := [reasonCount]string{
		"none", "no_view", "no_route", "stale_view", "no_server", "unknown_token", "other_service", "server_gone", "server_lost",
	}
	if r >= reasonCount {
		return "unknown"
	}
	return names[r]
}

// Verdict is a decision. It is a plain value, as an interface would allocate for
// every packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Server is where a forwarded packet goes.
	Server director.Server
	// Placement tells how a new flow was placed.
	Placement Placement
	// View is what the decision rests on.
	View View
}

// Placement is the choice of a backend server for a new flow.
type Placement struct {
	// IsNew tells that a choice was made for this packet.
	IsNew bool
	// Open is the number of backend servers that could be chosen.
	Open int
	// Flows and Requests are the load of the chosen one, as far as this entry
	// carries it.
	Flows, Requests int
	// IsHome tells that it is in the data centre of the entry, IsSilent that it has
	// not answered lately.
	IsHome, IsSilent bool
	// Tried is the backend server that an earlier copy went to.
	Tried director.Token
}

// Kind names what a choice means to the caller, for counters: the backend server is at
// home or in another data centre, has not answered lately, or takes the place of one
// that did not answer.
func (p Placement) Kind() string {
	switch {
	case p.Tried != 0:
		return "again"
	case p.IsSilent:
		return "silent"
	case p.IsHome:
		return "home"
	default:
		return "elsewhere"
	}
}

// View identifies a view and its age.
type View struct {
	Index   uint64
	Version uint64
	// Age is the time since control last confirmed the view.
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
