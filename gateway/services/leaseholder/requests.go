package leaseholder

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// OutgoingRequest is a slot request to an owner, which may be this gateway itself.
type OutgoingRequest struct {
	To      string
	Request messenger.GrantRequest
}

// DueRequests returns the slot requests that are due, at most one for each owner. The argument
// waiting is the number of requests of each service that wait for a slot, and spare is the number
// of their second attempts that do. Slots for second attempts are only requested for services
// without waiting requests.
func (l *Leases) DueRequests(now time.Time, waiting, spare map[string]int) []OutgoingRequest {
	services := make([]string, 0, len(l.byService))
	for service := range l.byService {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		l.chooseServersToAsk(now, service, waiting[service])
		if waiting[service] == 0 {
			l.chooseSpareServers(now, service, spare[service])
		}
	}
	demands := make(map[string][]messenger.Demand)
	var owners []string
	for _, service := range services {
		total := 0
		for _, srv := range l.byService[service] {
			total += l.held(now, srv)
		}
		for _, srv := range l.byService[service] {
			d, due := l.demand(now, srv, waiting[service])
			d.Total, d.Spare = total, srv.wantsSpare
			if !due || l.isOutstanding(now, srv.owner) {
				continue
			}
			if _, ok := demands[srv.owner]; !ok {
				owners = append(owners, srv.owner)
			}
			srv.report, srv.isUrgent, srv.renewed = messenger.Report{}, false, now
			srv.reportedHeld, srv.ownerCount, srv.ownerCountUntil = d.Held, max(d.Held, d.Wanted), now.Add(l.lease)
			demands[srv.owner] = append(demands[srv.owner], d)
		}
	}
	slices.Sort(owners)
	requests := make([]OutgoingRequest, 0, len(owners))
	for _, name := range owners {
		l.sequence++
		l.owners[name] = &owner{outstanding: true, sequence: l.sequence, sentAt: now}
		requests = append(requests, OutgoingRequest{To: name, Request: messenger.GrantRequest{From: l.self, Epoch: l.epoch, Sequence: l.sequence, Demands: demands[name]}})
	}
	return requests
}

func (l *Leases) isOutstanding(now time.Time, name string) bool {
	o := l.owners[name]
	return name == "" || (o != nil && o.outstanding && now.Sub(o.sentAt) < answerTimeout)
}

// chooseServersToAsk marks the backend servers to ask for one more slot: as many as requests
// wait, those in the own data centre first, starting after the last one marked.
func (l *Leases) chooseServersToAsk(now time.Time, service string, need int) {
	servers := l.byService[service]
	free := 0
	for _, srv := range servers {
		srv.wantsMore, srv.wantsSpare = false, false
		if srv.accepts && now.Before(srv.leasedUntil) {
			free += max(0, srv.leased-srv.inUse)
		}
	}
	l.markServers(service, need-free, func(srv *server) bool { return l.canAsk(now, srv) })
}

// markServers marks up to need backend servers that can be asked, those in the own data centre
// first, starting after the last one marked.
func (l *Leases) markServers(service string, need int, isAskable func(*server) bool) {
	servers := l.byService[service]
	for _, local := range []bool{true, false} {
		start := l.nextIndex[service]
		for i := range servers {
			at := (start + i) % len(servers)
			srv := servers[at]
			if need <= 0 {
				return
			}
			if srv.local != local || !isAskable(srv) {
				continue
			}
			srv.wantsMore = true
			l.nextIndex[service] = at + 1
			need--
		}
	}
}

// canAsk reports whether the owner of a backend server may be asked for another slot now.
func (l *Leases) canAsk(now time.Time, srv *server) bool {
	return srv.accepts && srv.owner != "" && !now.Before(srv.nextRequest) && l.held(now, srv) < srv.record.Slots
}

// chooseSpareServers marks the backend servers to ask for one slot for a second attempt, like
// chooseServersToAsk. It leaves out those that this gateway is using, since the first attempt runs
// at one of them.
func (l *Leases) chooseSpareServers(now time.Time, service string, need int) {
	l.markServers(service, need, func(srv *server) bool {
		isAskable := srv.inUse == 0 && l.canAsk(now, srv) && !l.isOutstanding(now, srv.owner)
		srv.wantsSpare = isAskable
		return isAskable
	})
}

// held returns the number of slots that this gateway may be using and that the owner must
// count.
func (l *Leases) held(now time.Time, srv *server) int {
	if now.Before(srv.leasedUntil) {
		return max(srv.leased, srv.inUse)
	}
	return srv.inUse
}

func (l *Leases) demand(now time.Time, srv *server, waiting int) (messenger.Demand, bool) {
	held := l.held(now, srv)
	d := messenger.Demand{ID: srv.record.ID, Held: held, Wanted: held, Report: srv.report}
	idle := held > srv.inUse && now.Sub(srv.idleSince) >= idleTimeout && waiting == 0
	switch {
	case !srv.accepts || idle:
		d.Wanted = srv.inUse
	case srv.isUrgent:
		d.Wanted = min(held, srv.leased)
	case srv.wantsMore:
		d.Wanted = held + 1
	}
	// The owner can grant a slot to another gateway only once it knows that the slot is free.
	isFreed := held < srv.ownerCount && now.Before(srv.ownerCountUntil)
	due := d.Wanted != held || srv.isUrgent || isFreed || (held > 0 && now.Sub(srv.renewed) >= min(renewalInterval, l.lease/4))
	return d, due && (isFreed || held > 0 || d.Wanted > 0 || srv.report != messenger.Report{})
}

// HandleAnswer processes an owner's answer. It ignores an answer to any but the newest request
// and a late answer, because the owner no longer counts the slots granted in it once the next
// request reports fewer.
func (l *Leases) HandleAnswer(now time.Time, from string, sequence uint64, answer messenger.GrantAnswer) {
	o := l.owners[from]
	if o == nil || !o.outstanding || o.sequence != sequence {
		return
	}
	o.outstanding = false
	if now.Sub(o.sentAt) >= answerTimeout || answer.Refused {
		return
	}
	for _, g := range answer.Grants {
		if srv := l.servers[g.ID]; srv != nil && srv.owner == from {
			l.apply(now, o.sentAt, srv, g)
		}
	}
}

func (l *Leases) apply(now, sentAt time.Time, srv *server, g messenger.Grant) {
	if g.Contended {
		l.contendedUntil[srv.record.ID.Service] = now.Add(contentionTime)
	}
	if srv.wantsMore && (g.Waiting || g.Slots <= srv.inUse) {
		srv.nextRequest = now.Add(l.retryDelay())
	}
	if g.Waiting {
		return
	}
	if g.Slots > srv.leased {
		srv.idleSince = now
	}
	srv.leased = g.Slots
	srv.ownerCount = max(srv.reportedHeld, g.Slots)
	if srv.isUrgent {
		// A shed or failed request since this slot request was sent takes precedence over the
		// answer.
		srv.leased = min(srv.leased, srv.inUse)
	}
	srv.leasedUntil = sentAt.Add(g.Lease)
}

// HandleNoAnswer records that a slot request to an owner was not answered.
func (l *Leases) HandleNoAnswer(now time.Time, from string, sequence uint64, ids []announcer.ID) {
	o := l.owners[from]
	if o == nil || o.sequence != sequence {
		return
	}
	o.outstanding = false
	for _, id := range ids {
		if srv := l.servers[id]; srv != nil {
			srv.nextRequest = now.Add(l.retryDelay())
		}
	}
}
