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

// DeliverAnswer answers Deliver. Messages are answered by messages.
type DeliverAnswer struct{}

// FetchRequest asks a peer for a catalog that is newer than Known.
type FetchRequest struct {
	// Known is the version that the caller holds, 0 for none.
	Known uint64 `cbor:"1,keyasint,omitempty"`
}

// FetchAnswer carries the newer catalog whole, or as a change to the known one,
// or nothing.
type FetchAnswer struct {
	Catalog *cataloger.Catalog `cbor:"1,keyasint,omitempty"`
	Delta   *differ.Delta      `cbor:"2,keyasint,omitempty"`
}
