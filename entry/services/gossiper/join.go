package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
)

// joinTimeout is how long an entry asks its seeds before it continues alone. It then
// keeps probing them at a lower rate (see reconnect).
const joinTimeout = 10 * time.Second

// tryJoin asks the seeds for their state until one has answered or joinTimeout has
// passed.
func (m *Machine) tryJoin() {
	if m.joined {
		return
	}
	seeds := slices.DeleteFunc(slices.Clone(m.settings.Seeds), func(a netip.AddrPort) bool { return a == m.self.Address })
	if len(seeds) == 0 || m.now.Sub(m.startedAt) > joinTimeout {
		m.finishJoin()
		return
	}
	// Asks only one seed per joinPeriod (1 s), because every seed answers with its
	// whole state.
	m.sendWithoutRumours(seeds[m.random.IntN(len(seeds))], messenger.Join{Self: m.self})
}

func (m *Machine) answerJoin(msg messenger.Join) {
	if m.left || msg.Self.Region != m.self.Region || !msg.Self.Address.IsValid() || msg.Self.Name == m.self.Name {
		return
	}
	m.mergeMember(msg.Self)
	m.correctSender(msg.Self)
	members := []messenger.Member{m.self}
	for _, r := range []*ring{&m.localProbeRing, &m.remoteProbeRing} {
		for _, p := range r.members {
			members = append(members, p.full())
		}
	}
	if p := m.members[msg.Self.Name]; p != nil && p.Incarnation > msg.Self.Incarnation {
		// Tells the sender that an earlier process of its name had a higher
		// incarnation.
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

// reconnect probes one entry that is not live: a dead member or a seed. After a network
// partition has healed, its answer is the first contact between the two sides.
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
	// Sends no other rumours: the peer is probably dead, and each rumour would count as
	// sent.
	rumours := messenger.Rumours{Version: m.version}
	if p := m.members[c.name]; p != nil {
		rumours.Members = append(rumours.Members, p.rumour())
	}
	m.sendWithoutRumours(c.address, messenger.Probe{Sequence: m.nextSequence(), Address: m.self.Address}, rumours)
}

const (
	// maxQueried bounds the members that are asked for their version.
	maxQueried = 16
	// queryTimeout is how long a member may take to answer before it counts as
	// unreachable.
	queryTimeout = 2 * probeTimeout
)

// readiness tracks whether a majority of the reachable members have told which
// configuration version they hold.
type readiness struct {
	queried  []string
	answered []string
	highest  uint64
	done     bool
	// nextQueryAt is when other members are asked, in Unix milliseconds.
	nextQueryAt int64
}

func (r *readiness) addAnswer(name string) {
	if slices.Contains(r.queried, name) && !slices.Contains(r.answered, name) {
		r.answered = append(r.answered, name)
	}
}

func (r *readiness) addVersion(version uint64) { r.highest = max(r.highest, version) }

// checkReady asks members for their version after the start and after a pause of the
// process.
func (m *Machine) checkReady() {
	if !m.joined || m.ready.done {
		return
	}
	if m.liveCount() == 1 {
		m.finishReady()
		return
	}
	if len(m.ready.queried) > 0 && len(m.ready.answered)*2 > len(m.ready.queried) {
		m.finishReady()
		return
	}
	if now := m.now.UnixMilli(); now >= m.ready.nextQueryAt {
		m.ready.nextQueryAt = now + queryTimeout.Milliseconds()
		m.queryVersions()
	}
}

func (m *Machine) finishReady() {
	m.ready.done = true
	m.emit(MajorityReported{Version: max(m.ready.highest, m.version)})
}

func (m *Machine) queryVersions() {
	targets := append(m.localProbeRing.sample(maxQueried/2, "", m.random), m.remoteProbeRing.sample(maxQueried/2, "", m.random)...)
	m.ready.queried, m.ready.answered = nil, nil
	for _, p := range targets {
		m.ready.queried = append(m.ready.queried, p.Name)
		m.sendWithoutRumours(p.Address, messenger.Probe{Sequence: m.nextSequence(), Address: m.self.Address})
	}
}
