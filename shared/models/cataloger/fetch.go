package cataloger

import "time"

// FetchMethod is the gRPC method with which entries poll control for the catalog.
const FetchMethod = "/redwingledge.control.Configuration/Fetch"

// MaxFetchWait is the longest time that a Fetch call may wait for a newer catalog.
const MaxFetchWait = 30 * time.Second

// FetchRequest asks control for a catalog that is newer than Known.
type FetchRequest struct {
	// Known is the version that the caller has, or 0 if it has none.
	Known uint64 `cbor:"known"`
	// Wait is how long the call may wait for a newer catalog, at most
	// MaxFetchWait.
	Wait time.Duration `cbor:"wait"`
}

// FetchResponse is the response to a FetchRequest. Catalog is nil if there is none
// newer than the known version.
type FetchResponse struct {
	Catalog *Catalog `cbor:"catalog,omitempty"`
}
