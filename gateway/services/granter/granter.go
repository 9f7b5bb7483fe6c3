// Package granter is the owner side of slot leases: the owner gateway of a
// backend server grants leased slots to the gateways of the region, such that
// the sum of all leases that have not ended never exceeds the limit.
package granter

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/limiter"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
	"github.com/redwingledge/redwingledge/shared/modules/ranker"
)

const (
	// turn is how long a gateway may keep a slot that another gateway waits for.
	turn = 250 * time.Millisecond
	// wantExpiry is the time after which a gateway that no longer asks does not
	// count as waiting. Gateways with work ask every 20 to 40 ms; a slot that is
	// kept free for one that got another meanwhile is wasted for this long.
	wantExpiry = 60 * time.Millisecond
	// freezeGap is the time between two calls above which the process is taken
	// to have been frozen; gateways call Tick more often. The membership may
	// have made another gateway the owner meanwhile.
	freezeGap = time.Second
	// graceFactor is the multiple of the usual latency that requests are given
	// to end after a lease; about 1 in 3000 takes longer if service times are
	// exponential.
	graceFactor = 8
)

// Settings are the timings of slot leases.
type Settings struct {
	// Lease is the duration of a grant.
	Lease time.Duration
	// Spread is the longest time that views of the gateways may differ. A new
	// owner waits for Spread and Lease, so that every grant of the former owner
	// has ended.
	Spread time.Duration
}

// Machine decides the grants of the backend servers that this gateway owns. It
// is not safe for concurrent use.
type Machine struct {
	self      string
	settings  Settings
	hosts     map[announcer.ID]*host
	usual     map[string]time.Duration
	sequences map[string]sequence
	last      time.Time
	mayOwn    bool
	view      viewer.View
}

// sequence is the last request of a gateway's process.
type sequence struct {
	epoch  uint64
	number uint64
}

type host struct {
	record  announcer.Record
	accepts bool
	limiter limiter.Limiter
	owned   bool
	since   time.Time
	// acknowledged are the other gateways of the data centre that have taken
	// this one for alive since it became the owner; they grant nothing.
	acknowledged map[string]bool
	// isVouched is set when the former owner has told all its leases.
	isVouched bool
	// isKnown is set when all leases in force are known.
	isKnown bool
	// gaveUp is when this gateway was last an active owner, and vouchedTo the
	// process that it has told so.
	gaveUp    time.Time
	vouchedTo uint64
	accounts  map[string]*account
}

// account is what a gateway may be using of one backend server.
type account struct {
	held      int
	until     time.Time
	heldSince time.Time
	want      int
	wantSeen  time.Time
	total     int
}

// New returns a Machine that owns nothing.
func New(self string, settings Settings) *Machine {
	return &Machine{
		self: self, settings: settings,
		hosts:     make(map[announcer.ID]*host),
		usual:     make(map[string]time.Duration),
		sequences: make(map[string]sequence),
	}
}

// Owner returns the owner gateway of a backend server: the first in rendezvous
// order among the live gateways of its data centre. It returns "" if there is
// none.
func Owner(view viewer.View, record announcer.Record) string {
	var names []string
	for _, g := range view.Gateways {
		if !g.Dead && g.DataCentre == record.DataCentre {
			names = append(names, g.Name)
		}
	}
	return ranker.First(names, hasher.String(record.String()))
}

// SetView takes a new view into account.
func (m *Machine) SetView(now time.Time, view viewer.View) {
	m.Tick(now)
	m.view = view
	seen := make(map[announcer.ID]bool, len(view.Backends))
	for _, r := range view.Backends {
		seen[r.ID] = true
		h := m.hosts[r.ID]
		if h == nil {
			h = &host{accounts: make(map[string]*account)}
			m.hosts[r.ID] = h
		}
		if h.record.Incarnation != r.Incarnation || h.record.Slots != r.Slots || h.record.Address != r.Address {
			h.limiter = limiter.New(r.Slots)
		}
		h.record, h.accepts = r, view.Accepts(r)
		owned := Owner(view, r) == m.self
		if owned && !h.owned {
			h.restart(now)
		}
		if !owned && m.isActive(now, h) {
			h.giveUp(now)
		}
		h.owned = owned
	}
	for id := range m.hosts {
		if !seen[id] {
			delete(m.hosts, id)
		}
	}
}

// Tick must be called at least every half second.
func (m *Machine) Tick(now time.Time) {
	if !m.last.IsZero() && now.Sub(m.last) > freezeGap {
		m.restartAll(now)
	}
	m.last = now
}

// SetMayOwn tells whether this gateway may act as an owner. When it may again,
// others may have granted in the meantime.
func (m *Machine) SetMayOwn(now time.Time, mayOwn bool) {
	if mayOwn && !m.mayOwn {
		m.restartAll(now)
	}
	for _, h := range m.hosts {
		if !mayOwn && m.isActive(now, h) {
			h.giveUp(now)
		}
	}
	m.mayOwn = mayOwn
}

