package scheduler

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// simServer is a simulated backend server. It sheds requests beyond its slots at once. While it
// is cold, it has one slot and takes three times as long for a request.
type simServer struct {
	record     announcer.Record
	slots      int
	coldUntil  time.Time
	running    int
	peak       int
	executions map[*execution]bool
}

// execution is a request that a simulated backend server runs.
type execution struct {
	gateway *gateway
	out     Start
}

func (s *simulation) dispatch(g *gateway, out Start) {
	if s.hedging != nil && s.requests[out.Request] == nil {
		s.step(g, SlotReturned{Slot: out.Slot, Result: leaseholder.ResultUnused})
		return
	}
	if !s.ignoreLease && !s.now.Before(out.Slot.Until) {
		s.step(g, SlotReturned{Slot: out.Slot, Result: leaseholder.ResultUnused})
		s.enqueue(g, out.Request, true)
		return
	}
	srv := s.servers[out.Slot.ID]
	sent, generation := s.now, g.generation
	if s.hedging != nil {
		s.hedging.dispatch(s, g, out)
	}
	s.schedule(s.delay(g.dataCentre, srv.record.DataCentre), nil, func() {
		if generation == g.generation {
			s.serve(g, srv, out, sent)
		}
	})
}

func (s *simulation) serve(g *gateway, srv *simServer, out Start, sent time.Time) {
	if s.hedging.isCancelled(out) {
		return
	}
	isCold := s.now.Before(srv.coldUntil)
	slots, factor := srv.slots, 1.0
	if isCold {
		slots, factor = 1, 3
	}
	srv.running++
	srv.peak = max(srv.peak, srv.running)
	if srv.running > srv.slots && s.violation == nil {
		s.violation = fmt.Errorf("%d requests at %s with %d slots at %v", srv.running, srv.record.ID, srv.slots, s.now.Sub(s.start))
	}
	if srv.running > slots {
		srv.running--
		s.reply(g, srv, func() { s.shed(g, out) })
		return
	}
	work := time.Duration(s.rng.ExpFloat64() * factor * float64(simServiceTime))
	if s.hedging != nil {
		work = s.hedging.work(out)
	}
	r := &execution{gateway: g, out: out}
	srv.executions[r] = true
	s.schedule(work, nil, func() {
		if srv.executions[r] {
			delete(srv.executions, r)
			srv.running--
			s.reply(g, srv, func() { s.complete(g, out, sent) })
		}
	})
}

// cancel ends the requests of a killed gateway.
func (srv *simServer) cancel(g *gateway) {
	for r := range srv.executions {
		if r.gateway == g {
			delete(srv.executions, r)
			srv.running--
		}
	}
}

func (s *simulation) reply(g *gateway, srv *simServer, action func()) {
	s.schedule(s.delay(g.dataCentre, srv.record.DataCentre), g, action)
}

func (s *simulation) complete(g *gateway, out Start, sent time.Time) {
	if s.hedging.isCancelled(out) {
		return
	}
	if s.hedging != nil {
		s.hedging.finish(s, g, out)
	}
	if r := s.requests[out.Request]; r != nil {
		delete(s.requests, out.Request)
		isInTime := s.now.Before(r.deadline)
		if isInTime && !s.now.Before(s.result.from) && s.now.Before(s.result.to) {
			s.result.completedInTime++
		}
		if s.isMeasured(r) && isInTime {
			s.result.latencies[r.clientAccount] = append(s.result.latencies[r.clientAccount], s.now.Sub(r.arrived))
		} else if s.isMeasured(r) {
			s.result.failed++
		}
	}
	s.step(g, SlotReturned{Slot: out.Slot, Result: leaseholder.ResultAnswered, Latency: s.now.Sub(sent)})
}

// shed retries the request if the retry budget of 10% allows it.
func (s *simulation) shed(g *gateway, out Start) {
	s.step(g, SlotReturned{Slot: out.Slot, Result: leaseholder.ResultShed})
	r := s.requests[out.Request]
	if r == nil {
		return
	}
	if s.isMeasured(r) {
		s.result.shed++
	}
	if r.attempts < 3 && s.result.retryTokens >= 1 {
		s.result.retryTokens--
		r.attempts++
		if s.isMeasured(r) {
			s.result.retries++
		}
		s.schedule(time.Duration(s.rng.IntN(40))*time.Millisecond, g, func() { s.enqueue(g, out.Request, true) })
		return
	}
	delete(s.requests, out.Request)
	if s.isMeasured(r) {
		s.result.failed++
	}
}
