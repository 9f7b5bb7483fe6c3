// Package flowsharer defines the messages with which entries tell each other which backend server holds a flow
// whose opening packet several have got. The token of such a flow may name one that does not hold it.
package flowsharer

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Names of the gRPC service of control for held flows, and of its methods.
const (
	ServiceName = "redwingledge.control.FlowExchange"
	// PublishMethod takes a PublishRequest of an entry and returns a PublishResponse.
	PublishMethod = "/" + ServiceName + "/Publish"
	// WatchMethod takes a WatchRequest of an entry or another replica and returns a WatchResponse.
	WatchMethod = "/" + ServiceName + "/Watch"
)

const (
	// FlowSize is the largest size of an encoded flow in bytes.
	FlowSize = 26
	// MaxFlows is the maximum number of flows in a message, which take 7 KB. Links of entries may carry no more than
	// 250 KB a second.
	MaxFlows = 256
	// MaxAge is how long a flow is remembered. Its ends have the right token once one of its packets has passed
	// an entry that knows the holder, so this matters for flows that are idle after they have opened. It is
	// several times the usual idle timeout.
	MaxAge = time.Minute
	// MaxWait bounds a long poll, so that a silent connection is soon detected.
	MaxWait = 2 * time.Second
)

// ErrInvalid reports a message with an invalid field.
var ErrInvalid = errors.New("invalid message")

// HeldFlow names the backend server that holds a flow.
type HeldFlow struct {
	_ struct{} `cbor:",toarray"`
	// Source is the address of the caller, and Destination that of a route.
	Source, Destination netip.AddrPort
	// Token is that of the backend server.
	Token director.Token
	// Acknowledged is the position up to which the caller had received data of the backend server. It
	// distinguishes the flow from a later one between the same addresses.
	Acknowledged uint32
}

// PublishRequest has flows that an entry tells the others.
type PublishRequest struct {
	_     struct{} `cbor:",toarray"`
	Entry string
	Flows []HeldFlow
}

// PublishResponse acknowledges a PublishRequest.
type PublishResponse struct {
	_ struct{} `cbor:",toarray"`
	// Epoch identifies the start of the replica, which has no flows of an earlier one.
	Epoch uint64
}

// Position is a position in the sequence of flows of one start of a replica. The zero value is before the first.
type Position struct {
	_               struct{} `cbor:",toarray"`
	Epoch, Sequence uint64
}

// WatchRequest asks for the flows after a position.
type WatchRequest struct {
	_     struct{} `cbor:",toarray"`
	After Position
	// Within leaves out flows that came longer ago, if After is a position of another replica or start: the caller
	// has them from there. With 0 none are left out.
	Within time.Duration
	// Wait is how long the replica may delay the response while there is none.
	Wait time.Duration
	// OnlyPublished leaves out the flows that the replica itself has from other replicas.
	OnlyPublished bool
}

// WatchResponse has the flows up to a position, at most MaxFlows.
type WatchResponse struct {
	_     struct{} `cbor:",toarray"`
	UpTo  Position
	Flows []HeldFlow
}

// Check returns ErrInvalid for the first invalid field, or nil if all are valid.
func (r PublishRequest) Check() error {
	if err := director.CheckName("entry", r.Entry); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return check(r.Flows)
}

// Check returns ErrInvalid for the first invalid flow, or nil if all are valid.
func (r WatchResponse) Check() error { return check(r.Flows) }

// IsLast reports whether the replica had no further flows.
func (r WatchResponse) IsLast() bool { return len(r.Flows) < MaxFlows }

func check(flows []HeldFlow) error {
	if len(flows) > MaxFlows {
		return fmt.Errorf("%w: flows: must be at most %d, are %d", ErrInvalid, MaxFlows, len(flows))
	}
	for _, f := range flows {
		if !f.Source.IsValid() || !f.Destination.IsValid() || f.Token == 0 {
			return fmt.Errorf("%w: flow from %s to %s: must have both addresses and a token", ErrInvalid, f.Source, f.Destination)
		}
	}
	return nil
}
