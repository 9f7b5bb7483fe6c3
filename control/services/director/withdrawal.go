package director

import "github.com/redwingledge/redwingledge/shared/models/director"

// isSameStart reports whether two records describe the same start of a backend server.
func isSameStart(a, b director.Server) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service
}

// hasEndedUnproven reports whether a backend server counts as gone although its withdrawal may
// have been that of an earlier start. An announcement then shows that it runs.
func (m *Machine) hasEndedUnproven(server director.Server) bool {
	return server.State == director.StateGone && m.withdrawn[server.Token]
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
	delete(m.withdrawn, known.Token)
	if c.Incarnation == 0 {
		state = director.StateDraining
		m.withdrawn[known.Token] = true
	}
	if known.State != state {
		m.applyChange(director.ServerChanged{Server: known.WithState(state)})
	}
}

func (m *Machine) expire(c Expire) {
	for _, token := range c.Lapsed {
		s, ok := m.directory.Server(token)
		if !ok || !s.IsLive() {
			continue
		}
		state := director.StateLapsed
		if m.withdrawn[token] {
			state = director.StateGone
		}
		m.applyChange(director.ServerChanged{Server: s.WithState(state)})
	}
	for _, token := range c.Forget {
		s, ok := m.directory.Server(token)
		if !ok || s.IsLive() {
			continue
		}
		if m.byHost[s.Host] == token {
			delete(m.byHost, s.Host)
		}
		delete(m.withdrawn, token)
		m.applyChange(director.ServerRemoved{Token: token})
	}
}
