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
	// Flows bounds the flow cache.
	Flows int
	// Hold is the time from learning of a change until it becomes active. It must
	// be twice as long as gossip takes to reach all entries: then no entry activates
	// a change before all have heard of it and of those that overtook it.
	Hold time.Duration
	// SettleDelay is the time from activation until digests are published.
	SettleDelay time.Duration
	// QueryLimit bounds the wait for answers to an owner or flow query.
	QueryLimit time.Duration
	// FreezeLimit is the clock jump that counts as a freeze of the process.
	FreezeLimit time.Duration
	// HeldPackets bounds the packets that wait for answers.
	HeldPackets int
	// PlacementBudget and DigestBudget bound the bytes sent per second.
	PlacementBudget int
	DigestBudget    int
	// SilenceAge is the time without a response, in seconds, after which a flow may
	// be silent.
	SilenceAge uint32
	Timeouts   tracker.Timeouts
}

// DefaultConfig returns the parameters of docs/design.md for an entry.
func DefaultConfig(name, dataCentre string) Config {
	return Config{
		Name: name, DataCentre: dataCentre, Flows: 400_000,
		Hold: time.Second, SettleDelay: 3 * time.Second, QueryLimit: 100 * time.Millisecond,
		FreezeLimit: time.Second, HeldPackets: 1024,
		PlacementBudget: 1500, DigestBudget: 2000, SilenceAge: 10,
		Timeouts: tracker.DefaultTimeouts,
	}
}

// mode is what the entry may do.
type mode uint8

const (
	// modeStarting relays every packet until the state is current.
	modeStarting mode = iota
	modeReady
	// modeLeaving forwards packets but owns no flows.
	modeLeaving
)

// self is the index of the entry itself, none that of no entry.
const (
	none uint16 = 0
	self uint16 = 1
)

type backend struct {
	id      announcer.ID
	hash    uint64
	service uint16
	record  announcer.Record
	// isPresent is set while there is a record. A backend server that only a message
	// has named has none.
	isPresent  bool
	isTakenOut bool
	// weight is that of the newest view, which may still be pending.
	weight    uint64
	lastReply uint32
}

type entry struct {
	name       string
	hash       uint64
	dataCentre string
	isLive     bool
	isReady    bool
	// isStarting is set if it is not ready but will be.
	isStarting bool
	// standing is the sequence of the newest Standing, 0 if none came.
	standing uint64
	askedAt  time.Time
	// silentSince is when the oldest query was sent since the entry's last message, if one
	// was not answered in time.
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
	Forwarded, Relayed, Held, Dropped, Reset uint64
	// DroppedHints counts hints left out for lack of budget. Their packets are
	// relayed again.
	DroppedHints uint64
	// Queried counts the flows asked about.
	Queried uint64
}

// Machine places the flows that reach one entry. It is not safe for concurrent
// use: Decide, Observe and Step must be called from one goroutine.
type Machine struct {
	config   Config
	now      time.Time
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
	start    starter
	hasView  bool
	asks     asker
	silence  silencer
	// replaced are flows opened again on another target, to be told to all peers.
	replaced        []placement
	placementTokens bucketOfTokens
	digestTokens    bucketOfTokens
	nextStream      uint64
	nextPeer        int
	exceptionsAt    time.Time
	// standing is the sequence of the own standing, and announceAt the times at
	// which it is sent to all.
	standing   uint64
	announceAt []time.Time
	leaving    leaver
}

// NewMachine returns a Machine that starts at the given time.
func NewMachine(config Config, now time.Time) *Machine {
	m := &Machine{
		config: config, now: now,
		cache:           tracker.NewCache(config.Flows, now, config.Timeouts),
		backends:        make([]backend, 1),
		entries:         make([]entry, 1),
		serviceByName:   make(map[string]uint16),
		backendByID:     make(map[announcer.ID]uint32),
		backendByHash:   make(map[uint64]uint32),
		entryByName:     make(map[string]uint16),
		entryByHash:     make(map[uint64]uint16),
		placementTokens: newTokens(config.PlacementBudget, now),
		digestTokens:    newTokens(config.DigestBudget, now),
		exceptionsAt:    now,
		nextStream:      uint64(max(now.UnixMilli(), 0)),
	}
	m.sec = m.cache.Seconds(now)
	m.asks = newAsker(config.HeldPackets)
	m.internEntry(Member{Name: config.Name, DataCentre: config.DataCentre})
	m.entries[self].isLive = true
	m.beginStart()
	return m
}

