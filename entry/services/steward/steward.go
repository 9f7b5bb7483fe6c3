// Package steward joins the state machines of an entry's control part:
// membership, leases and configuration. It passes on what each decides to the
// others, and has no sockets, goroutines or clock; see [Machine.Step].
package steward

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/configurer"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
	"github.com/redwingledge/redwingledge/entry/services/leaser"
)

// Settings configure a Machine.
type Settings struct {
	gossiper.Settings
	// Control are the gRPC addresses of the control replicas.
	Control []netip.AddrPort
	Lease   time.Duration
}

// Machine is the control part of one entry. It is not safe for concurrent use.
type Machine struct {
	now        time.Time
	gossiper   *gossiper.Machine
	leaser     *leaser.Machine
	configurer *configurer.Machine
	joined     bool
	out        []Output
}

// New returns a Machine that starts at now. All its choices come from random.
func New(settings Settings, random *rand.Rand, now time.Time) *Machine {
	if settings.Lease == 0 {
		settings.Lease = leaser.DefaultLease
	}
	return &Machine{
		now:      now,
		gossiper: gossiper.New(settings.Settings, rand.New(rand.NewPCG(random.Uint64(), 1)), now),
		leaser:   leaser.New(leaser.Settings{Name: settings.Name, DataCentre: settings.DataCentre, Lease: settings.Lease}, now),
		configurer: configurer.New(configurer.Settings{
			Name: settings.Name, DataCentre: settings.DataCentre, Region: settings.Region, Control: settings.Control,
		}, rand.New(rand.NewPCG(random.Uint64(), 2)), now),
	}
}

// Step applies one input at a time that must not go backwards, and returns what
// is to be done and what has changed.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if now.After(m.now) {
		m.now = now
	}
	m.out = nil
	switch in := input.(type) {
	case Tick:
		m.gossip(gossiper.Tick{})
		m.lease(leaser.Tick{})
		m.configure(configurer.Tick{})
	case Received:
		m.receive(in.Envelope)
	case Announced:
		if !m.joined {
			// Without the records a known backend server would look new, and
			// would start its ramp again.
			m.emit(Answered{NotJoined: true})
			break
		}
		m.lease(leaser.Announced{Announcement: in.Announcement})
	case Observed:
		m.lease(leaser.Observed{ID: in.ID, Responses: in.Responses, Failures: in.Failures})
	case Polled:
		m.configure(configurer.Polled{Catalog: in.Catalog, Failed: in.Failed})
	case Fetched:
		m.configure(configurer.Fetched{Address: in.Address, Catalog: in.Catalog, Failed: in.Failed})
	case Undelivered:
		for _, batch := range batches(in.Envelope) {
			m.lease(leaser.BatchFailed{Batch: batch})
		}
	case Leave:
		m.gossip(gossiper.Leave{})
	}
	return m.out
}

// Self returns the entry's own member.
func (m *Machine) Self() messenger.Member { return m.gossiper.Self() }

// Version returns the configuration version held, 0 for none.
func (m *Machine) Version() uint64 { return m.configurer.Version() }

// VersionAge returns how long ago control was last known to hold no newer version
// than this entry. It returns false if that is not known.
func (m *Machine) VersionAge() (time.Duration, bool) { return m.gossiper.VersionAge() }

// Counts returns the counters of the parts.
func (m *Machine) Counts() (gossiper.Counts, leaser.Counts, configurer.Counts) {
	return m.gossiper.Counts(), m.leaser.Counts(), m.configurer.Counts()
}

func (m *Machine) emit(out Output) { m.out = append(m.out, out) }

// receive splits an envelope between the parts.
func (m *Machine) receive(env messenger.Envelope) {
	m.gossip(gossiper.Received{Envelope: env})
	for _, batch := range batches(env) {
		m.lease(leaser.BatchReceived{Batch: batch})
	}
}

func batches(env messenger.Envelope) []messenger.RenewalBatch {
	var found []messenger.RenewalBatch
	for _, msg := range env.Messages {
		if batch, ok := msg.(messenger.RenewalBatch); ok {
			found = append(found, batch)
		}
	}
	return found
}

func (m *Machine) gossip(in gossiper.Input) {
	for _, out := range m.gossiper.Step(m.now, in) {
		switch out := out.(type) {
		case gossiper.Send:
			m.emit(Send{To: out.To, Envelope: out.Envelope})
		case gossiper.MembersChanged:
			m.emit(MembersChanged{Members: out.Members})
			m.lease(leaser.MembersChanged{Members: out.Members, Lost: out.Lost})
			m.configure(configurer.MembersChanged{Members: out.Members})
		case gossiper.RecordUpdated:
			m.lease(leaser.RecordUpdated{Record: out.Record})
		case gossiper.RecordRemoved:
			m.lease(leaser.RecordRemoved{ID: out.ID})
		case gossiper.VersionHeard:
			m.configure(configurer.VersionHeard{Version: out.Version, From: out.From})
		case gossiper.MajorityHeard:
			m.configure(configurer.MajorityHeard{Version: out.Version})
		case gossiper.SummaryHeard:
			m.emit(SummaryHeard{Summary: out.Summary})
		case gossiper.Joined:
			m.joined = true
			m.emit(Joined{})
		case gossiper.Thawed:
			m.emit(Thawed{Gap: out.Gap})
			m.configure(configurer.Thawed{})
		case gossiper.Superseded:
			m.emit(Superseded{By: out.By})
		}
	}
}

func (m *Machine) lease(in leaser.Input) {
	for _, out := range m.leaser.Step(m.now, in) {
		switch out := out.(type) {
		case leaser.Decided:
			m.gossip(gossiper.RecordChanged{Record: out.Record})
		case leaser.Shown:
			m.emit(RecordShown{Record: out.Record})
		case leaser.Removed:
			m.emit(RecordRemoved{ID: out.ID})
		case leaser.Forward:
			m.emit(Send{To: out.To.Address, Envelope: messenger.Envelope{
				From: m.Self().Name, Incarnation: m.Self().Incarnation, Messages: []messenger.Message{out.Batch},
			}})
		case leaser.Answered:
			m.emit(Answered{Stale: out.Stale, AddressUser: out.AddressUser})
		}
	}
}

func (m *Machine) configure(in configurer.Input) {
	for _, out := range m.configurer.Step(m.now, in) {
		switch out := out.(type) {
		case configurer.Poll:
			m.emit(Poll{Address: out.Address, Known: out.Known})
		case configurer.Fetch:
			m.emit(Fetch{Address: out.Address, Known: out.Known})
		case configurer.CatalogChanged:
			m.emit(CatalogChanged{Catalog: out.Catalog})
			m.gossip(gossiper.VersionChanged{Version: out.Catalog.Version})
			m.gossip(gossiper.RemotesChanged{Addresses: out.Remotes})
		case configurer.Confirmed:
			m.gossip(gossiper.VersionConfirmed{})
		case configurer.Ready:
			m.emit(Ready{})
		}
	}
}
