package director

import "github.com/redwingledge/redwingledge/shared/models/director"

// isSameStart reports whether two records describe the same start of a backend server.
func isSameStart(a, b director.Server) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service
}

// isPresumedGone reports whether a backend server counts as gone although its withdrawal may have
// been that of an earlier start. An announcement then shows that it runs.
func (m *Machine) isPresumedGone(server director.Server) bool {
	return server.State == director.StateGone && m.withdrawn[server.Token]
}

// hasLease reports whether the lease of a backend server may still expire.
func (m *Machine) hasLease(server director.Server) bool {
	return server.IsLive() && !m.silent[server.Token]
}

// HasLease reports whether the lease of a backend server may still expire.
func (m *Machine) HasLease(server director.Server) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.hasLease(server)
}

// clearMarks deletes what is recorded about the silence of a backend server.
func (m *Machine) clearMarks(token director.Token) {
	delete(m.withdrawn, token)
	delete(m.silent, token)
}

// withdraw records that a backend server has stopped. A withdrawal that does not name the start may
// be late and belong to an earlier one, so the backend server only gets no new flows until it
// announces itself again, and is gone once its lease has expired.
func (m *Machine) withdraw(c Withdraw) {
	known, ok := m.directory.Server(m.byHost[c.Host])
	if !ok || known.State == director.StateGone || (c.Incarnation != 0 && c.Incarnation != known.Incarnation) {
		return
	}
	state := director.StateGone
	m.clearMarks(known.Token)
	if c.Incarnation == 0 {
		state = director.StateDraining
		m.withdrawn[known.Token] = true
	}
	m.changeState(known, state, CauseWithdrawn, director.Server{})
}

func (m *Machine) expire(c Expire) {
	for _, token := range c.Lapsed {
		s, ok := m.directory.Server(token)
		switch {
		case !ok || !s.IsLive():
		case m.withdrawn[token]:
			m.changeState(s, director.StateGone, CauseExpired, director.Server{})
		case s.State == director.StateDraining:
			m.silent[token] = true
		default:
			m.applyChange(director.ServerChanged{Server: s.WithState(director.StateLapsed)})
		}
	}
	for _, token := range c.Forget {
		s, ok := m.directory.Server(token)
		if !ok || m.hasLease(s) {
			continue
		}
		if m.byHost[s.Host] == token {
			delete(m.byHost, s.Host)
		}
		m.clearMarks(token)
		m.applyChange(director.ServerRemoved{Token: token})
	}
}