// GetCounters returns the counters.
func (m *Machine) GetCounters() Counters { return m.counters }

// IsReady reports whether the entry may own flows.
func (m *Machine) IsReady() bool { return m.mode == modeReady }

// ServiceIndex returns the index of a service for Packet. An index stays valid
// for the life of the Machine.
func (m *Machine) ServiceIndex(name string) (uint16, bool) {
	i, ok := m.serviceByName[name]
	return i, ok && m.services[i].isOpen
}

// BackendIndex returns the index of a backend server for Reply.
func (m *Machine) BackendIndex(id announcer.ID) (uint32, bool) {
	i, ok := m.backendByID[id]
	return i, ok && m.backends[i].isPresent
}

// GetBackend returns the record of a backend server that a Decision names.
func (m *Machine) GetBackend(index uint32) announcer.Record { return m.backends[index].record }

// GetEntry returns the name of an entry that a Decision names.
func (m *Machine) GetEntry(index uint16) string { return m.entries[index].name }

// HashEntry returns the hash of an entry's name for Packet.RelayedBy.
func HashEntry(name string) uint64 { return hasher.String(name) }

// ContestedBuckets returns the number of buckets of a service that are not
// settled.
func (m *Machine) ContestedBuckets(name string) int {
	if i, ok := m.serviceByName[name]; ok {
		return m.services[i].countContested()
	}
	return 0
}

// observeClock takes over the time and notices a freeze of the process.
func (m *Machine) observeClock(now time.Time) {
	jump := now.Sub(m.now)
	if jump < 0 {
		// Lines hold times in the past only.
		return
	}
	m.now = now
	m.sec = m.cache.Seconds(now)
	if jump > m.config.FreezeLimit && m.mode == modeReady {
		m.thaw()
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

// hashBackend returns the identity hash of a backend server, equal at all entries.
func hashBackend(id announcer.ID) uint64 {
	return hasher.Pair(hasher.String(id.Service), hasher.String(id.Host))
}

// maxNamed bounds the backend servers that messages name without a record.
const maxNamed = 1 << 16

// internHash returns the index of a backend server that a message names, even if
// its record has not come yet. It returns false if there are too many.
func (m *Machine) internHash(hash uint64) (uint32, bool) {
	if i, ok := m.backendByHash[hash]; ok {
		return i, true
	}
	if len(m.backends) >= maxNamed {
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

// isUsable reports whether packets of a service may go to a backend server. Every
// forwarded packet passes this check, so that none reaches another service.
func (m *Machine) isUsable(target uint32, service uint16) bool {
	b := &m.backends[target]
	return target != 0 && b.isPresent && b.service == service && !b.isTakenOut
}

// bucketOfTokens limits bytes per second. A message may overdraw it.
type bucketOfTokens struct {
	rate, tokens float64
	at           time.Time
}

// burstSeconds is the time whose unused budget may be spent at once.
const burstSeconds = 1

func newTokens(rate int, now time.Time) bucketOfTokens {
	return bucketOfTokens{rate: float64(rate), tokens: float64(rate) * burstSeconds, at: now}
}

func (t *bucketOfTokens) has(now time.Time) bool {
	if passed := now.Sub(t.at).Seconds(); passed > 0 {
		t.tokens = min(t.tokens+passed*t.rate, t.rate*burstSeconds)
		t.at = now
	}
	return t.tokens > 0
}

func (t *bucketOfTokens) spend(bytes int) { t.tokens -= float64(bytes) }
