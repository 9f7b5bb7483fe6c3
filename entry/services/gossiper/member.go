package gossiper

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
)

// member is what this entry knows of another one. Once dead or leaving it is
// kept for a while, so that an old rumour does not revive it.
type member struct {
	messenger.Member
	// changedAt is when the state was learned.
	changedAt time.Time
	// suspectUntil is when the suspicion becomes a death here.
	suspectUntil time.Time
	// probeAt is when a member that this entry suspects is probed again, zero
	// if the suspicion was only heard of.
	probeAt time.Time
}

func (p *member) isLive() bool {
	return p.State == messenger.MemberAlive || p.State == messenger.MemberSuspect
}

// rumour returns what is sent of the member. Only alive members need all fields.
func (p *member) rumour() messenger.Member {
	if p.State == messenger.MemberAlive {
		return p.Member
	}
	return messenger.Member{Name: p.Name, Incarnation: p.Incarnation, State: p.State}
}

// full returns the member for a peer that may not know it. A suspicion is left
// out: it is a matter of those who heard it.
func (p *member) full() messenger.Member {
	full := p.Member
	if full.State == messenger.MemberSuspect {
		full.State = messenger.MemberAlive
	}
	return full
}

// mergeMember applies what a peer says of a member. It reports whether that was
// news.
func (m *Machine) mergeMember(heard messenger.Member) bool {
	if heard.Name == m.self.Name {
		m.refute(heard)
		return false
	}
	known := m.members[heard.Name]
	if known == nil {
		return m.addMember(heard)
	}
	order := cmp.Or(cmp.Compare(heard.Incarnation, known.Incarnation), cmp.Compare(heard.State, known.State))
	if order <= 0 {
		if order == 0 {
			m.rumours.heard(memberKey(heard.Name))
		}
		return false
	}
	if heard.State == messenger.MemberAlive {
		if heard.Region != m.self.Region || !heard.Address.IsValid() {
			return false
		}
		m.setMember(known, heard)
		return true
	}
	changed := known.Member
	changed.Incarnation, changed.State = heard.Incarnation, heard.State
	m.setMember(known, changed)
	if heard.State == messenger.MemberSuspect {
		known.suspectUntil = m.now.Add(suspectTimeoutRumour)
	}
	return true
}

// addMember adds an unknown member. Only alive members carry what is needed, and
// unknown dead ones must not come back from a peer that keeps them longer.
func (m *Machine) addMember(heard messenger.Member) bool {
	if heard.State != messenger.MemberAlive || heard.Region != m.self.Region || heard.Name == "" || heard.Incarnation == 0 || !heard.Address.IsValid() {
		return false
	}
	added := &member{Member: messenger.Member{Name: heard.Name}}
	m.members[heard.Name] = added
	m.setMember(added, heard)
	return true
}

// setMember stores a changed state, spreads it and keeps the probe rings.
func (m *Machine) setMember(p *member, changed messenger.Member) {
	wasLive, before := p.Incarnation != 0 && p.isLive(), p.DataCentre
	m.hashes.toggle(p)
	p.Member = changed
	p.changedAt, p.suspectUntil, p.probeAt = m.now, time.Time{}, time.Time{}
	m.hashes.toggle(p)
	m.dirty = true
	m.rumours.add(memberKey(p.Name))
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

// ringsOf returns the rings for probes and for rumours that members of a data
// centre belong to.
func (m *Machine) ringsOf(dataCentre string) (probes, gossip *ring) {
	if dataCentre == m.self.DataCentre {
		return &m.nearRing, &m.nearGossip
	}
	return &m.farRing, &m.farGossip
}

// refute answers what is said of this entry itself: a state other than its own,
// or an incarnation of an earlier process, is overruled by a higher incarnation.
func (m *Machine) refute(heard messenger.Member) {
	if m.left || heard.Incarnation < m.self.Incarnation || heard.Incarnation == math.MaxUint64 {
		return
	}
	if heard.Incarnation == m.self.Incarnation && heard.State <= m.self.State {
		m.rumours.heard(memberKey(m.self.Name))
		return
	}
	isOther := heard.State == messenger.MemberAlive && heard.Address != m.self.Address
	if isOther && m.joined && heard.Incarnation > m.self.Incarnation {
		// The newer process keeps the name. To overrule it would make the two
		// raise their incarnations forever.
		m.counts.NameConflicts++
		if heard.Address != m.supersededBy {
			m.supersededBy = heard.Address
			m.emit(Superseded{By: heard})
		}
		return
	}
	m.counts.Refutations++
	m.self.Incarnation = heard.Incarnation + 1
	m.rumours.add(memberKey(m.self.Name))
	m.dirty = true
}

// liveCount returns the number of live members, with this entry.
func (m *Machine) liveCount() int { return len(m.nearRing.members) + len(m.farRing.members) + 1 }

// sweep forgets what is past its retention.
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

// publishMembers emits the live members if they differ from the last ones.
func (m *Machine) publishMembers() {
	if !m.dirty {
		return
	}
	m.dirty = false
	live := make([]messenger.Member, 0, m.liveCount())
	if !m.left {
		live = append(live, m.self)
	}
	for _, r := range []*ring{&m.nearRing, &m.farRing} {
		for _, p := range r.members {
			live = append(live, p.full())
		}
	}
	slices.SortFunc(live, func(a, b messenger.Member) int { return cmp.Compare(a.Name, b.Name) })
	lost := m.countLost()
	if slices.Equal(live, m.announced) && lost == m.lost {
		return
	}
	m.announced, m.lost = live, lost
	m.emit(MembersChanged{Members: slices.Clone(live), Lost: lost})
}

// lostPeriod is how long a dead member counts as lost rather than replaced.
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

// ring deals members in turns: each once, in random order, before any repeats,
// so that the time to the next probe of a member is bounded.
type ring struct {
	members []*member
	next    int
}

func (r *ring) add(p *member, random *rand.Rand) {
	r.members = append(r.members, p)
	// A random place, so that nodes do not all probe a new member at once.
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

// sample returns up to n random members other than the excluded one.
func (r *ring) sample(n int, exclude string, random *rand.Rand) []*member {
	var picked []*member
	for _, i := range random.Perm(len(r.members)) {
		if p := r.members[i]; p.Name != exclude && len(picked) < n {
			picked = append(picked, p)
		}
	}
	return picked
}

// farShare is the number of messages with rumours that the entries of a data
// centre together send to others for each one that an entry sends in its own, so
// that the links between data centres stay thin at any size.
const farShare = 4

func (m *Machine) pickGossipPeer() *member {
	near, far := len(m.nearGossip.members), len(m.farGossip.members)
	if far > 0 && (near == 0 || m.random.IntN(near+farShare) < farShare) {
		return m.farGossip.take(m.random)
	}
	return m.nearGossip.take(m.random)
}
