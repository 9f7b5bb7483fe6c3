// Package director defines what control tells entries so that they can place and
// route flows by tokens: routes, backend servers, and data centres that are taken
// out. Control owns this state; entries hold copies that only move forwards.
package director

import (
	"net/netip"
	"time"
)

// Token numbers one start of a backend server. Control assigns tokens in the
// order of the log and never uses one twice. 0 is no token.
type Token uint32

// State is what control knows of a backend server.
type State uint8

// States of a backend server.
const (
	// StateReady accepts new flows.
	StateReady State = iota + 1
	// StateDraining keeps its flows and gets no new ones.
	StateDraining
	// StateLapsed has not renewed its lease. It may still hold flows.
	StateLapsed
	// StateGone has ended for certain, so that its flows can be reset.
	StateGone
)

// String returns the name of the state for logs.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateLapsed:
		return "lapsed"
	case StateGone:
		return "gone"
	default:
		return "unknown"
	}
}

// Server is one start of a backend server.
type Server struct {
	_     struct{} `cbor:",toarray"`
	Token Token
	// Host is the name that the backend server announces.
	Host       string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that it runs at a time.
	Slots int
	State State
	// Incarnation grows with each start; it is the announced start in Unix
	// milliseconds, or 0 if the backend server does not announce one.
	Incarnation uint64
	// Sequence is that of the newest announcement that changed the record.
	Sequence uint64
	// ColdFor is how long the backend server is slow from the announcement on.
	ColdFor time.Duration
}

// IsOpen reports whether the backend server may get new flows.
func (s Server) IsOpen() bool { return s.State == StateReady }

// IsLive reports whether the backend server renews its lease.
func (s Server) IsLive() bool { return s.State == StateReady || s.State == StateDraining }

// IsCold reports whether the backend server announced a cold start.
func (s Server) IsCold() bool { return s.ColdFor > 0 }

// WithState returns a copy in another state.
func (s Server) WithState(state State) Server {
	s.State = state
	return s
}
