package granter

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// relinquishExpiry is how long after relinquishing ownership a former owner confirms that it
// knows all unexpired leases. It spans a few probes.
const relinquishExpiry = 2 * time.Second

// isActive reports whether this gateway grants slots of the backend server.
func (m *Machine) isActive(now time.Time, srv *server) bool {
	return srv.owned && !m.mustWaitToGrant(now, srv)
}

// relinquish records that this gateway stops granting slots of the backend server.
func (srv *server) relinquish(now time.Time) { srv.relinquished, srv.relinquishedTo = now, 0 }

// Relinquished returns the backend servers whose ownership passed from this gateway to the
// asking one and of which this gateway knows all unexpired leases. It reports them to one
// process of the new owner only, since a restarted process does not know what its predecessor
// granted.
func (m *Machine) Relinquished(now time.Time, from string, epoch uint64) []announcer.ID {
	var ids []announcer.ID
	for id, srv := range m.servers {
		if (srv.owned && m.mayOwn) || srv.relinquished.IsZero() || now.Sub(srv.relinquished) > relinquishExpiry || Owner(m.view, srv.record) != from {
			continue
		}
		if srv.relinquishedTo == 0 {
			srv.relinquishedTo = epoch
		}
		if srv.relinquishedTo == epoch {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b announcer.ID) int { return cmp.Compare(a.String(), b.String()) })
	return ids
}

// FormerLeases returns the unexpired leases on backend servers that this gateway no longer
// owns.
func (m *Machine) FormerLeases(now time.Time) []messenger.SlotLease {
	var former []messenger.SlotLease
	for id, srv := range m.servers {
		if srv.owned && m.mayOwn {
			continue
		}
		for name, a := range srv.allocations {
			if a.held > 0 && now.Before(a.until) {
				former = append(former, messenger.SlotLease{ID: id, Gateway: name, Slots: a.held, Remaining: a.until.Sub(now)})
			}
		}
	}
	slices.SortFunc(former, func(a, b messenger.SlotLease) int {
		return cmp.Or(cmp.Compare(a.ID.String(), b.ID.String()), cmp.Compare(a.Gateway, b.Gateway))
	})
	return former
}

// Acknowledge processes the answer to a probe from a gateway that considers this one live, and
// so grants no slots of the backend servers that this one owns. Once all other gateways of the
// data centre have answered, the former owner among them, all unexpired leases are known and
// the owner need not wait until they expire.
func (m *Machine) Acknowledge(now time.Time, name string, probeSent time.Time, answer messenger.GrantAnswer) {
	for _, id := range answer.Relinquished {
		if srv := m.servers[id]; srv != nil && srv.owned && !probeSent.Before(srv.ownedSince) {
			srv.hasFormerLeases = true
		}
	}
	for _, l := range answer.FormerLeases {
		if srv := m.servers[l.ID]; srv != nil && srv.owned {
			srv.addFormerLease(now, l)
		}
	}
	for _, srv := range m.servers {
		if !srv.owned || probeSent.Before(srv.ownedSince) || srv.hasAllLeases {
			continue
		}
		srv.acknowledged[name] = true
		srv.hasAllLeases = srv.hasFormerLeases && !slices.ContainsFunc(m.view.Gateways, func(g viewer.Gateway) bool {
			return g.DataCentre == srv.record.DataCentre && g.Name != m.self && !srv.acknowledged[g.Name]
		})
	}
}

// addFormerLease counts a lease that a former owner granted. What the holder has reported to
// this gateway since then may be older, so the greater of the two counts.
func (srv *server) addFormerLease(now time.Time, l messenger.SlotLease) {
	a := srv.allocations[l.Gateway]
	if a == nil {
		a = &allocation{}
		srv.allocations[l.Gateway] = a
	}
	if until := now.Add(l.Remaining); until.After(a.until) {
		a.until = until
	}
	if srv.hasAllLeases {
		return
	}
	a.held = max(a.held, min(l.Slots, srv.record.Slots))
}

// mustWaitToGrant reports whether this gateway must not grant slots, because unknown leases of a
// former owner may not have expired or because it may not act as an owner.
func (m *Machine) mustWaitToGrant(now time.Time, srv *server) bool {
	if !m.mayOwn {
		return true
	}
	return !srv.hasAllLeases && now.Sub(srv.ownedSince) < m.settings.Lease+m.settings.ViewSpread
}
