package director

import (
	"cmp"
	"slices"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Entries reset the open flows of a backend server that is gone, so that state needs a proof. A
// withdrawal announces an end that is still to come, an expired lease may be due to a partition, and
// a single announcement may have been sent by another writer. A backend server is gone once a later
// start of its host or at its address goes on announcing itself after the lease of the earlier one
// has expired. An announcement of the earlier start disproves even that.
//
// A start is never gone if its successor has both its host and its address: packets for the earlier
// one reach the later one, which holds the flows that entries placed before they knew of it, and
// resets the others itself.

// isSameStart reports whether two records describe the same start of a backend server.
func isSameStart(a, b director.Server) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service
}

// isLater reports whether the start a is later than b.
func isLater(a, b director.Server) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Token, b.Token)) > 0
}

// findStart returns the record of the start that a backend server describes.
func (m *Machine) findStart(server director.Server) (director.Server, bool) {
	for _, token := range slices.Backward(m.starts.byHost[server.Host]) {
		if known, ok := m.directory.Server(token); ok && isSameStart(known, server) {
			return known, true
		}
	}
	return director.Server{}, false
}

// rivals returns the other starts with the host or the address of a backend server.
func (m *Machine) rivals(server director.Server) []director.Server {
	var rivals []director.Server
	for _, token := range m.starts.related(server) {
		if rival, ok := m.directory.Server(token); ok && token != server.Token {
			rivals = append(rivals, rival)
		}
	}
	return rivals
}

// isContested reports whether a later start with the host or the address of a backend server keeps
// it from getting new flows: one that has announced itself again, or that has a lease.
func (m *Machine) isContested(server director.Server) bool {
	return slices.ContainsFunc(m.rivals(server), func(rival director.Server) bool { return m.contests(rival, server) })
}

func (m *Machine) contests(rival, server director.Server) bool {
	if rival.State == director.StateGone || !isLater(rival, server) {
		return false
	}
	mark := m.marks[rival.Token]
	return m.hasLease(rival) || mark.IsConfirmed || mark.HasLeft
}

// isOutlived reports whether an announcement of a backend server shows that a later start, which has
// announced itself only once and has no lease, does not run.
func (m *Machine) isOutlived(rival, server director.Server) bool {
	return rival.State == director.StateLapsed && isLater(rival, server) && !m.contests(rival, server)
}

// succession is what an announcement of a start shows about an earlier one.
type succession uint8

const (
	// successionNone shows nothing new.
	successionNone succession = iota
	// successionClaimed shows that the earlier start must get no new flows.
	successionClaimed
	// successionProved shows that the earlier start has ended.
	successionProved
)

// successionOf returns what an announcement of server with a sequence shows about a rival.
func (m *Machine) successionOf(rival, server director.Server, sequence uint64) succession {
	if rival.State == director.StateGone || !isLater(server, rival) {
		return successionNone
	}
	mark := m.marks[rival.Token]
	if mark.Successor == server.Token {
		isSamePlace := rival.Host == server.Host && rival.Address == server.Address
		if sequence > mark.SuccessorSequence && !m.hasLease(rival) && !isSamePlace {
			return successionProved
		}
		return successionNone
	}
	if successor, ok := m.directory.Server(mark.Successor); ok && m.hasLease(successor) {
		return successionNone
	}
	return successionClaimed
}

// hasNews reports whether an announcement of server with a sequence confirms it, or shows anything new
// about another start.
func (m *Machine) hasNews(server director.Server, sequence uint64) bool {
	isRepeated := sequence > server.Sequence && !m.marks[server.Token].IsConfirmed
	return slices.ContainsFunc(m.rivals(server), func(rival director.Server) bool {
		return isRepeated && isLater(server, rival) || m.isOutlived(rival, server) || m.successionOf(rival, server, sequence) != successionNone
	})
}

// judgeRivals records what an announcement of server with a sequence shows about other starts.
func (m *Machine) judgeRivals(server director.Server, sequence uint64) {
	for _, rival := range m.rivals(server) {
		mark := m.marks[rival.Token]
		if m.isOutlived(rival, server) {
			m.pause(rival, mark, CauseOutlived, server)
			continue
		}
		switch m.successionOf(rival, server, sequence) {
		case successionNone:
		case successionClaimed:
			mark.Successor, mark.SuccessorSequence = server.Token, sequence
			m.pause(rival, mark, CauseSuperseded, server)
		case successionProved:
			m.setMarks(rival.Token, marks{HasLeft: mark.HasLeft})
			m.changeState(rival, director.StateGone, CauseSuperseded, server)
		}
	}
}

// pause ends the new flows of a backend server, which keeps its open ones, and sets its marks.
func (m *Machine) pause(server director.Server, mark marks, cause Cause, by director.Server) {
	mark.IsSilent = mark.IsSilent || server.State == director.StateLapsed
	mark.IsPaused = mark.IsPaused || server.State != director.StateDraining
	m.setMarks(server.Token, mark)
	m.changeState(server, director.StateDraining, cause, by)
}
