package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
)

// joinPatience is how long seeds are asked before an entry goes on alone. It
// keeps asking them at a lower rate.
const joinPatience = 10 * time.Second

// tryJoin asks the seeds for their state until one has answered.
func (m *Machine) tryJoin() {
	if m.joined {
		return
	}
	seeds := slices.DeleteFunc(slices.Clone(m.settings.Seeds), func(a netip.AddrPort) bool { return a == m.self.Address })
	if len(seeds) == 0 || m.now.Sub(m.startedAt) > joinPatience {
		m.finishJoin()
		return
	}
	// One seed each second: every one of them answers with its whole state.
	m.sendPlain(seeds[m.random.IntN(len(seeds))], messenger.Join{Self: m.self})
}

func (m *Machine) answerJoin(msg messenger.Join) {
	if m.left || msg.Self.Region != m.self.Region || !msg.Self.Address.IsValid() || msg.Self.Name == m.self.Name {
		return
	}
	m.mergeMember(msg.Self)
	m.correctSender(msg.Self)
	members := []messenger.Member{m.self}
	for _, r := range []*ring{&m.nearRing, &m.farRing} {
		for _, p := range r.members {
			members = append(members, p.full())
		}
	}
	if p := m.members[msg.Self.Name]; p != nil && p.Incarnation > msg.Self.Incarnation {
		// An earlier process of this name had a higher incarnation.
		members = append(members, p.full())
	}
	records := make([]messenger.Record, 0, len(m.records.items))
	for _, item := range m.records.items {
		records = append(records, item.message(m.now))
	}
	sortRecords(records)
	m.sendItems(msg.Self.Address, members, records, messenger.SyncItems{JoinDone: true})
}

func (m *Machine) finishJoin() {
	if m.joined {
		return
	}
	m.joined = true
	m.rumours.add(memberKey(m.self.Name), m.now)
	m.emit(Joined{})
}

// reconnect probes one entry that is not live: a dead member, or a seed. If a
// cut has ended, its answer is the first contact between the two sides.
func (m *Machine) reconnect() {
	type candidate struct {
		name    string
		address netip.AddrPort
	}
	var candidates []candidate
	live := map[netip.AddrPort]bool{m.self.Address: true}
	for _, p := range m.members {
		if p.isLive() {
			live[p.Address] = true
		} else if p.State == messenger.MemberDead {
			candidates = append(candidates, candidate{name: p.Name, address: p.Address})
		}
	}
	for _, seed := range m.settings.Seeds {
		known := slices.ContainsFunc(candidates, func(c candidate) bool { return c.address == seed })
		if m.joined && !live[seed] && !known {
			candidates = append(candidates, candidate{address: seed})
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.address.Compare(b.address) })
	c := candidates[m.random.IntN(len(candidates))]
	// No other rumours: the peer is probably gone, and each counts as sent.
	rumours := messenger.Rumours{Version: m.version}
	if p := m.members[c.name]; p != nil {
		rumours.Members = append(rumours.Members, p.rumour())
	}
	m.sendPlain(c.address, messenger.Probe{Sequence: m.nextSequence(), Address: m.self.Address}, rumours)
}

const (
	// maxAsked bounds the members that are asked for their version.
	maxAsked = 16
	// askPeriod is how long an asked member may take before it counts as out of
	// reach.
	askPeriod = 2 * probeTimeout
)

// readiness tells whether a majority of the reachable members has told which
// configuration version it holds.
type readiness struct {
	asked   []string
	heards  []string
	highest uint64
	done    bool
	// askAgain is when other members are asked, in Unix milliseconds.
	askAgain int64
}

func (r *readiness) heard(name string) {
	if slices.Contains(r.asked, name) && !slices.Contains(r.heards, name) {
		r.heards = append(r.heards, name)
	}
}

func (r *readiness) hearVersion(version uint64) { r.highest = max(r.highest, version) }

// checkReady asks members for their version after the start and after a freeze.
func (m *Machine) checkReady() {
	if !m.joined || m.ready.done {
		return
	}
	if m.liveCount() == 1 {
		m.finishReady()
		return
	}
	if len(m.ready.asked) > 0 && len(m.ready.heards)*2 > len(m.ready.asked) {
		m.finishReady()
		return
	}
	if now := m.now.UnixMilli(); now >= m.ready.askAgain {
		m.ready.askAgain = now + askPeriod.Milliseconds()
		m.askVersions()
	}
}

func (m *Machine) finishReady() {
	m.ready.done = true
	m.emit(MajorityHeard{Version: max(m.ready.highest, m.version)})
}

func (m *Machine) askVersions() {
	asked := append(m.nearRing.sample(maxAsked/2, "", m.random), m.farRing.sample(maxAsked/2, "", m.random)...)
	m.ready.asked, m.ready.heards = nil, nil
	for _, p := range asked {
		m.ready.asked = append(m.ready.asked, p.Name)
		m.sendPlain(p.Address, messenger.Probe{Sequence: m.nextSequence(), Address: m.self.Address})
	}
}
