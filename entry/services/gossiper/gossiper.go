// Package gossiper decides how the entries of a region learn of one another, of
// the records of backend servers and of configuration versions. It follows SWIM
// (Das, Gupta, Motivala, 2002): random probes, indirect probes, suspicion, and
// rumours that ride on probes, with an exchange of state hashes that repairs
// what rumours miss. It has no sockets, goroutines or clock; see [Machine.Step].
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// TickPeriod is how often a Machine expects a Tick.
const TickPeriod = 100 * time.Millisecond

const (
	probePeriod    = time.Second
	farProbePeriod = 2 * time.Second
	indirectAfter  = 500 * time.Millisecond
	probeTimeout   = time.Second
	indirectPeers  = 2

	// suspectTimeout applies to the member whose probe failed. Those that only
	// heard of the suspicion wait for its verdict longer, so that one refutation
	// that reaches the prober is enough.
	suspectTimeout       = 3 * time.Second
	suspectTimeoutRumour = 5 * time.Second
	suspectProbePeriod   = time.Second

	syncPeriod      = 10 * time.Second
	reconnectPeriod = 5 * time.Second
	joinPeriod      = time.Second
	summaryPeriod   = 2 * time.Second
	sweepPeriod     = time.Minute

	// thawThreshold is the gap between ticks that counts as a freeze.
	thawThreshold = time.Second

	// retention is how long dead members and lapsed records are kept. Regions
	// lose contact for an hour; flows last for hours.
	retention = 24 * time.Hour
)

// Settings identify the entry.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// Address is the gRPC address.
	Address netip.AddrPort
	// PacketAddress is the UDP address of packets relayed between entries.
	PacketAddress netip.AddrPort
	// Seeds are gRPC addresses of entries of the region to join through.
	Seeds []netip.AddrPort
	// Incarnation must be greater than that of an earlier process of the same
	// name; the start time in milliseconds serves.
	Incarnation uint64
}

// Counts are the counters of a Machine.
type Counts struct {
	MessagesSent, RumourBytesSent        uint64
	ProbesSent, ProbesFailed             uint64
	Suspicions, Deaths, Refutations      uint64
	RumoursSent, Syncs, SyncItemsSent    uint64
	Thaws, NameConflicts, UnknownSenders uint64
}

// Machine is the state of one entry's membership. It is not safe for concurrent
// use.
type Machine struct {
	settings Settings
	self     messenger.Member
	random   *rand.Rand
	now      time.Time
	lastTick time.Time
	// startedAt is when the machine was made.
	startedAt time.Time

	joined   bool
	left     bool
	members  map[string]*member
	records  *recordStore
	hashes   memberHashes
	version  uint64
	rumours  rumourQueue
	budget   budget
	remotes  []netip.AddrPort
	sequence uint64

	nearRing, farRing, nearGossip, farGossip ring

	probes    []*probe
	relays    map[uint64]relay
	ready     readiness
	schedule  schedule
	counts    Counts
	out       []Output
	dirty     bool
	announced []messenger.Member
	lost      int
	// supersededBy is the address of another process with this entry's name.
	supersededBy netip.AddrPort
	// confirmedAt is when control confirmed the version held, zero if never.
	confirmedAt time.Time
}

type schedule struct {
	probe, farProbe, sync, reconnect, join, summary, sweep time.Time
}

// New returns a Machine that starts at now. All its choices come from random.
func New(settings Settings, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{
		settings: settings,
		self: messenger.Member{
			Name: settings.Name, Incarnation: settings.Incarnation, State: messenger.MemberAlive,
			DataCentre: settings.DataCentre, Region: settings.Region,
			Address: settings.Address, PacketAddress: settings.PacketAddress,
		},
		random:  random,
		now:     now,
		members: make(map[string]*member),
		records: newRecordStore(),
		rumours: newRumourQueue(),
		budget:  newBudget(now),
		relays:  make(map[uint64]relay),
	}
	jitter := func(period time.Duration) time.Time {
		return now.Add(time.Duration(random.Int64N(int64(period))))
	}
	m.schedule = schedule{
		probe: jitter(probePeriod), farProbe: jitter(farProbePeriod), sync: jitter(syncPeriod),
		reconnect: jitter(reconnectPeriod), join: now, summary: jitter(summaryPeriod), sweep: jitter(sweepPeriod),
	}
	m.lastTick, m.startedAt = now, now
	m.dirty = true
	return m
}

