package director

import "github.com/redwingledge/redwingledge/shared/models/director"

// withdraw records that a backend server is about to stop. It gets no new flows. If the withdrawal
// does not name the start, it may belong to any start of the host, and the next announcement of one
// takes it back.
func (m *Machine) withdraw(c Withdraw) {
	for _, token := range m.starts.byHost[c.Host] {
		server, ok := m.directory.Server(token)
		if !ok || server.State == director.StateGone || c.Incarnation != 0 && c.Incarnation != server.Incarnation {
			continue
		}
		mark := m.marks[token]
		if c.Incarnation != 0 {
			mark.HasLeft, mark.IsSilent = true, true
		}
		m.pause(server, mark, CauseWithdrawn, director.Server{})
	}
}
