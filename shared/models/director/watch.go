package director

import (
	"net/netip"
	"time"
)

// Names of the gRPC service of control that entries call, and of its methods.
const (
	ServiceName = "redwingledge.control.Directory"
	WatchMethod = "/" + ServiceName + "/Watch"
	// RegisterMethod is called by followers to forward registrations to the leader.
	RegisterMethod = "/" + ServiceName + "/Register"
)

// WatchRequest requests the changes after an index.
type WatchRequest struct {
	_ struct{} `cbor:",toarray"`
	// Index is the index of the newest change that the entry has; 0 requests the
	// whole state.
	Index uint64
	// Wait is how long control may delay the response while there is no change.
	Wait time.Duration
	// Probe asks only for the index of the replica and whether it is current.
	Probe bool
	// DataCentre is the data centre of the entry, and Entry its name.
	DataCentre string
	Entry      string
}

// WatchResponse contains the changes up to an index.
type WatchResponse struct {
	_ struct{} `cbor:",toarray"`
	// Index is the index of the newest change that is included.
	Index uint64
	// Complete reports whether Changes are the whole state and not an increment.
	Complete bool
	Changes  Batch
	// Replicas are the gRPC addresses of all control replicas.
	Replicas []netip.AddrPort
}
