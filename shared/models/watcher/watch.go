// Package watcher defines the messages by which gateways follow the view of an
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

// MaxWait bounds how long an answer may be held back.
const MaxWait = 30 * time.Second

// Request asks for what is newer than the caller knows.
type Request struct {
	// Gateway is the name of the caller.
	Gateway string `cbor:"gateway"`
	// Known is the Position of the last answer, zero at first. It belongs to the
	// entry that gave it.
	Known Position `cbor:"known"`
	// CatalogVersion is the version that the caller holds, 0 for none.
	CatalogVersion uint64 `cbor:"catalog_version"`
	// Wait is how long the answer may be held back while there is nothing newer,
	// at most MaxWait.
	Wait time.Duration `cbor:"wait"`
}

// Position tells how far a caller has followed the view of one entry process.
type Position struct {
	Process  uint64 `cbor:"process"`
	Revision uint64 `cbor:"revision"`
}

// Answer carries what is newer. Without a change in time it carries nothing but
// the position.
type Answer struct {
	Position Position `cbor:"position"`
	// Catalog is nil if the caller holds the newest.
	Catalog *cataloger.Catalog `cbor:"catalog,omitempty"`
	// MembersChanged is set if Members, all live entries of the region, are new.
	MembersChanged bool               `cbor:"members_changed,omitempty"`
	Members        []cataloger.Member `cbor:"members,omitempty"`
	// AllRecords is set if Records are all there are, so that the caller drops
	// the others; otherwise they are those that changed.
	AllRecords bool               `cbor:"all_records,omitempty"`
	Records    []announcer.Record `cbor:"records,omitempty"`
	Removed    []announcer.ID     `cbor:"removed,omitempty"`
	// Ready tells whether the entry's configuration is as new as a majority of
	// the entries in reach know.
	Ready bool `cbor:"ready,omitempty"`
}
