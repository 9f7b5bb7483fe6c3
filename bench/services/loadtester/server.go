package loadtester

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
)

const (
	// warmUpTime is the time of light load after which a cold backend server is warm.
	warmUpTime = 20 * time.Second
	// coldSpeed is the speed of a backend server that has just started, relative to a warm one.
	coldSpeed = 0.125
	// fullLoadSpeed is the relative speed below which a backend server fails when all its slots are
	// in use.
	fullLoadSpeed = 0.5
	// restartTime is the time that a backend server refuses requests after a failure.
	restartTime = 2 * time.Second
)

// server simulates a backend server with slots and a queue of connections.
type server struct {
	sim        *simulation
	dataCentre string
	// warmSince is the time at which the warm-up began.
	warmSince time.Time
	downUntil time.Time
	running   []*request
	queue     []*request
}

// currentSpeed returns the relative speed, which rises linearly from coldSpeed to 1 during the
// warm-up.
func (s *server) currentSpeed() float64 {
	progress := float64(s.sim.Now().Sub(s.warmSince)) / float64(warmUpTime)
	return min(1, coldSpeed+(1-coldSpeed)*max(0, progress))
}

func (s *server) receiveRequest(r *request) {
	switch {
	case s.sim.Now().Before(s.downUntil):
		s.sim.answer(s, r, leaseholder.ResultFailed)
	case len(s.running)+len(s.queue) >= specifier.Connections:
		s.sim.answer(s, r, leaseholder.ResultShed)
	default:
		s.queue = append(s.queue, r)
		s.startQueued()
	}
}

func (s *server) startQueued() {
	for len(s.queue) > 0 && len(s.running) < specifier.Slots {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, r)
		if len(s.running) == specifier.Slots && s.currentSpeed() < fullLoadSpeed {
			s.crash()
			return
		}
		r.starts++
		starts := r.starts
		s.sim.After(time.Duration(float64(r.workTime)/s.currentSpeed()), func() {
			if r.starts == starts && s.remove(r) {
				s.sim.answer(s, r, leaseholder.ResultAnswered)
				s.startQueued()
			}
		})
	}
}

// crash fails all requests and restarts the backend server cold.
func (s *server) crash() {
	s.sim.crashes++
	failed := slices.Concat(s.running, s.queue)
	s.running, s.queue = nil, nil
	s.downUntil = s.sim.Now().Add(restartTime)
	s.warmSince = s.downUntil
	for _, r := range failed {
		s.sim.answer(s, r, leaseholder.ResultFailed)
	}
}

// remove removes a request from the queue and from the running requests. It reports whether the
// request was running.
func (s *server) remove(r *request) bool {
	s.queue = slices.DeleteFunc(s.queue, func(q *request) bool { return q == r })
	before := len(s.running)
	s.running = slices.DeleteFunc(s.running, func(q *request) bool { return q == r })
	return len(s.running) < before
}

// cancel ends a request whose caller has gone.
func (s *server) cancel(r *request) {
	if s.remove(r) {
		s.startQueued()
	}
}
