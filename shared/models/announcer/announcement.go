// Package announcer defines the announcements that backend servers send about
// themselves, and the records that entries make from them and merge.
package announcer

import (
	"errors"
	"fmt"
	"net/netip"
)

// State is the state that a backend server announces.
type State string

// States of a backend server.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateLeaving  State = "leaving"
)

// IsValid reports whether s is one of the known states.
func (s State) IsValid() bool {
	switch s {
	case StateStarting, StateReady, StateDraining, StateLeaving:
		return true
	default:
		return false
	}
}

// ID identifies a backend server within the system.
type ID struct {
	Service string `cbor:"service" json:"service"`
	Host    string `cbor:"host" json:"host"`
}

// String returns the service and the host, joined by a slash.
func (id ID) String() string { return id.Service + "/" + id.Host }

// Announcement is what a backend server reports about itself: its address, its
// capacity and its state.
type Announcement struct {
	ID
	Address    netip.AddrPort `cbor:"address" json:"address"`
	DataCentre string         `cbor:"data_centre" json:"data_centre"`
	// Slots is the number of requests that the backend server handles concurrently.
	Slots int `cbor:"slots" json:"slots"`
	// Connections is the number of connections that the backend server accepts.
	Connections int `cbor:"connections" json:"connections"`
	// Incarnation increases with each start of the backend server.
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	State    State  `cbor:"state" json:"state"`
}

// Upper limits of announced values. MaxNameLength is in bytes.
const (
	MaxSlots       = 100_000
	MaxConnections = 10_000_000
	MaxNameLength  = 128
)

// Check returns an error that names every invalid field, or nil if all are valid.
func (a Announcement) Check() error {
	var errs []error
	add := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	checkName := func(field, name string) {
		if name == "" || len(name) > MaxNameLength {
			add(field, "must have 1 to %d bytes", MaxNameLength)
		}
	}
	checkName("service", a.Service)
	checkName("host", a.Host)
	checkName("data_centre", a.DataCentre)
	if !a.Address.IsValid() || a.Address.Port() == 0 || a.Address.Addr().IsUnspecified() {
		add("address", "must be IP:PORT with a port above 0")
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		add("slots", "must be 1 to %d", MaxSlots)
	}
	if a.Connections < 1 || a.Connections > MaxConnections {
		add("connections", "must be 1 to %d", MaxConnections)
	}
	if a.Incarnation == 0 {
		add("incarnation", "must be above 0")
	}
	if !a.State.IsValid() {
		add("state", "%q is not starting, ready, draining or leaving", a.State)
	}
	return errors.Join(errs...)
}
