// Package watcher defines the messages with which gateways watch the view of an
// entry: configuration, live entries and records of backend servers.
package watcher

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Names of the gRPC service and of its method.
const (
	Service = "redwingledge.entry.View"
	Method  = "/" + Service + "/Watch"
)

// MaxWait is the maximum duration of a long poll.
const MaxWait = 30 * time.Second

// Request asks for everything that is newer than what the caller has.
type Request struct {
	// Gateway is the name of the calling gateway.
	Gateway string `cbor:"gateway"`
	// Known is the Position of the last response, or zero in the first request. It
	// is valid only for the entry that returned it.
	Known Position `cbor:"known"`
	// CatalogVersion is the version that the caller has, or 0 if it has none.
	CatalogVersion uint64 `cbor:"catalog_version"`
	// Wait is how long the response may be delayed while there is nothing newer, at
	// most MaxWait.
	Wait time.Duration `cbor:"wait"`
}

// Position identifies a revision of the view of one entry process.
type Position struct {
	Process  uint64 `cbor:"process"`
	Revision uint64 `cbor:"revision"`
}

// Response is the response to a Request. If nothing changed within the wait time,
// only Position is set.
type Response struct {
	Position Position `cbor:"position"`
	// Catalog is nil if the caller has the newest one.
	Catalog *cataloger.Catalog `cbor:"catalog,omitempty"`
	// MembersChanged is set if the live entries of the region have changed. Members
	// then lists all of them.
	MembersChanged bool               `cbor:"members_changed,omitempty"`
	Members        []cataloger.Member `cbor:"members,omitempty"`
	// AllRecords is set if Records are complete, so that the caller must discard all
	// others. Otherwise Records are only the changed ones.
	AllRecords bool               `cbor:"all_records,omitempty"`
	Records    []announcer.Record `cbor:"records,omitempty"`
	Removed    []announcer.ID     `cbor:"removed,omitempty"`
	// Ready tells whether the configuration of the entry is at least as new as that
	// of a majority of the reachable entries.
	Ready bool `cbor:"ready,omitempty"`
}
