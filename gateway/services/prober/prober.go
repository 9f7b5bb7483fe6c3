// Package prober decides which gateways are alive, for the choice of the owners
// of backend servers. It must never let two gateways own one backend server,
// also when the network between gateways is cut.
package prober

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

const (
	// Period is the time between two probes of one peer.
	Period = 500 * time.Millisecond
	// DeadAfter is the silence after which a peer counts as unheard. It bounds
	// the time for which a gateway that was cut off still grants slots.
	DeadAfter = 2 * time.Second
	// freezeGap is the time between two ticks above which this process was
	// frozen. The silence during a freeze says nothing about peers.
	freezeGap = time.Second
)

// Machine keeps what this gateway has heard of its peers. Not safe for
// concurrent use.
//
// A peer counts as dead only if this gateway hears a majority of all gateways
// and none of them hears the peer. A gateway may act as an owner only if it
// hears a majority of all gateways or all others of its data centre. Two
// majorities have a gateway in common, so a peer that is taken for dead hears
// no majority; and it does not hear the one that takes it for dead, so if both
// are in one data centre, it does not hear all others there.
type Machine struct {
	self      string
	gateways  []viewer.Gateway
	peers     map[string]*peer
	last      time.Time
	isLeaving bool
}

type peer struct {
	sent     time.Time
	answered time.Time
	leaving  bool
	// unheard are the gateways that the peer does not hear.
	unheard []string
}

// New returns a Machine without peers.
func New(self string) *Machine { return &Machine{self: self, peers: make(map[string]*peer)} }

// SetGateways takes a new gateway list into account.
func (m *Machine) SetGateways(now time.Time, gateways []viewer.Gateway) {
	m.gateways = gateways
	for _, g := range gateways {
		if g.Name != m.self && m.peers[g.Name] == nil {
			// A new peer is taken to be alive until it has had time to answer.
			m.peers[g.Name] = &peer{answered: now}
		}
	}
	for name := range m.peers {
		if !slices.ContainsFunc(gateways, func(g viewer.Gateway) bool { return g.Name == name }) {
			delete(m.peers, name)
		}
	}
}

// Leave makes this gateway give up ownership before a stop.
func (m *Machine) Leave() { m.isLeaving = true }

// IsLeaving reports whether this gateway has given up ownership. It does not
// while no other gateway of its data centre could take over, because its
// accepted requests need slots.
func (m *Machine) IsLeaving(now time.Time) bool {
	if !m.isLeaving {
		return false
	}
	own := m.dataCentre()
	return slices.ContainsFunc(m.gateways, func(g viewer.Gateway) bool {
		return g.Name != m.self && g.DataCentre == own && m.hears(now, g.Name) && !m.peers[g.Name].leaving
	})
}

func (m *Machine) dataCentre() string {
	for _, g := range m.gateways {
		if g.Name == m.self {
			return g.DataCentre
		}
	}
	return ""
}

// Tick returns the peers to probe now.
func (m *Machine) Tick(now time.Time) []string {
	if !m.last.IsZero() && now.Sub(m.last) > freezeGap {
		for _, p := range m.peers {
			p.answered = now
		}
	}
	m.last = now
	var due []string
	for name, p := range m.peers {
		if now.Sub(p.sent) >= Period {
			p.sent = now
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// Answered takes the answer to a probe into account. It returns the time at
// which the probe was sent at the latest, and whether the peer takes this
// gateway for alive.
func (m *Machine) Answered(now time.Time, name string, leaving bool, unheard []string) (sent time.Time, isAcknowledged bool) {
	p := m.peers[name]
	if p == nil {
		return time.Time{}, false
	}
	p.answered, p.leaving, p.unheard = now, leaving, unheard
	return p.sent, !slices.Contains(unheard, m.self)
}

func (m *Machine) hears(now time.Time, name string) bool {
	if name == m.self {
		return true
	}
	p := m.peers[name]
	return p != nil && now.Sub(p.answered) < DeadAfter
}

// Unheard returns the gateways that this one does not hear or that leave, in
// order. Others are acknowledged as owners.
func (m *Machine) Unheard(now time.Time) []string {
	var names []string
	for _, g := range m.gateways {
		if !m.hears(now, g.Name) || (g.Name != m.self && m.peers[g.Name].leaving) {
			names = append(names, g.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *Machine) hearsMajority(now time.Time) bool {
	count := 0
	for _, g := range m.gateways {
		if m.hears(now, g.Name) {
			count++
		}
	}
	return count > len(m.gateways)/2
}

// MayOwn reports whether this gateway may act as an owner.
func (m *Machine) MayOwn(now time.Time) bool {
	if m.IsLeaving(now) {
		return false
	}
	if m.hearsMajority(now) {
		return true
	}
	own := m.dataCentre()
	return own != "" && !slices.ContainsFunc(m.gateways, func(g viewer.Gateway) bool {
		return g.DataCentre == own && !m.hears(now, g.Name)
	})
}

// isDead reports whether the gateway is dead, or leaves and acts as an owner no
// more.
func (m *Machine) isDead(now time.Time, name string) bool {
	if name == m.self {
		return m.IsLeaving(now)
	}
	if m.hears(now, name) {
		return m.peers[name].leaving
	}
	if !m.hearsMajority(now) {
		return false
	}
	for other, p := range m.peers {
		if other != name && m.hears(now, other) && !slices.Contains(p.unheard, name) {
			return false
		}
	}
	return true
}

// Mark returns the gateways with Dead set for those that are dead.
func (m *Machine) Mark(now time.Time) []viewer.Gateway {
	marked := slices.Clone(m.gateways)
	for i := range marked {
		marked[i].Dead = m.isDead(now, marked[i].Name)
	}
	return marked
}
