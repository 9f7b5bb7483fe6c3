// Package granter is the owner side of slot leases. The owner gateway of a backend server
// leases its slots to the gateways of the region, such that the sum of all unexpired leases
// never exceeds the limit.
package granter

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/limiter"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
	"github.com/redwingledge/redwingledge/shared/modules/ranker"
)

const (
	// timeSlice is how long a gateway may hold a slot that another gateway waits for.
	timeSlice = 250 * time.Millisecond
	// demandExpiry is the time after its last slot request at which a gateway no longer counts
	// as waiting. Gateways with waiting requests ask every 20 to 40 ms. A slot reserved for a
	// gateway that has got another one in the meantime stays unused for this long.
	demandExpiry = 60 * time.Millisecond
	// freezeThreshold is the time between two calls of Tick above which the process is assumed
	// to have been frozen, since gateways call Tick more often. Another gateway may have become
	// the owner during the freeze.
	freezeThreshold = time.Second
	// graceFactor is the multiple of the typical latency within which requests are expected to
	// end after the lease has expired. With exponential service times, about 1 in 3000 takes
	// longer.
	graceFactor = 8
)

// Settings are the timings of slot leases.
type Settings struct {
	// Lease is the duration of a lease.
	Lease time.Duration
	// ViewSpread is the maximum time by which the views of two gateways may differ. A new owner
	// waits for ViewSpread plus Lease, after which every lease that the former owner granted has
	// expired.
	ViewSpread time.Duration
}

// Machine grants leases on the backend servers that this gateway owns. It is not safe for
// concurrent use.
type Machine struct {
	self             string
	settings         Settings
	servers          map[announcer.ID]*server
	typicalLatencies map[string]time.Duration
	sequences        map[string]sequence
	lastTick         time.Time
	mayOwn           bool
	view             viewer.View
}

// sequence identifies the last request of a gateway's process.
type sequence struct {
	epoch  uint64
	number uint64
}

// server is a backend server of the view.
type server struct {
	record     announcer.Record
	accepts    bool
	limiter    limiter.Limiter
	owned      bool
	ownedSince time.Time
	// acknowledged are the other gateways of the data centre that have answered a probe since
	// this gateway became the owner. They consider this gateway live and grant no slots of the
	// backend server.
	acknowledged map[string]bool
	// hasFormerLeases is set when the former owner has reported all its leases.
	hasFormerLeases bool
	// hasAllLeases is set when all unexpired leases are known.
	hasAllLeases bool
	// relinquished is when this gateway last stopped granting as the owner. relinquishedTo is
	// the epoch of the process of the new owner that has been told so.
	relinquished   time.Time
	relinquishedTo uint64
	allocations    map[string]*allocation
}

// allocation is the part of the slots of a backend server that a gateway may be using.
type allocation struct {
	held      int
	until     time.Time
	heldSince time.Time
	// unmet is the number of slots that the gateway still wanted at its last request, which was
	// at requestedAt.
	unmet       int
	requestedAt time.Time
	// total is the number of slots of the whole service that the gateway holds.
	total int
}

// New returns a Machine that owns no backend server.
func New(self string, settings Settings) *Machine {
	return &Machine{
		self: self, settings: settings,
		servers:          make(map[announcer.ID]*server),
		typicalLatencies: make(map[string]time.Duration),
		sequences:        make(map[string]sequence),
	}
}

// Owner returns the owner gateway of a backend server: the first in rendezvous order among the
// live gateways of its data centre. It returns "" if there is none.
func Owner(view viewer.View, record announcer.Record) string {
	var names []string
	for _, g := range view.Gateways {
		if !g.Dead && g.DataCentre == record.DataCentre {
			names = append(names, g.Name)
		}
	}
	return ranker.First(names, hasher.String(record.String()))
}

// SetView applies a new view.
func (m *Machine) SetView(now time.Time, view viewer.View) {
	m.Tick(now)
	m.view = view
	seen := make(map[announcer.ID]bool, len(view.Backends))
	for _, r := range view.Backends {
		seen[r.ID] = true
		srv := m.servers[r.ID]
		if srv == nil {
			srv = &server{allocations: make(map[string]*allocation)}
			m.servers[r.ID] = srv
		}
		if srv.record.Incarnation != r.Incarnation || srv.record.Slots != r.Slots || srv.record.Address != r.Address {
			srv.limiter = limiter.New(r.Slots)
		}
		srv.record, srv.accepts = r, view.Accepts(r)
		owned := Owner(view, r) == m.self
		if owned && !srv.owned {
			srv.resetOwnership(now)
		}
		if !owned && m.isActive(now, srv) {
			srv.relinquish(now)
		}
		srv.owned = owned
	}
	for id := range m.servers {
		if !seen[id] {
			delete(m.servers, id)
		}
	}
}

// Tick detects freezes of the process. It must be called at least every half second.
func (m *Machine) Tick(now time.Time) {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > freezeThreshold {
		m.resetOwnerships(now)
	}
	m.lastTick = now
}

// SetMayOwn sets whether this gateway may act as an owner. When it may again, other gateways
// may have granted leases in the meantime, so it waits for them as a new owner does.
func (m *Machine) SetMayOwn(now time.Time, mayOwn bool) {
	if mayOwn && !m.mayOwn {
		m.resetOwnerships(now)
	}
	for _, srv := range m.servers {
		if !mayOwn && m.isActive(now, srv) {
			srv.relinquish(now)
		}
	}
	m.mayOwn = mayOwn
}

func (m *Machine) resetOwnerships(now time.Time) {
	for _, srv := range m.servers {
		srv.resetOwnership(now)
	}
}

// resetOwnership makes the owner wait until the leases of former owners are known or have
// expired.
func (srv *server) resetOwnership(now time.Time) {
	srv.ownedSince, srv.hasAllLeases, srv.hasFormerLeases, srv.acknowledged = now, false, false, make(map[string]bool)
}

// Limit returns the concurrency limit of an owned backend server, for counters.
func (m *Machine) Limit(now time.Time, id announcer.ID) int {
	if srv := m.servers[id]; srv != nil && srv.owned {
		return srv.limiter.Limit(now)
	}
	return 0
}

// Leased returns the number of slots in all unexpired leases of a backend server.
func (m *Machine) Leased(now time.Time, id announcer.ID) int {
	sum := 0
	if srv := m.servers[id]; srv != nil {
		for _, a := range srv.allocations {
			if now.Before(a.until) {
				sum += a.held
			}
		}
	}
	return sum
}

// Owned returns the IDs of the backend servers that this gateway owns, sorted.
func (m *Machine) Owned() []announcer.ID {
	var ids []announcer.ID
	for id, srv := range m.servers {
		if srv.owned {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b announcer.ID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	return ids
}