// Step applies one input at a time that must not go backwards, and returns what
// is to be sent and what has changed.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if now.After(m.now) {
		m.now = now
	}
	m.out = nil
	switch in := input.(type) {
	case Tick:
		m.tick()
	case Received:
		m.receive(in)
	case RecordChanged:
		m.mergeRecord(messenger.Record{Record: in.Record}, sourceLocal)
	case VersionChanged:
		m.changeVersion(in.Version)
	case VersionConfirmed:
		m.confirmedAt = m.now
	case RemotesChanged:
		m.remotes = in.Addresses
	case Leave:
		m.leave()
	}
	m.publishMembers()
	return m.out
}

// Counts returns the counters.
func (m *Machine) Counts() Counts { return m.counts }

// Self returns the entry's own member.
func (m *Machine) Self() messenger.Member { return m.self }

// GetRecord returns the record of a backend server, if there is one.
func (m *Machine) GetRecord(id announcer.ID) (announcer.Record, bool) {
	item, ok := m.records.items[id]
	if !ok {
		return announcer.Record{}, false
	}
	return item.record, true
}

// Records returns all records in the order of their IDs.
func (m *Machine) Records() []announcer.Record { return m.records.list() }

func (m *Machine) tick() {
	if gap := m.now.Sub(m.lastTick); gap > thawThreshold {
		m.thaw(gap)
	}
	m.lastTick = m.now
	if m.left {
		m.spreadRumours()
		return
	}
	m.checkProbes()
	m.checkSuspects()
	if m.due(&m.schedule.join, joinPeriod) {
		m.tryJoin()
	}
	if m.due(&m.schedule.probe, probePeriod) {
		m.probeNext(&m.nearRing)
	}
	if m.due(&m.schedule.farProbe, farProbePeriod) {
		m.probeNext(&m.farRing)
	}
	if m.due(&m.schedule.sync, syncPeriod) {
		m.startSync()
	}
	if m.due(&m.schedule.reconnect, reconnectPeriod) {
		m.reconnect()
	}
	if m.due(&m.schedule.summary, summaryPeriod) {
		m.sendSummary()
	}
	if m.due(&m.schedule.sweep, sweepPeriod) {
		m.sweep()
	}
	m.checkReady()
	m.spreadRumours()
}

// due reports whether at has come, and then moves it by period. It skips the
// turns that a freeze has missed.
func (m *Machine) due(at *time.Time, period time.Duration) bool {
	if m.now.Before(*at) {
		return false
	}
	*at = at.Add(period)
	if at.Before(m.now) {
		*at = m.now.Add(period)
	}
	return true
}

// thaw forgets what timed out while the process did not run: the silence was
// its own.
func (m *Machine) thaw(gap time.Duration) {
	m.counts.Thaws++
	m.probes = nil
	clear(m.relays)
	for _, p := range m.members {
		if p.State == messenger.MemberSuspect {
			p.suspectUntil = m.now.Add(suspectTimeoutRumour)
		}
	}
	m.ready = readiness{}
	m.emit(Thawed{Gap: gap})
	m.schedule.sync = m.now
}

func (m *Machine) leave() {
	if m.left {
		return
	}
	m.left = true
	m.self.State = messenger.MemberLeaving
	m.rumours.add(memberKey(m.self.Name), m.now)
	m.dirty = true
}

func (m *Machine) changeVersion(version uint64) {
	if version <= m.version {
		return
	}
	m.version = version
	m.confirmedAt = time.Time{}
	m.rumours.add(versionKey, m.now)
}

// VersionAge returns how long ago control was last known to hold no newer
// version than this entry. It returns false if that is not known.
func (m *Machine) VersionAge() (time.Duration, bool) {
	if m.confirmedAt.IsZero() {
		return 0, false
	}
	return m.now.Sub(m.confirmedAt), true
}

// hearAge takes over a later confirmation of the same version from a peer.
func (m *Machine) hearAge(age uint32) {
	if age == 0 {
		return
	}
	if at := m.now.Add(-time.Duration(age) * time.Second); at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// sentAge returns the age for a message in seconds, rounded up, or 0 if it is not
// known.
func (m *Machine) sentAge() uint32 {
	if m.confirmedAt.IsZero() {
		return 0
	}
	return uint32(m.now.Sub(m.confirmedAt)/time.Second) + 1
}

func (m *Machine) emit(out Output) { m.out = append(m.out, out) }

func (m *Machine) nextSequence() uint64 {
	m.sequence++
	return m.sequence
}
