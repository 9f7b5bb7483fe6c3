package director

import (
	"maps"
	"slices"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// marks holds what control knows about a start of a backend server beside its record. Entries do
// not see it.
type marks struct {
	_ struct{} `cbor:",toarray"`
	// HasLeft is set once a withdrawal has named the start. Its announcements are out of date.
	HasLeft bool
	// IsSilent is set if the start has no lease although entries know it as draining.
	IsSilent bool
	// IsPaused is set while entries know the start as draining although it has not announced that.
	IsPaused bool
	// IsConfirmed is set once the start has announced itself again while an earlier start with its
	// host or address was known.
	IsConfirmed bool
	// Successor is a later start that has announced itself, with sequence SuccessorSequence, since
	// this one did; 0 if there is none.
	Successor         director.Token
	SuccessorSequence uint64
}

// markedStart is the encoding of the marks of one start.
type markedStart struct {
	_     struct{} `cbor:",toarray"`
	Token director.Token
	Marks marks
}

func (m *Machine) setMarks(token director.Token, value marks) {
	if value == (marks{}) {
		delete(m.marks, token)
		return
	}
	m.marks[token] = value
}

// markedStarts returns all marks, sorted by token.
func (m *Machine) markedStarts() []markedStart {
	starts := make([]markedStart, 0, len(m.marks))
	for _, token := range slices.Sorted(maps.Keys(m.marks)) {
		starts = append(starts, markedStart{Token: token, Marks: m.marks[token]})
	}
	return starts
}

// hasLease reports whether the lease of a backend server may still expire.
func (m *Machine) hasLease(server director.Server) bool {
	return server.IsLive() && !m.marks[server.Token].IsSilent
}

// HasLease reports whether the lease of a backend server may still expire.
func (m *Machine) HasLease(server director.Server) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.hasLease(server)
}

// expire records leases that have expired, and removes records.
func (m *Machine) expire(c Expire) {
	for _, token := range c.Lapsed {
		server, ok := m.directory.Server(token)
		switch {
		case !ok || !m.hasLease(server):
		case server.State == director.StateDraining:
			known := m.marks[token]
			known.IsSilent = true
			m.setMarks(token, known)
		default:
			m.applyChange(director.ServerChanged{Server: server.WithState(director.StateLapsed)})
		}
	}
	for _, token := range c.Forget {
		if server, ok := m.directory.Server(token); ok && !m.hasLease(server) {
			m.applyChange(director.ServerRemoved{Token: token})
		}
	}
}
