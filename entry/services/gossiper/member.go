package gossiper

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
)

// member is the state of another entry as known to this one. Dead and leaving members
// are kept for the retention, so that an old rumour does not revive them.
type member struct {
	messenger.Member
	// changedAt is when the current state was set on this entry.
	changedAt time.Time
	// suspectUntil is when this entry declares a suspect dead.
	suspectUntil time.Time
	// probeAt is when a member that this entry suspects is probed again. It is zero if
	// the suspicion was received as a rumour.
	probeAt time.Time
}

func (p *member) isLive() bool {
	return p.State == messenger.MemberAlive || p.State == messenger.MemberSuspect
}

// rumour returns the member as it is sent in rumours. Only alive members need all
// fields.
func (p *member) rumour() messenger.Member {
	if p.State == messenger.MemberAlive {
		return p.Member
	}
	return messenger.Member{Name: p.Name, Incarnation: p.Incarnation, State: p.State}
}

// full returns the member with all fields, for a peer that may not know it. A suspect
// is sent as alive, because a suspicion concerns only the entries that received it.
func (p *member) full() messenger.Member {
	full := p.Member
	if full.State == messenger.MemberSuspect {
		full.State = messenger.MemberAlive
	}
	return full
}

// mergeMember applies the state of a member that a peer has sent. It reports whether
// the state was new.
func (m *Machine) mergeMember(received messenger.Member) bool {
	if received.Name == m.self.Name {
		m.refute(received)
		return false
	}
	known := m.members[received.Name]
	if known == nil {
		return m.addMember(received)
	}
	order := cmp.Or(cmp.Compare(received.Incarnation, known.Incarnation), cmp.Compare(received.State, known.State))
	if order <= 0 {
		if order == 0 {
			m.rumours.countReceived(memberKey(received.Name))
		}
		return false
	}
	if received.State == messenger.MemberAlive {
		if received.Region != m.self.Region || !received.Address.IsValid() {
			return false
		}
		m.setMember(known, received)
		return true
	}
	changed := known.Member
	changed.Incarnation, changed.State = received.Incarnation, received.State
	m.setMember(known, changed)
	if received.State == messenger.MemberSuspect {
		known.suspectUntil = m.now.Add(suspectTimeoutRumour)
	}
	return true
}

// addMember adds a member that is not known yet. Only alive members carry the required
// fields, and a dead member that was forgotten here must not come back from a peer that
// keeps it longer.
func (m *Machine) addMember(received messenger.Member) bool {
	if received.State != messenger.MemberAlive || received.Region != m.self.Region || received.Name == "" || received.Incarnation == 0 || !received.Address.IsValid() {
		return false
	}
	added := &member{Member: messenger.Member{Name: received.Name}}
	m.members[received.Name] = added
	m.setMember(added, received)
	return true
}

// setMember stores a changed state, queues it as a rumour and updates the rings.
func (m *Machine) setMember(p *member, changed messenger.Member) {
	wasLive, before := p.Incarnation != 0 && p.isLive(), p.DataCentre
	m.hashes.toggle(p)
	p.Member = changed
	p.changedAt, p.suspectUntil, p.probeAt = m.now, time.Time{}, time.Time{}
	m.hashes.toggle(p)
	m.dirty = true
	m.rumours.add(memberKey(p.Name), m.now)
	if p.isLive() == wasLive && p.DataCentre == before {
		return
	}
	if wasLive {
		probes, gossip := m.ringsOf(before)
		probes.remove(p)
		gossip.remove(p)
	}
	if p.isLive() {
		probes, gossip := m.ringsOf(p.DataCentre)
		probes.add(p, m.random)
		gossip.add(p, m.random)
	}
}

// ringsOf returns the rings for probes and for gossip that the members of a data centre
// belong to.
func (m *Machine) ringsOf(dataCentre string) (probes, gossip *ring) {
	if dataCentre == m.self.DataCentre {
		return &m.localProbeRing, &m.localGossipRing
	}
	return &m.remoteProbeRing, &m.remoteGossipRing
}

