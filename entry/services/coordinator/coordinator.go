// Package coordinator combines the state machines for the membership, the leases and the
// configuration of an entry. It passes the outputs of each one to the others that need them, and
// has no sockets, goroutines or clock; see [Machine.Step].
package coordinator

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
	// Control holds the gRPC addresses of the control replicas.
	Control []netip.AddrPort
	// Lease is the duration of a lease; 0 stands for leaser.DefaultLease.
	Lease time.Duration
}

// Machine is the combined state machine of one entry. It is not safe for concurrent use.
type Machine struct {
	now        time.Time
	gossiper   *gossiper.Machine
	leaser     *leaser.Machine
	configurer *configurer.Machine
	joined     bool
	outputs    []Output
}

// New returns a Machine that starts at now. It takes all random choices from random.
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

// Step applies one input and returns the resulting requests and notifications. The time
// must not go backwards between calls; an earlier time counts as the latest one.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if now.After(m.now) {
		m.now = now
	}
	m.outputs = nil
	switch in := input.(type) {
	case Tick:
		m.stepGossiper(gossiper.Tick{})
		m.stepLeaser(leaser.Tick{})
		m.stepConfigurer(configurer.Tick{})
	case EnvelopeReceived:
		m.handleEnvelope(in.Envelope)
	case AnnouncementReceived:
		if !m.joined {
			// Without the records, a known backend server would be treated as new
			// and would restart its ramp.
			m.emit(Answered{NotJoined: true})
			break
		}
		m.stepLeaser(leaser.AnnouncementReceived{Announcement: in.Announcement})
	case Observed:
		m.stepLeaser(leaser.Observed{ID: in.ID, Responses: in.Responses, Failures: in.Failures})
	case Polled:
		m.stepConfigurer(configurer.Polled{Catalog: in.Catalog, Failed: in.Failed})
	case Fetched:
		m.stepConfigurer(configurer.Fetched{Address: in.Address, Catalog: in.Catalog, Failed: in.Failed})
	case DeliveryFailed:
		for _, batch := range renewalBatches(in.Envelope) {
			m.stepLeaser(leaser.BatchFailed{Batch: batch})
		}
	case Leave:
		m.stepGossiper(gossiper.Leave{})
	}
	return m.outputs
}

// Self returns the member that represents this entry.
func (m *Machine) Self() messenger.Member { return m.gossiper.Self() }

// Version returns the version of the current configuration, 0 for none.
func (m *Machine) Version() uint64 { return m.configurer.Version() }

// VersionAge returns the time since control was last known to have no newer version
// than this entry. It returns false if that time is unknown.
func (m *Machine) VersionAge() (time.Duration, bool) { return m.gossiper.VersionAge() }

// Counts returns the counters of the combined state machines.
func (m *Machine) Counts() (gossiper.Counts, leaser.Counts, configurer.Counts) {
	return m.gossiper.Counts(), m.leaser.Counts(), m.configurer.Counts()
}

func (m *Machine) emit(out Output) { m.outputs = append(m.outputs, out) }

// handleEnvelope passes an envelope to the membership, and its renewal batches to the leases.
func (m *Machine) handleEnvelope(env messenger.Envelope) {
	m.stepGossiper(gossiper.Received{Envelope: env})
	for _, batch := range renewalBatches(env) {
		m.stepLeaser(leaser.BatchReceived{Batch: batch})
	}
}

func renewalBatches(env messenger.Envelope) []messenger.RenewalBatch {
	var batches []messenger.RenewalBatch
	for _, msg := range env.Messages {
		if batch, ok := msg.(messenger.RenewalBatch); ok {
			batches = append(batches, batch)
		}
	}
	return batches
}

func (m *Machine) stepGossiper(in gossiper.Input) {
	for _, out := range m.gossiper.Step(m.now, in) {
		switch out := out.(type) {
		case gossiper.Send:
			m.emit(Send{To: out.To, Envelope: out.Envelope})
		case gossiper.MembersChanged:
			m.emit(MembersChanged{Members: out.Members})
			m.stepLeaser(leaser.MembersChanged{Members: out.Members, RecentDeaths: out.RecentDeaths})
			m.stepConfigurer(configurer.MembersChanged{Members: out.Members})
		case gossiper.RecordUpdated:
			m.stepLeaser(leaser.RecordUpdated{Record: out.Record})
		case gossiper.RecordRemoved:
			m.stepLeaser(leaser.RecordRemoved{ID: out.ID})
		case gossiper.NewerVersionReported:
			m.stepConfigurer(configurer.VersionReported{Version: out.Version, From: out.From})
		case gossiper.MajorityReported:
			m.stepConfigurer(configurer.MajorityReported{Version: out.Version})
		case gossiper.SummaryReceived:
			m.emit(SummaryReceived{Summary: out.Summary})
		case gossiper.Joined:
			m.joined = true
			m.emit(Joined{})
		case gossiper.Resumed:
			m.emit(Resumed{Gap: out.Gap})
			m.stepConfigurer(configurer.Resumed{})
		case gossiper.NameConflictDetected:
			m.emit(NameConflictDetected{By: out.By})
		}
	}
}

func (m *Machine) stepLeaser(in leaser.Input) {
	for _, out := range m.leaser.Step(m.now, in) {
		switch out := out.(type) {
		case leaser.RecordChanged:
			m.stepGossiper(gossiper.RecordChanged{Record: out.Record})
		case leaser.RecordPublished:
			m.emit(RecordPublished{Record: out.Record})
		case leaser.Removed:
			m.emit(RecordRemoved{ID: out.ID})
		case leaser.Forward:
			m.emit(Send{To: out.To.Address, Envelope: messenger.Envelope{
				From: m.Self().Name, Incarnation: m.Self().Incarnation, Messages: []messenger.Message{out.Batch},
			}})
		case leaser.Answered:
			m.emit(Answered{Stale: out.Stale, AddressOwner: out.AddressOwner})
		}
	}
}

func (m *Machine) stepConfigurer(in configurer.Input) {
	for _, out := range m.configurer.Step(m.now, in) {
		switch out := out.(type) {
		case configurer.Poll:
			m.emit(Poll{Address: out.Address, Known: out.Known})
		case configurer.Fetch:
			m.emit(Fetch{Address: out.Address, Known: out.Known})
		case configurer.CatalogChanged:
			m.emit(CatalogChanged{Catalog: out.Catalog})
			m.stepGossiper(gossiper.VersionChanged{Version: out.Catalog.Version})
			m.stepGossiper(gossiper.OtherRegionsChanged{Addresses: out.OtherRegions})
		case configurer.Confirmed:
			m.stepGossiper(gossiper.VersionConfirmed{})
		case configurer.Ready:
			m.emit(Ready{})
		}
	}
}
