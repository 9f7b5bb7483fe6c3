// Package director defines the state that control replicates to entries: routes,
// backend servers and taken-out data centres. Entries need it to place flows and
// to route their packets by token. Control owns this state; the copies of the
// entries never go back to an earlier version.
package director

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
	"unicode/utf8"
)

// Upper limits of announced values. MaxNameLength is in bytes.
const (
	MaxNameLength = 128
	MaxSlots      = 100_000
	MaxColdStart  = time.Hour
	// MaxCounter is the limit of sequences and incarnations: the largest integer that every JSON
	// reader represents exactly.
	MaxCounter = 1<<53 - 1
)

// Token identifies one start of a backend server. Control assigns tokens in the
// order of its replicated log and never reuses one. 0 means no token.
type Token uint32

// State is the state of a backend server as control knows it.
type State uint8

// States of a backend server.
const (
	// StateReady means that the backend server accepts new flows.
	StateReady State = iota + 1
	// StateDraining means that it keeps its flows but gets no new ones.
	StateDraining
	// StateLapsed means that its lease has expired. It may still have flows.
	StateLapsed
	// StateGone means that it has certainly ended, so that its flows can be reset.
	StateGone
)

// String returns the name of the state, as logs show it.
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
	// Host is the host name that the backend server announces.
	Host       string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that it handles concurrently.
	Slots int
	State State
	// Incarnation increases with each start. It is the announced start time in Unix
	// milliseconds, or 0 if the backend server does not announce one.
	Incarnation uint64
	// Sequence is the sequence of the last announcement that changed this record.
	Sequence uint64
	// ColdStart is the duration of the cold start, counted from the announcement. The
	// backend server is slow during this time.
	ColdStart time.Duration
}

// Check returns an error that names every invalid field that a backend server announces, or nil if
// all are valid.
func (s Server) Check() error {
	errs := []error{CheckName("host", s.Host), CheckName("service", s.Service), CheckName("data centre", s.DataCentre)}
	if !s.Address.IsValid() || s.Address.Port() == 0 || s.Address.Addr().IsUnspecified() {
		errs = append(errs, errors.New("address: must be IP:PORT with a port above 0"))
	}
	if s.Slots < 1 || s.Slots > MaxSlots {
		errs = append(errs, fmt.Errorf("slots: must be 1 to %d", MaxSlots))
	}
	if s.ColdStart < 0 || s.ColdStart > MaxColdStart {
		errs = append(errs, fmt.Errorf("cold start: must be 0 to %s", MaxColdStart))
	}
	if s.Sequence > MaxCounter || s.Incarnation > MaxCounter {
		errs = append(errs, fmt.Errorf("sequence and incarnation: must be 0 to %d", uint64(MaxCounter)))
	}
	return errors.Join(errs...)
}

// CheckName returns an error if no backend server can have announced the name. The field is part of
// its text.
func CheckName(field, name string) error {
	if name == "" || len(name) > MaxNameLength || !utf8.ValidString(name) {
		return fmt.Errorf("%s: must have 1 to %d bytes of UTF-8", field, MaxNameLength)
	}
	return nil
}

// AcceptsNewFlows reports whether the backend server may get new flows.
func (s Server) AcceptsNewFlows() bool { return s.State == StateReady }

// IsLive reports whether the backend server has a valid lease.
func (s Server) IsLive() bool { return s.State == StateReady || s.State == StateDraining }

// IsCold reports whether the backend server announced a cold start.
func (s Server) IsCold() bool { return s.ColdStart > 0 }

// WithColdStart returns a copy with another duration of the cold start.
func (s Server) WithColdStart(duration time.Duration) Server {
	s.ColdStart = duration
	return s
}

// WithState returns a copy with another state.
func (s Server) WithState(state State) Server {
	s.State = state
	return s
}
