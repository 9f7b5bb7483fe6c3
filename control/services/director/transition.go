package director

import (
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
)

// transitionLinesPerSecond limits the log lines about transitions: after the loss of a data
// centre, all of its backend servers may change within a second.
const transitionLinesPerSecond = 20

// Cause is why a backend server changed its state without having announced it.
type Cause uint8

// Causes of transitions.
const (
	// CauseSuperseded is an announcement of another start of its host or at its address.
	CauseSuperseded Cause = iota + 1
	// CauseWithdrawn is a withdrawal of its host.
	CauseWithdrawn
	// CauseOutlived is an announcement of the earlier start that this one seemed to succeed.
	CauseOutlived
)

// String returns the name of the cause, as logs show it.
func (c Cause) String() string {
	switch c {
	case CauseSuperseded:
		return "superseded"
	case CauseWithdrawn:
		return "withdrawn"
	case CauseOutlived:
		return "outlived"
	default:
		return "unknown"
	}
}

// Transition is a change of a backend server's state that it has not announced itself.
type Transition struct {
	// Server is the record after the transition.
	Server director.Server
	From   director.State
	Cause  Cause
	// By is the start whose announcement caused the transition, unless Cause is CauseWithdrawn.
	By director.Server
}

// ObserveTransitions sets a function that is called with each transition. It must not call the
// Machine.
func (m *Machine) ObserveTransitions(observe func(Transition)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeTransition = observe
}

// changeState changes the state of a backend server and reports the transition.
func (m *Machine) changeState(server director.Server, state director.State, cause Cause, by director.Server) {
	if server.State == state {
		return
	}
	from := server.State
	server = server.WithState(state)
	m.applyChange(director.ServerChanged{Server: server})
	if m.observeTransition != nil {
		m.observeTransition(Transition{Server: server, From: from, Cause: cause, By: by})
	}
}

// newTransitionLogger returns a function that logs transitions, up to transitionLinesPerSecond.
func (s *Service) newTransitionLogger() func(Transition) {
	limiter := log.NewRateLimiter(transitionLinesPerSecond)
	return func(t Transition) {
		leftOut, ok := limiter.Allow(s.clock.Now())
		if !ok {
			return
		}
		s.logger.Info("backend server changed", log.FieldHost, t.Server.Host, log.FieldToken, t.Server.Token, log.FieldAddress, t.Server.Address,
			"incarnation", t.Server.Incarnation, "from", t.From, "state", t.Server.State, log.FieldReason, t.Cause,
			"by_host", t.By.Host, "by_token", t.By.Token, "by_incarnation", t.By.Incarnation, log.FieldLeftOut, leftOut)
	}
}
