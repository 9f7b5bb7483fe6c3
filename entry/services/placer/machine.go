package placer

import (
	"time"

	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// Config holds the parameters of a Machine.
type Config struct {
	// Name and DataCentre are those of the entry.
	Name       string
	DataCentre string
	// MaxFlows is the capacity of the flow cache.
	MaxFlows int
	// ActivationDelay is the time from learning of a change until the new table becomes active. It
	// must be at least twice the time that gossip takes to reach all entries. Then no entry
	// activates a change before all have received it and any later change that arrived before it.
	ActivationDelay time.Duration
	// SettleDelay is the time from the activation of a table until digests are published.
	SettleDelay time.Duration
	// QueryTimeout bounds the wait for answers to an owner query or a flow query.
	QueryTimeout time.Duration
	// FreezeThreshold is the clock jump above which the process counts as having been frozen.
	FreezeThreshold time.Duration
	// MaxHeldPackets bounds the packets held until peers have answered.
	MaxHeldPackets int
	// PlacementBudget and DigestBudget bound the bytes sent per second.
	PlacementBudget int
	DigestBudget    int
	Timeouts        tracker.Timeouts
}

// DefaultConfig returns the parameters of docs/design.md for an entry.
func DefaultConfig(name, dataCentre string) Config {
	return Config{
		Name: name, DataCentre: dataCentre, MaxFlows: 400_000,
		ActivationDelay: time.Second, SettleDelay: 3 * time.Second, QueryTimeout: 100 * time.Millisecond,
		FreezeThreshold: time.Second, MaxHeldPackets: 1024,
		PlacementBudget: 1500, DigestBudget: 2000,
		Timeouts: tracker.DefaultTimeouts,
	}
}

// mode is the operating mode of the entry.
type mode uint8

const (
	// modeStarting relays every packet until the state is current.
	modeStarting mode = iota
	modeReady
	// modeLeaving forwards packets but owns no flows.
	modeLeaving
)

// self is the index of the entry itself. noEntry stands for no entry.
const (
	noEntry uint16 = 0
	self    uint16 = 1
)

type backend struct {
	id      announcer.ID
	hash    uint64
	service uint16
	record  announcer.Record
	// isPresent is set while the backend server has a record. One that is known only from messages
	// has none.
	isPresent  bool
	isTakenOut bool
	// weight is the weight in the newest view, which may still be pending.
	weight uint64
}

type entry struct {
	name       string
	hash       uint64
	dataCentre string
	isLive     bool
	isReady    bool
	// isStarting is set if the entry is not ready yet, but will be.
	isStarting bool
	// readinessSequence is the sequence of the newest readiness message, 0 if none was received.
	readinessSequence    uint64
	readinessRequestedAt time.Time
	// silentSince is the time of the oldest query, since the last message from the entry, that it
	// has not answered in time. It is zero if there is none.
	silentSince time.Time
	// transferred holds the services whose transfer is complete.
	transferred map[uint16]bool
	// copies and hints wait for the next Placements message.
	copies   []placement
	hints    []placement
	queuedAt time.Time
	outbox   outbox
}

// Counters count what a Machine has done.
type Counters struct {
	Forwarded, Relayed, Held, Dropped uint64
	// DroppedPlacements counts the copies and hints dropped because the queue of a peer was
	// full, for lack of budget. Packets of flows without a hint are relayed again.
	DroppedPlacements uint64
	// QueriedFlows counts the flows that peers were queried about.
	QueriedFlows uint64
}

// Machine places the flows that reach one entry. It is not safe for concurrent use: Decide, Observe
// and Step must be called from one goroutine.
type Machine struct {
	config Config
	now    time.Time
	// sec is now in seconds of the clock of the cache.
	sec      uint32
	mode     mode
	cache    *tracker.Cache
	catalog  cataloger.Catalog
	services []*service
	backends []backend
	entries  []entry

	serviceByName map[string]uint16
	backendByID   map[announcer.ID]uint32
	backendByHash map[uint64]uint32
	entryByName   map[string]uint16
	entryByHash   map[uint64]uint16

	outputs  []Output
	counters Counters
	start    startState
	hasView  bool
	resolver flowResolver
	// replaced are the flows that were reopened on another target and not yet reported to all
	// peers.
	replaced        []placement
	placementTokens tokenBucket
	digestTokens    tokenBucket
	nextStream      uint64
	// lastPeer is the index of the entry that was visited last for sending, so that peers take turns
	// within the budgets.
	lastPeer          int
	exceptionsSweptAt time.Time
	// readinessSequence is the sequence of this entry's readiness, and announceTimes are the times
	// at which it is sent to all peers.
	readinessSequence uint64
	announceTimes     []time.Time
	leaving           leaveState
}

// NewMachine returns a Machine that starts at the given time.
func NewMachine(config Config, now time.Time) *Machine {
	m := &Machine{
		config: config, now: now,
		cache:             tracker.NewCache(config.MaxFlows, now, config.Timeouts),
		backends:          make([]backend, 1),
		entries:           make([]entry, 1),
		serviceByName:     make(map[string]uint16),
		backendByID:       make(map[announcer.ID]uint32),
		backendByHash:     make(map[uint64]uint32),
		entryByName:       make(map[string]uint16),
		entryByHash:       make(map[uint64]uint16),
		placementTokens:   newTokenBucket(config.PlacementBudget, now),
		digestTokens:      newTokenBucket(config.DigestBudget, now),
		exceptionsSweptAt: now,
		nextStream:        uint64(max(now.UnixMilli(), 0)),
	}
	m.sec = m.cache.Seconds(now)
	m.resolver = newFlowResolver(config.MaxHeldPackets)
	m.internEntry(Member{Name: config.Name, DataCentre: config.DataCentre})
	m.entries[self].isLive = true
	m.beginStart()
	return m
}

// GetCounters returns the counters.
func (m *Machine) GetCounters() Counters { return m.counters }

// IsReady reports whether the entry may own flows.
func (m *Machine) IsReady() bool { return m.mode == modeReady }

// ServiceIndex returns the index of a service for Packet.Service. An index stays valid as long as
// the Machine exists.
func (m *Machine) ServiceIndex(name string) (uint16, bool) {
	i, ok := m.serviceByName[name]
	return i, ok && m.services[i].isConfigured
}

// BackendIndex returns the index of a backend server for Reply.Backend.
func (m *Machine) BackendIndex(id announcer.ID) (uint32, bool) {
	i, ok := m.backendByID[id]
	return i, ok && m.backends[i].isPresent
}

// GetBackend returns the record of the backend server that Decision.Backend refers to.
func (m *Machine) GetBackend(index uint32) announcer.Record { return m.backends[index].record }

// GetEntry returns the name of the entry that Decision.Entry refers to.
func (m *Machine) GetEntry(index uint16) string { return m.entries[index].name }

// HashEntry returns the hash of an entry's name for Packet.RelayedBy.
func HashEntry(name string) uint64 { return hasher.String(name) }

// ContestedBuckets returns the number of buckets of a service that are not settled.
func (m *Machine) ContestedBuckets(name string) int {
	if i, ok := m.serviceByName[name]; ok {
		return m.services[i].countContested()
	}
	return 0
}

// advanceClock sets the current time and detects a freeze of the process.
func (m *Machine) advanceClock(now time.Time) {
	jump := now.Sub(m.now)
	if jump < 0 {
		// Times in the flow cache must not lie in the future.
		return
	}
	m.now = now
	m.sec = m.cache.Seconds(now)
	if jump > m.config.FreezeThreshold && m.mode == modeReady {
		m.restartAfterFreeze()
	}
}

func (m *Machine) internEntry(member Member) uint16 {
	i, ok := m.entryByName[member.Name]
	if !ok {
		i = uint16(len(m.entries))
		m.entries = append(m.entries, entry{name: member.Name, hash: HashEntry(member.Name)})
		m.entryByName[member.Name] = i
		m.entryByHash[m.entries[i].hash] = i
	}
	m.entries[i].dataCentre = member.DataCentre
	return i
}

// hashBackend returns the identity hash of a backend server. It is the same at all entries.
func hashBackend(id announcer.ID) uint64 {
	return hasher.Pair(hasher.String(id.Service), hasher.String(id.Host))
}

// maxBackends bounds the table of backend servers against growth from messages that name unknown
// ones.
const maxBackends = 1 << 16

// internHash returns the index of the backend server that a message names, and adds it if it has no
// record yet. It returns false if there are too many backend servers.
func (m *Machine) internHash(hash uint64) (uint32, bool) {
	if i, ok := m.backendByHash[hash]; ok {
		return i, true
	}
	if len(m.backends) >= maxBackends {
		return 0, false
	}
	return m.addBackend(hash), true
}

func (m *Machine) addBackend(hash uint64) uint32 {
	i := uint32(len(m.backends))
	m.backends = append(m.backends, backend{hash: hash})
	m.backendByHash[hash] = i
	return i
}

// isUsable reports whether packets of a service may go to a backend server. Every forwarded packet
// passes this check, so that none reaches another service.
func (m *Machine) isUsable(target uint32, service uint16) bool {
	b := &m.backends[target]
	return target != 0 && b.isPresent && b.service == service && !b.isTakenOut
}

// tokenBucket limits the bytes sent per second. One message may overdraw it.
type tokenBucket struct {
	rate, tokens float64
	refilledAt   time.Time
}

// burstSeconds is the time for which unused budget accumulates.
const burstSeconds = 1

func newTokenBucket(rate int, now time.Time) tokenBucket {
	return tokenBucket{rate: float64(rate), tokens: float64(rate) * burstSeconds, refilledAt: now}
}

func (t *tokenBucket) allows(now time.Time) bool {
	if passed := now.Sub(t.refilledAt).Seconds(); passed > 0 {
		t.tokens = min(t.tokens+passed*t.rate, t.rate*burstSeconds)
		t.refilledAt = now
	}
	return t.tokens > 0
}

func (t *tokenBucket) spend(bytes int) { t.tokens -= float64(bytes) }
