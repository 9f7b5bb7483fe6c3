package director

import "github.com/redwingledge/redwingledge/shared/models/director"

// withdraw records that a backend server is about to stop. It gets no new flows. If the withdrawal
// does not name the start, it may be late and belong to an earlier one, and the next announcement
// takes it back.
func (m *Machine) withdraw(c Withdraw) {
	server, ok := m.findWithdrawn(c)
	if !ok || server.State == director.StateGone {
		return
	}
	known := m.marks[server.Token]
	if c.Incarnation != 0 {
		known.HasLeft, known.IsSilent = true, true
	}
	m.pause(server, known, CauseWithdrawn, director.Server{})
}

// findWithdrawn returns the start that a withdrawal names, or else the latest start of its host.
func (m *Machine) findWithdrawn(c Withdraw) (director.Server, bool) {
	var latest director.Server
	for _, token := range m.starts.byHost[c.Host] {
		server, ok := m.directory.Server(token)
		if ok && (c.Incarnation == 0 || c.Incarnation == server.Incarnation) && (latest.Token == 0 || isLater(server, latest)) {
			latest = server
		}
	}
	return latest, latest.Token != 0
}
