package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// gaveUpExpiry is how long after giving up ownership a former owner vouches
// that it knows all leases in force. It spans a few probes.
const gaveUpExpiry = 2 * time.Second

// isActive reports whether this gateway grants slots of the backend server.
func (m *Machine) isActive(now time.Time, h *host) bool { return h.owned && !m.isWaiting(now, h) }

// giveUp notes that this gateway has been an active owner until now.
func (h *host) giveUp(now time.Time) { h.gaveUp, h.vouchedTo = now, 0 }

// GaveUp returns the backend servers of which this gateway knows all leases in
// force and takes the asking one for the owner. It tells so to one process
// only: the next process of that gateway does not know what the first granted.
func (m *Machine) GaveUp(now time.Time, from string, epoch uint64) []announcer.ID {
	var ids []announcer.ID
	for id, h := range m.hosts {
		if (h.owned && m.mayOwn) || h.gaveUp.IsZero() || now.Sub(h.gaveUp) > gaveUpExpiry || Owner(m.view, h.record) != from {
			continue
		}
		if h.vouchedTo == 0 {
			h.vouchedTo = epoch
		}
		if h.vouchedTo == epoch {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b announcer.ID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}

// Former returns the leases in force of backend servers that this gateway does
// not own any more.
func (m *Machine) Former(now time.Time) []messenger.Leased {
	var former []messenger.Leased
	for id, h := range m.hosts {
		if h.owned && m.mayOwn {
			continue
		}
		for name, a := range h.accounts {
			if a.held > 0 && now.Before(a.until) {
				former = append(former, messenger.Leased{ID: id, Gateway: name, Slots: a.held, Remaining: a.until.Sub(now)})
			}
		}
	}
	slices.SortFunc(former, func(a, b messenger.Leased) int {
		return cmp.Or(cmp.Compare(a.ID.String(), b.ID.String()), cmp.Compare(a.Gateway, b.Gateway))
	})
	return former
}

// Acknowledge takes the answer to a probe of a gateway that takes this one for
// alive into account: it grants nothing of what this gateway owns. Once all
// others of the data centre have answered, and the former owner is one of them,
// all leases in force are known and the owner need not wait for their end.
func (m *Machine) Acknowledge(now time.Time, name string, probeSent time.Time, answer messenger.GrantAnswer) {
	for _, id := range answer.GaveUp {
		if h := m.hosts[id]; h != nil && h.owned && !probeSent.Before(h.since) {
			h.isVouched = true
		}
	}
	for _, l := range answer.Former {
		if h := m.hosts[l.ID]; h != nil && h.owned {
			h.learn(now, l)
		}
	}
	for _, h := range m.hosts {
		if !h.owned || probeSent.Before(h.since) || h.isKnown {
			continue
		}
		h.acknowledged[name] = true
		h.isKnown = h.isVouched && !slices.ContainsFunc(m.view.Gateways, func(g viewer.Gateway) bool {
			return g.DataCentre == h.record.DataCentre && g.Name != m.self && !h.acknowledged[g.Name]
		})
	}
}

// learn counts a lease that a former owner granted. What the holder has
// reported since to this gateway may be older, so the greater counts.
func (h *host) learn(now time.Time, l messenger.Leased) {
	a := h.accounts[l.Gateway]
	if a == nil {
		a = &account{}
		h.accounts[l.Gateway] = a
	}
	if until := now.Add(l.Remaining); until.After(a.until) {
		a.until = until
	}
	if h.isKnown {
		return
	}
	a.held = max(a.held, min(l.Slots, h.record.Slots))
}

// isWaiting reports whether unknown grants of a former owner may still be in
// force.
func (m *Machine) isWaiting(now time.Time, h *host) bool {
	if !m.mayOwn {
		return true
	}
	return !h.isKnown && now.Sub(h.since) < m.settings.Lease+m.settings.Spread
}
