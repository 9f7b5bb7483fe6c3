package director

import (
	"net/netip"
	"time"
)

// Names of the gRPC service that entries call on control.
const (
	ServiceName = "redwingledge.control.Directory"
	WatchMethod = "/" + ServiceName + "/Watch"
	// RegisterMethod is called by replicas that do not lead.
	RegisterMethod = "/" + ServiceName + "/Register"
)

// WatchRequest asks for the changes after an index.
type WatchRequest struct {
	_ struct{} `cbor:",toarray"`
	// Index is that of the newest change that the entry has; 0 asks for all.
	Index uint64
	// Wait is how long control may hold the call while nothing changes.
	Wait time.Duration
	// Probe asks only whether the replica is current, and for its index.
	Probe bool
	// DataCentre is that of the entry, and Entry its name.
	DataCentre string
	Entry      string
}

// WatchResponse carries the changes up to an index.
type WatchResponse struct {
	_ struct{} `cbor:",toarray"`
	// Index is that of the newest change included.
	Index uint64
	// Complete tells that Changes build the whole state, not a step.
	Complete bool
	Changes  Batch
	// Replicas are the gRPC addresses of all control replicas.
	Replicas []netip.AddrPort
}
