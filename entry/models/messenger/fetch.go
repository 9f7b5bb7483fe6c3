package messenger

import (
	"github.com/redwingledge/redwingledge/entry/models/differ"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Names of the gRPC service between entries and of its methods.
const (
	PeerService   = "redwingledge.entry.Peer"
	DeliverMethod = "/" + PeerService + "/Deliver"
	FetchMethod   = "/" + PeerService + "/Fetch"
)

// DeliverResponse is the empty response of Deliver. Replies to messages are sent as messages.
type DeliverResponse struct{}

// FetchRequest requests a catalog that is newer than Known.
type FetchRequest struct {
	// Known is the version that the requesting entry holds, 0 for none.
	Known uint64 `cbor:"1,keyasint,omitempty"`
}

// FetchResponse carries the newer catalog, either in full or as a delta to the known
// version. Both fields are nil if there is no newer one.
type FetchResponse struct {
	Catalog *cataloger.Catalog `cbor:"1,keyasint,omitempty"`
	Delta   *differ.Delta      `cbor:"2,keyasint,omitempty"`
}