func (m *Machine) restartAll(now time.Time) {
	for _, h := range m.hosts {
		h.restart(now)
	}
}

// restart makes the owner wait for the grants of former owners to end.
func (h *host) restart(now time.Time) {
	h.since, h.isKnown, h.isVouched, h.acknowledged = now, false, false, make(map[string]bool)
}

// Limit returns the limit of an owned backend server, for counters.
func (m *Machine) Limit(now time.Time, id announcer.ID) int {
	if h := m.hosts[id]; h != nil && h.owned {
		return h.limiter.Limit(now)
	}
	return 0
}

// Grant answers a request for slots.
func (m *Machine) Grant(now time.Time, req messenger.GrantRequest) messenger.GrantAnswer {
	m.Tick(now)
	if last := m.sequences[req.From]; last.epoch == req.Epoch && req.Sequence <= last.number {
		return messenger.GrantAnswer{Refused: true}
	}
	m.sequences[req.From] = sequence{epoch: req.Epoch, number: req.Sequence}
	answer := messenger.GrantAnswer{Grants: make([]messenger.Grant, 0, len(req.Demands))}
	for _, d := range req.Demands {
		if h := m.hosts[d.ID]; h != nil && h.owned {
			m.observe(now, h, d.Report)
			answer.Grants = append(answer.Grants, m.grant(now, h, req.From, d))
		}
	}
	return answer
}

// grace is how long slots count as leased after their lease has ended, because
// a request that was dispatched before the end may still run.
func (m *Machine) grace(h *host) time.Duration {
	return min(graceFactor*m.usual[h.record.Service], m.settings.Lease)
}

func (m *Machine) observe(now time.Time, h *host, report messenger.Report) {
	usual := m.usual[h.record.Service]
	h.limiter.Observe(now, report, usual)
	if report.Answers == 0 {
		return
	}
	mean := report.Latency / time.Duration(report.Answers)
	if usual == 0 {
		m.usual[h.record.Service] = mean
		return
	}
	// A cold backend server must not raise what counts as usual by much.
	m.usual[h.record.Service] = usual + (min(mean, 2*usual)-usual)/64
}

func (m *Machine) grant(now time.Time, h *host, from string, d messenger.Demand) messenger.Grant {
	a := h.accounts[from]
	if a == nil {
		a = &account{}
		h.accounts[from] = a
	}
	held := max(0, min(d.Held, h.record.Slots))
	if held == 0 || a.held == 0 || a.until.Before(now) {
		a.heldSince = now
	}
	a.held, a.until = held, now.Add(m.settings.Lease+m.grace(h))
	if m.isWaiting(now, h) {
		return messenger.Grant{ID: d.ID, Waiting: true}
	}
	a.want, a.wantSeen, a.total = max(0, d.Want-held), now, d.Total
	others, before, poorer := m.others(now, h, from)
	limit := 0
	if h.accepts {
		limit = h.limiter.Limit(now)
	}
	free := limit - others - held
	slots := min(held, d.Want)
	switch {
	case free < 0:
		slots = max(0, min(slots, limit-others))
	case d.Want > held && free > before:
		slots = min(d.Want, held+free-before)
	case poorer && free == 0 && slots > 0 && now.Sub(a.heldSince) >= turn:
		slots--
		a.heldSince = now
	}
	a.want = max(0, d.Want-slots)
	a.held = max(held, slots)
	return messenger.Grant{ID: d.ID, Slots: slots, Lease: m.settings.Lease}
}

// others returns the slots leased to other gateways, the number of gateways
// that wait and have fewer slots, and whether one of them has so few that this
// gateway should pass a slot on.
func (m *Machine) others(now time.Time, h *host, from string) (held, before int, poorer bool) {
	own := h.accounts[from].total
	for name, a := range h.accounts {
		if name == from {
			continue
		}
		isLeased := now.Before(a.until)
		if isLeased {
			held += a.held
		}
		if a.want == 0 || now.Sub(a.wantSeen) > wantExpiry {
			if !isLeased {
				delete(h.accounts, name)
			}
			continue
		}
		if a.total < own {
			before++
		}
		if own >= a.total+2 || (a.total == 0 && own > 0) {
			poorer = true
		}
	}
	return held, before, poorer
}

// Leased returns the sum of all leases that have not ended.
func (m *Machine) Leased(now time.Time, id announcer.ID) int {
	sum := 0
	if h := m.hosts[id]; h != nil {
		for _, a := range h.accounts {
			if now.Before(a.until) {
				sum += a.held
			}
		}
	}
	return sum
}

// Owned returns the backend servers that this gateway owns, in order.
func (m *Machine) Owned() []announcer.ID {
	var ids []announcer.ID
	for id, h := range m.hosts {
		if h.owned {
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
