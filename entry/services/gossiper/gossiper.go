// Package gossiper implements the membership protocol of the entries of a region. It
// also disseminates the records of backend servers and configuration versions. It
// follows SWIM (Das, Gupta, Motivala, 2002): random probes, indirect probes, suspicion,
// and rumours that are piggybacked on probes. An anti-entropy exchange of state hashes
// repairs what rumours miss. The package has no sockets, goroutines or clock; see
// [Machine.Step].
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// TickPeriod is the interval at which a Machine expects a Tick.
const TickPeriod = 100 * time.Millisecond

const (
	probePeriod       = time.Second
	remoteProbePeriod = 2 * time.Second
	indirectAfter     = 500 * time.Millisecond
	probeTimeout      = time.Second
	indirectPeers     = 2

	// suspectTimeout applies on the entry whose probe failed. Entries that only
	// received the suspicion as a rumour wait longer (suspectTimeoutRumour) for that
	// entry's verdict, so that one refutation that reaches the prober is enough.
	suspectTimeout       = 3 * time.Second
	suspectTimeoutRumour = 5 * time.Second
	suspectProbePeriod   = time.Second

	syncPeriod      = 10 * time.Second
	reconnectPeriod = 5 * time.Second
	joinPeriod      = time.Second
	summaryPeriod   = 2 * time.Second
	sweepPeriod     = time.Minute

	// pauseThreshold is the gap between two ticks beyond which the process counts as
	// having been paused.
	pauseThreshold = time.Second

	// retention is how long dead members and lapsed records are kept. It is longer than
	// the outages and flows to expect: regions lose contact for an hour; flows last for
	// hours.
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
	// Incarnation must be greater than that of any earlier process with the same name;
	// the start time in Unix milliseconds meets this.
	Incarnation uint64
}

// Counts are the counters of a Machine. Metric names are derived from the field names.
// Thaws counts the pauses of the process.
type Counts struct {
	MessagesSent, RumourBytesSent        uint64
	ProbesSent, ProbesFailed             uint64
	Suspicions, Deaths, Refutations      uint64
	RumoursSent, Syncs, SyncItemsSent    uint64
	Thaws, NameConflicts, UnknownSenders uint64
}

// Machine is the membership state machine of one entry. It is not safe for concurrent
// use.
type Machine struct {
	settings Settings
	self     messenger.Member
	random   *rand.Rand
	now      time.Time
	lastTick time.Time
	// startedAt is the time given to New; joinTimeout counts from it.
	startedAt time.Time

	joined  bool
	left    bool
	members map[string]*member
	records *recordStore
	hashes  memberHashes
	version uint64
	rumours rumourQueue
	budget  budget
	// otherRegions holds the gRPC addresses of the entries of other regions.
	otherRegions []netip.AddrPort
	sequence     uint64

	// The local rings hold the members of this data centre, the remote rings those of
	// the other data centres of the region.
	localProbeRing, remoteProbeRing, localGossipRing, remoteGossipRing ring

	probes    []*probe
	relays    map[uint64]relay
	ready     readiness
	schedule  schedule
	counts    Counts
	out       []Output
	dirty     bool
	published []messenger.Member
	// lost is the number of lost members that was last emitted.
	lost int
	// supersededBy is the address of a newer process that uses this entry's name.
	supersededBy netip.AddrPort
	// confirmedAt is when control last confirmed the version held, zero if it has not.
	confirmedAt time.Time
}

type schedule struct {
	probe, remoteProbe, sync, reconnect, join, summary, sweep time.Time
}

// New returns a Machine that starts at now. It takes all random choices from random.
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
		probe: jitter(probePeriod), remoteProbe: jitter(remoteProbePeriod), sync: jitter(syncPeriod),
		reconnect: jitter(reconnectPeriod), join: now, summary: jitter(summaryPeriod), sweep: jitter(sweepPeriod),
	}
	m.lastTick, m.startedAt = now, now
	m.dirty = true
	return m
}

// Step processes one input at the time now, which must not go backwards. It returns the
// messages to send and the changes to report.
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
	case OtherRegionsChanged:
		m.otherRegions = in.Addresses
	case Leave:
		m.leave()
	}
	m.publishMembers()
	return m.out
}

// Counts returns the counters.
func (m *Machine) Counts() Counts { return m.counts }

// Self returns this entry as a member.
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
	if gap := m.now.Sub(m.lastTick); gap > pauseThreshold {
		m.handlePause(gap)
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
		m.probeNext(&m.localProbeRing)
	}
	if m.due(&m.schedule.remoteProbe, remoteProbePeriod) {
		m.probeNext(&m.remoteProbeRing)
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

// due reports whether at has been reached, and then advances it by period. It skips the
// runs that were missed while the process was paused.
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

// handlePause discards the timeouts that ran out while the process was paused. The
// missing responses were caused by the pause and not by the peers.
func (m *Machine) handlePause(gap time.Duration) {
	m.counts.Thaws++
	m.probes = nil
	clear(m.relays)
	for _, p := range m.members {
		if p.State == messenger.MemberSuspect {
			p.suspectUntil = m.now.Add(suspectTimeoutRumour)
		}
	}
	m.ready = readiness{}
	m.emit(Resumed{Gap: gap})
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

// VersionAge returns how long ago control last confirmed that it holds no newer version
// than this entry. It returns false if that is not known.
func (m *Machine) VersionAge() (time.Duration, bool) {
	if m.confirmedAt.IsZero() {
		return 0, false
	}
	return m.now.Sub(m.confirmedAt), true
}

// acceptConfirmationAge takes over a later confirmation of the same version from a
// peer. The age is in seconds; 0 means that it is not known.
func (m *Machine) acceptConfirmationAge(age uint32) {
	if age == 0 {
		return
	}
	if at := m.now.Add(-time.Duration(age) * time.Second); at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// confirmationAge returns the age of the last confirmation in seconds, rounded up, or 0
// if it is not known.
func (m *Machine) confirmationAge() uint32 {
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