// refute handles a state of this entry that a peer has sent. A state other than its
// own, or an incarnation of an earlier process, is overridden with a higher
// incarnation.
func (m *Machine) refute(received messenger.Member) {
	if m.left || received.Incarnation < m.self.Incarnation || received.Incarnation == math.MaxUint64 {
		return
	}
	if received.Incarnation == m.self.Incarnation && received.State <= m.self.State {
		m.rumours.countReceived(memberKey(m.self.Name))
		return
	}
	isOther := received.State == messenger.MemberAlive && received.Address != m.self.Address
	if isOther && m.joined && received.Incarnation > m.self.Incarnation {
		// The newer process keeps the name. Refuting it would make the two processes
		// raise their incarnations forever.
		m.counts.NameConflicts++
		if received.Address != m.supersededBy {
			m.supersededBy = received.Address
			m.emit(NameConflictDetected{By: received})
		}
		return
	}
	m.counts.Refutations++
	m.self.Incarnation = received.Incarnation + 1
	m.rumours.add(memberKey(m.self.Name), m.now)
	m.dirty = true
}

// liveCount returns the number of live members, including this entry.
func (m *Machine) liveCount() int {
	return len(m.localProbeRing.members) + len(m.remoteProbeRing.members) + 1
}

// sweep removes the members and records whose retention has passed.
func (m *Machine) sweep() {
	m.dirty = true // The number of lost members changes with time.
	for name, p := range m.members {
		if !p.isLive() && m.now.Sub(p.changedAt) > retention {
			delete(m.members, name)
			m.rumours.remove(memberKey(name))
		}
	}
	for _, id := range m.records.expire(m.now) {
		m.rumours.remove(recordKey(id))
		m.emit(RecordRemoved{ID: id})
	}
}

// publishMembers emits the live members if they or the number of lost members differ
// from those last emitted.
func (m *Machine) publishMembers() {
	if !m.dirty {
		return
	}
	m.dirty = false
	live := make([]messenger.Member, 0, m.liveCount())
	if !m.left {
		live = append(live, m.self)
	}
	for _, r := range []*ring{&m.localProbeRing, &m.remoteProbeRing} {
		for _, p := range r.members {
			live = append(live, p.full())
		}
	}
	slices.SortFunc(live, func(a, b messenger.Member) int { return cmp.Compare(a.Name, b.Name) })
	lost := m.countLost()
	if slices.Equal(live, m.published) && lost == m.lost {
		return
	}
	m.published, m.lost = live, lost
	m.emit(MembersChanged{Members: slices.Clone(live), RecentDeaths: lost})
}

// lostPeriod is how long a dead member counts as lost. After that it counts as
// replaced.
const lostPeriod = 10 * time.Minute

func (m *Machine) countLost() int {
	lost := 0
	for _, p := range m.members {
		if p.State == messenger.MemberDead && p.DataCentre == m.self.DataCentre && m.now.Sub(p.changedAt) < lostPeriod {
			lost++
		}
	}
	return lost
}

// ring returns members in rounds: each member once per round, in random order, so that
// the time until a member's next probe is bounded.
type ring struct {
	members []*member
	next    int
}

func (r *ring) add(p *member, random *rand.Rand) {
	r.members = append(r.members, p)
	// Placed at random, so that entries do not all probe a new member at once.
	last := len(r.members) - 1
	i := random.IntN(last + 1)
	r.members[i], r.members[last] = r.members[last], r.members[i]
}

func (r *ring) remove(p *member) {
	i := slices.Index(r.members, p)
	if i < 0 {
		return
	}
	r.members = slices.Delete(r.members, i, i+1)
	if i < r.next {
		r.next--
	}
}

func (r *ring) take(random *rand.Rand) *member {
	if len(r.members) == 0 {
		return nil
	}
	if r.next >= len(r.members) {
		r.next = 0
		random.Shuffle(len(r.members), func(i, j int) { r.members[i], r.members[j] = r.members[j], r.members[i] })
	}
	r.next++
	return r.members[r.next-1]
}

// sample returns up to n random members, without the excluded one.
func (r *ring) sample(n int, exclude string, random *rand.Rand) []*member {
	var picked []*member
	for _, i := range random.Perm(len(r.members)) {
		if p := r.members[i]; p.Name != exclude && len(picked) < n {
			picked = append(picked, p)
		}
	}
	return picked
}

// remoteGossipWeight is the number of gossip messages that the entries of a data centre
// together send to other data centres for each one that an entry sends within its own.
// It keeps the traffic between data centres low at any size.
const remoteGossipWeight = 4

func (m *Machine) pickGossipPeer() *member {
	local, remote := len(m.localGossipRing.members), len(m.remoteGossipRing.members)
	if remote > 0 && (local == 0 || m.random.IntN(local+remoteGossipWeight) < remoteGossipWeight) {
		return m.remoteGossipRing.take(m.random)
	}
	return m.localGossipRing.take(m.random)
}
