// Package prober detects which gateways are alive, for the choice of the owners
// of backend servers. It must never let two gateways own the same backend
// server, even during a network partition between gateways.
package prober

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

const (
	// ProbeInterval is the minimum time between two probes of one peer.
	ProbeInterval = 500 * time.Millisecond
	// UnreachableAfter is the time without an answer after which a peer counts as
	// unreachable. It limits the time for which a partitioned gateway still
	// grants slots.
	UnreachableAfter = 2 * time.Second
	// maxTickGap is the time between two ticks above which this process counts as
	// paused. Missing answers during a pause say nothing about peers.
	maxTickGap = time.Second
)

// Machine records which peers have answered the probes of this gateway. It is
// not safe for concurrent use.
//
// A gateway reaches a peer if the peer has answered a probe within
// UnreachableAfter. A peer counts as dead only if this gateway reaches a majority
// of all gateways and none of them reaches the peer. A gateway may act as an
// owner only if it reaches a majority of all gateways or all others of its data
// centre. Two majorities have a gateway in common, so a peer that counts as dead
// reaches no majority; and it does not reach the gateway that considers it dead,
// so if both are in one data centre, it does not reach all others there.
type Machine struct {
	self      string
	gateways  []viewer.Gateway
	peers     map[string]*peer
	lastTick  time.Time
	isLeaving bool
}

type peer struct {
	lastProbe  time.Time
	lastAnswer time.Time
	leaving    bool
	// unreachable are the gateways that the peer does not reach or that are
	// leaving, as the peer last answered.
	unreachable []string
}

// New returns a Machine without peers.
func New(self string) *Machine { return &Machine{self: self, peers: make(map[string]*peer)} }

// SetGateways replaces the gateway list and keeps the state of the peers that stay.
func (m *Machine) SetGateways(now time.Time, gateways []viewer.Gateway) {
	m.gateways = gateways
	for _, g := range gateways {
		if g.Name != m.self && m.peers[g.Name] == nil {
			// A new peer counts as reachable until it has had time to answer.
			m.peers[g.Name] = &peer{lastAnswer: now}
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

// IsLeaving reports whether this gateway has given up ownership. It keeps
// ownership while no other gateway of its data centre could take over, because
// the requests that it has accepted need slots.
func (m *Machine) IsLeaving(now time.Time) bool {
	if !m.isLeaving {
		return false
	}
	ownDataCentre := m.dataCentre()
	return slices.ContainsFunc(m.gateways, func(g viewer.Gateway) bool {
		return g.Name != m.self && g.DataCentre == ownDataCentre && m.isReachable(now, g.Name) && !m.peers[g.Name].leaving
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
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > maxTickGap {
		for _, p := range m.peers {
			p.lastAnswer = now
		}
	}
	m.lastTick = now
	var due []string
	for name, p := range m.peers {
		if now.Sub(p.lastProbe) >= ProbeInterval {
			p.lastProbe = now
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return due
}

// RecordAnswer records a peer's answer to a probe: whether the peer is leaving and
// which gateways are unreachable for it or leaving. It returns the latest time at which the probe
// can have been sent, and whether the peer considers this gateway alive.
func (m *Machine) RecordAnswer(now time.Time, name string, leaving bool, unreachable []string) (sent time.Time, isAcknowledged bool) {
	p := m.peers[name]
	if p == nil {
		return time.Time{}, false
	}
	p.lastAnswer, p.leaving, p.unreachable = now, leaving, unreachable
	return p.lastProbe, !slices.Contains(unreachable, m.self)
}

func (m *Machine) isReachable(now time.Time, name string) bool {
	if name == m.self {
		return true
	}
	p := m.peers[name]
	return p != nil && now.Sub(p.lastAnswer) < UnreachableAfter
}

// Unreachable returns the sorted names of the gateways that this one does not reach
// or that are leaving. All others are acknowledged as owners.
func (m *Machine) Unreachable(now time.Time) []string {
	var names []string
	for _, g := range m.gateways {
		if !m.isReachable(now, g.Name) || (g.Name != m.self && m.peers[g.Name].leaving) {
			names = append(names, g.Name)
		}
	}
	slices.Sort(names)
	return names
}

func (m *Machine) reachesMajority(now time.Time) bool {
	count := 0
	for _, g := range m.gateways {
		if m.isReachable(now, g.Name) {
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
	if m.reachesMajority(now) {
		return true
	}
	ownDataCentre := m.dataCentre()
	return ownDataCentre != "" && !slices.ContainsFunc(m.gateways, func(g viewer.Gateway) bool {
		return g.DataCentre == ownDataCentre && !m.isReachable(now, g.Name)
	})
}

// isDead reports whether the gateway is dead, or is leaving and no longer acts as
// an owner.
func (m *Machine) isDead(now time.Time, name string) bool {
	if name == m.self {
		return m.IsLeaving(now)
	}
	if m.isReachable(now, name) {
		return m.peers[name].leaving
	}
	if !m.reachesMajority(now) {
		return false
	}
	for other, p := range m.peers {
		if other != name && m.isReachable(now, other) && !slices.Contains(p.unreachable, name) {
			return false
		}
	}
	return true
}

// MarkDead returns a copy of the gateway list with Dead set for dead gateways.
func (m *Machine) MarkDead(now time.Time) []viewer.Gateway {
	marked := slices.Clone(m.gateways)
	for i := range marked {
		marked[i].Dead = m.isDead(now, marked[i].Name)
	}
	return marked
}
