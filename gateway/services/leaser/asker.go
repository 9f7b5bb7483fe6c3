package leaser

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Ask is a request to send to an owner, which may be this gateway itself.
type Ask struct {
	To      string
	Request messenger.GrantRequest
}

// Asks returns the requests that are due, at most one for each owner. The need
// is the number of requests of each service that wait for a slot.
func (l *Leases) Asks(now time.Time, need map[string]int) []Ask {
	services := make([]string, 0, len(l.order))
	for service := range l.order {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		l.chooseMore(now, service, need[service])
	}
	demands := make(map[string][]messenger.Demand)
	var owners []string
	for _, service := range services {
		total := 0
		for _, h := range l.order[service] {
			total += l.held(now, h)
		}
		for _, h := range l.order[service] {
			d, due := l.demand(now, h, need[service])
			d.Total = total
			if !due || l.isOutstanding(now, h.owner) {
				continue
			}
			if _, ok := demands[h.owner]; !ok {
				owners = append(owners, h.owner)
			}
			h.report, h.urgent, h.renewed = messenger.Report{}, false, now
			h.asked, h.account, h.accountUntil = d.Held, max(d.Held, d.Want), now.Add(l.lease)
			demands[h.owner] = append(demands[h.owner], d)
		}
	}
	slices.Sort(owners)
	asks := make([]Ask, 0, len(owners))
	for _, name := range owners {
		l.sequence++
		l.owners[name] = &owner{outstanding: true, sequence: l.sequence, sentAt: now}
		asks = append(asks, Ask{To: name, Request: messenger.GrantRequest{From: l.self, Epoch: l.epoch, Sequence: l.sequence, Demands: demands[name]}})
	}
	return asks
}

func (l *Leases) isOutstanding(now time.Time, name string) bool {
	o := l.owners[name]
	return name == "" || (o != nil && o.outstanding && now.Sub(o.sentAt) < answerTimeout)
}

// chooseMore marks the backend servers to ask for one more slot: as many as
// requests wait, local ones first, starting after the last one marked.
func (l *Leases) chooseMore(now time.Time, service string, need int) {
	hosts := l.order[service]
	free := 0
	for _, h := range hosts {
		h.wantMore = false
		if h.accepts && now.Before(h.until) {
			free += max(0, h.granted-h.inUse)
		}
	}
	need -= free
	for _, local := range []bool{true, false} {
		start := l.next[service]
		for i := range hosts {
			at := (start + i) % len(hosts)
			h := hosts[at]
			if need <= 0 {
				return
			}
			if h.local != local || !h.accepts || h.owner == "" || now.Before(h.nextAsk) || l.held(now, h) >= h.record.Slots {
				continue
			}
			h.wantMore = true
			l.next[service] = at + 1
			need--
		}
	}
}

// held is what this gateway may be using: the owner must count it.
func (l *Leases) held(now time.Time, h *host) int {
	if now.Before(h.until) {
		return max(h.granted, h.inUse)
	}
	return h.inUse
}

func (l *Leases) demand(now time.Time, h *host, need int) (messenger.Demand, bool) {
	held := l.held(now, h)
	d := messenger.Demand{ID: h.record.ID, Held: held, Want: held, Report: h.report}
	idle := held > h.inUse && now.Sub(h.idleSince) >= idleReturn && need == 0
	switch {
	case !h.accepts || idle:
		d.Want = h.inUse
	case h.urgent:
		d.Want = min(held, h.granted)
	case h.wantMore:
		d.Want = held + 1
	}
	// The owner can grant a slot to others only once it knows that it is free.
	isFreed := held < h.account && now.Before(h.accountUntil)
	due := d.Want != held || h.urgent || isFreed || (held > 0 && now.Sub(h.renewed) >= min(holdRenewal, l.lease/4))
	return d, due && (isFreed || held > 0 || d.Want > 0 || h.report != messenger.Report{})
}

// Granted takes an owner's answer into account. Answers to any but the newest
// request are ignored, and so are late ones, because the owner no longer counts
// what they grant once the next request reports less.
func (l *Leases) Granted(now time.Time, from string, sequence uint64, answer messenger.GrantAnswer) {
	o := l.owners[from]
	if o == nil || !o.outstanding || o.sequence != sequence {
		return
	}
	o.outstanding = false
	if now.Sub(o.sentAt) >= answerTimeout || answer.Refused {
		return
	}
	for _, g := range answer.Grants {
		if h := l.hosts[g.ID]; h != nil && h.owner == from {
			l.apply(now, o.sentAt, h, g)
		}
	}
}

func (l *Leases) apply(now, sentAt time.Time, h *host, g messenger.Grant) {
	if h.wantMore && (g.Waiting || g.Slots <= h.inUse) {
		h.nextAsk = now.Add(l.pause())
	}
	if g.Waiting {
		return
	}
	if g.Slots > h.granted {
		h.idleSince = now
	}
	h.granted = g.Slots
	h.account = max(h.asked, g.Slots)
	if h.urgent {
		// A shed request since the question weighs more than the answer.
		h.granted = min(h.granted, h.inUse)
	}
	h.until = sentAt.Add(g.Lease)
}

// Failed notes that a request to an owner got no answer.
func (l *Leases) Failed(now time.Time, from string, sequence uint64, ids []announcer.ID) {
	o := l.owners[from]
	if o == nil || o.sequence != sequence {
		return
	}
	o.outstanding = false
	for _, id := range ids {
		if h := l.hosts[id]; h != nil {
			h.nextAsk = now.Add(l.pause())
		}
	}
}
