package cataloger

import "time"

// FetchMethod is the gRPC method of control that entries poll.
const FetchMethod = "/redwingledge.control.Configuration/Fetch"

// MaxFetchWait bounds how long a Fetch may wait for a newer catalog.
const MaxFetchWait = 30 * time.Second

// FetchRequest asks control for a catalog that is newer than Known.
type FetchRequest struct {
	// Known is the version that the caller holds, 0 for none.
	Known uint64 `cbor:"known"`
	// Wait is how long the answer may be held back while there is nothing
	// newer, at most MaxFetchWait.
	Wait time.Duration `cbor:"wait"`
}

// FetchAnswer carries a catalog newer than the known one, or none.
type FetchAnswer struct {
	Catalog *Catalog `cbor:"catalog,omitempty"`
}
