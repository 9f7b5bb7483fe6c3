package director

import (
	"fmt"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// announce records announcements. Stale ones are skipped; the error is that of the
// last of them.
func (m *Machine) announce(announcements []Announcement) error {
	var stale error
	for _, a := range announcements {
		if err := m.announceOne(a); err != nil {
			stale = err
		}
	}
	return stale
}

func (m *Machine) announceOne(a Announcement) error {
	known, ok := m.findStart(a.Server)
	if !ok {
		return m.addStart(a)
	}
	if err := m.checkSequence(known, a); err != nil {
		return err
	}
	server := a.Server.WithState(m.stateAfter(known, a))
	server.Token = known.Token
	mark := m.marks[known.Token]
	isDrainNew := a.Draining && mark.IsPaused
	if known.State == server.State && known.IsCold() == server.IsCold() && !isDrainNew {
		// Only the sequence and the remaining time of the cold start differ.
		server = known
	} else {
		m.applyChange(director.ServerChanged{Server: server})
	}
	m.setMarks(known.Token, marks{
		IsPaused: server.State == director.StateDraining && !a.Draining, IsConfirmed: mark.IsConfirmed || a.Server.Sequence > known.Sequence,
	})
	m.judgeRivals(server, a.Server.Sequence)
	return nil
}

// addStart records the first announcement of a start. It returns ErrStaleAnnouncement if a later
// start contests it.
func (m *Machine) addStart(a Announcement) error {
	server := a.Server.WithState(announcedState(a))
	server.Token = m.nextToken
	for _, rival := range m.rivals(server) {
		if m.contests(rival, server) {
			return ErrStaleAnnouncement{Host: server.Host, Reason: fmt.Sprintf("%q at %s started later", rival.Host, rival.Address)}
		}
	}
	m.nextToken++
	m.applyChange(director.ServerChanged{Server: server})
	m.judgeRivals(server, a.Server.Sequence)
	return nil
}

// checkSequence returns ErrStaleAnnouncement if an announcement is older than the record of its start.
func (m *Machine) checkSequence(known director.Server, a Announcement) error {
	switch {
	case m.marks[known.Token].HasLeft:
		return ErrStaleAnnouncement{Host: known.Host, Reason: "it has withdrawn"}
	case a.Server.Sequence < known.Sequence:
		return ErrStaleAnnouncement{Host: known.Host, Reason: fmt.Sprintf("sequence %d is before %d", a.Server.Sequence, known.Sequence)}
	case known.State == director.StateDraining && !a.Draining && a.Server.Sequence == known.Sequence:
		return ErrStaleAnnouncement{Host: known.Host, Reason: "it is draining"}
	}
	return nil
}

func announcedState(a Announcement) director.State {
	if a.Draining {
		return director.StateDraining
	}
	return director.StateReady
}

// stateAfter returns the state that entries must see after an announcement of a known start.
func (m *Machine) stateAfter(known director.Server, a Announcement) director.State {
	if m.isContested(known) {
		return director.StateDraining
	}
	return announcedState(a)
}

// IsRecorded returns the token of the recorded start, and whether its record agrees with an
// announcement.
func (m *Machine) IsRecorded(a Announcement) (director.Token, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known, ok := m.findStart(a.Server)
	return known.Token, ok && m.isRecorded(known, a)
}

func (m *Machine) isRecorded(known director.Server, a Announcement) bool {
	return m.checkSequence(known, a) == nil && known.State == m.stateAfter(known, a) && known.IsCold() == a.Server.IsCold()
}

// HasStart reports whether the start that a backend server describes is recorded.
func (m *Machine) HasStart(server director.Server) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.findStart(server)
	return ok
}

// IsKnown returns the token of the recorded start, and whether an announcement would leave the state
// unchanged, so that renewing the lease is enough.
func (m *Machine) IsKnown(a Announcement) (director.Token, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	known, ok := m.findStart(a.Server)
	if !ok || !m.isRecorded(known, a) {
		return known.Token, false
	}
	mark, isPaused := m.marks[known.Token], known.State == director.StateDraining && !a.Draining
	isSettled := mark == marks{IsPaused: isPaused, IsConfirmed: mark.IsConfirmed}
	return known.Token, isSettled && !m.hasNews(known, a.Server.Sequence)
}
