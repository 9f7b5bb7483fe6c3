package granter

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
)

// Grant answers a slot request.
func (m *Machine) Grant(now time.Time, req messenger.GrantRequest) messenger.GrantAnswer {
	m.Tick(now)
	if last := m.sequences[req.From]; last.epoch == req.Epoch && req.Sequence <= last.number {
		return messenger.GrantAnswer{Refused: true}
	}
	m.sequences[req.From] = sequence{epoch: req.Epoch, number: req.Sequence}
	answer := messenger.GrantAnswer{Grants: make([]messenger.Grant, 0, len(req.Demands))}
	for _, d := range req.Demands {
		if srv := m.servers[d.ID]; srv != nil && srv.owned {
			m.observe(now, srv, d.Report)
			answer.Grants = append(answer.Grants, m.grant(now, srv, req.From, d))
		}
	}
	return answer
}

// grace is how long slots count as leased after their lease has expired, because a request that
// was dispatched before the expiry may still run.
func (m *Machine) grace(srv *server) time.Duration {
	return min(graceFactor*m.typicalLatencies[srv.record.Service], m.settings.Lease)
}

func (m *Machine) observe(now time.Time, srv *server, report messenger.Report) {
	typical := m.typicalLatencies[srv.record.Service]
	srv.limiter.Observe(now, report, typical)
	if report.Answers == 0 {
		return
	}
	mean := report.Latency / time.Duration(report.Answers)
	if typical == 0 {
		m.typicalLatencies[srv.record.Service] = mean
		return
	}
	// The cap keeps a backend server in cold start from raising the typical latency by much.
	m.typicalLatencies[srv.record.Service] = typical + (min(mean, 4*typical)-typical)/64
}

func (m *Machine) grant(now time.Time, srv *server, from string, d messenger.Demand) messenger.Grant {
	a := srv.allocations[from]
	if a == nil {
		a = &allocation{}
		srv.allocations[from] = a
	}
	held := max(0, min(d.Held, srv.record.Slots))
	if held == 0 || a.held == 0 || a.until.Before(now) {
		a.heldSince = now
	}
	a.held, a.until = held, now.Add(m.settings.Lease+m.grace(srv))
	if m.mustWaitToGrant(now, srv) {
		return messenger.Grant{ID: d.ID, Waiting: true}
	}
	a.unmet, a.requestedAt, a.total = max(0, d.Wanted-held), now, d.Total
	others, waitingBefore, shouldYield, contended := m.countOthers(now, srv, from)
	limit := 0
	if srv.accepts {
		limit = srv.limiter.Limit(now)
	}
	if d.Spare && contended {
		d.Wanted = min(d.Wanted, held)
	}
	free := limit - others - held
	slots := min(held, d.Wanted)
	switch {
	case free < 0:
		slots = max(0, min(slots, limit-others))
	case d.Wanted > held && free > waitingBefore:
		slots = min(d.Wanted, held+free-waitingBefore)
	case shouldYield && free == 0 && slots > 0 && now.Sub(a.heldSince) >= timeSlice:
		slots--
		a.heldSince = now
	}
	a.unmet = max(0, d.Wanted-slots)
	if d.Spare {
		// Second attempts do not wait, so no other gateway yields a slot to them.
		a.unmet = 0
	}
	a.held = max(held, slots)
	return messenger.Grant{ID: d.ID, Slots: slots, Lease: m.settings.Lease, Contended: contended}
}

// countOthers returns the number of slots leased to other gateways, the number of waiting
// gateways that hold fewer slots of the service, whether this gateway should yield a slot to
// one of them, and whether any other gateway waits.
func (m *Machine) countOthers(now time.Time, srv *server, from string) (held, waitingBefore int, shouldYield, contended bool) {
	own := srv.allocations[from].total
	for name, a := range srv.allocations {
		if name == from {
			continue
		}
		isLeased := now.Before(a.until)
		if isLeased {
			held += a.held
		}
		if a.unmet == 0 || now.Sub(a.requestedAt) > demandExpiry {
			if !isLeased {
				delete(srv.allocations, name)
			}
			continue
		}
		contended = true
		if a.total < own {
			waitingBefore++
		}
		// A slot held by a gateway in another data centre is idle for a round trip between
		// requests, so a gateway in the data centre of the backend server needs to hold only one
		// slot fewer. So does a gateway without any slot. Otherwise the difference must be at
		// least 2: a difference of 1 after the exchange is not enough to take the slot back.
		isNearer := m.isLocal(name, srv) && !m.isLocal(from, srv)
		if own >= a.total+2 || (a.total == 0 && own > 0) || (isNearer && own > a.total) {
			shouldYield = true
		}
	}
	return held, waitingBefore, shouldYield, contended
}

func (m *Machine) isLocal(gateway string, srv *server) bool {
	g, ok := m.view.GetGateway(gateway)
	return ok && g.DataCentre == srv.record.DataCentre
}
