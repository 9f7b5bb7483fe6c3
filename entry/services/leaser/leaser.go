// Package leaser maintains the records of backend servers: it turns announcements
// into records, tracks the leases of the records that this entry holds, and
// advances and restarts their slow start (ramp). It has no sockets, goroutines or
// clock; see [Machine.Step].
//
// Any entry applies an announcement that changes a record, so that a change does
// not wait for the holder. Renewals without a change are sent only to the holder.
package leaser

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
	"github.com/redwingledge/redwingledge/shared/modules/ranker"
)

const (
	// DefaultLease is how long a record stays active without a renewal.
	DefaultLease = 10 * time.Second

	// rampPeriod is the minimum time at one ramp step.
	rampPeriod = 5 * time.Second
	// flushInterval is the minimum time between two flushes. Renewals and observations
	// for a holder are collected in between.
	flushInterval = time.Second
	// retransmitPeriod is how long a forwarded renewal is added to later batches.
	retransmitPeriod = 4 * time.Second
	// gracePeriod is how long after the end of the lease a forwarded renewal is still
	// accepted. It lets a backend server that renews three times per lease lose two
	// renewals.
	gracePeriod = 2 * time.Second

	// rampRestartFailures is the minimum number of failures that restarts the ramp;
	// they must also be at least half of the results. Both conditions together tell a
	// failing backend server from one that resets single connections.
	rampRestartFailures = 3
	// pauseThreshold is the gap between ticks that counts as a pause of the process.
	pauseThreshold = time.Second
	// maxAnnouncementDelay is the time after which an announcement is taken to have been sent later than
	// another one was received. A backend server waits 1 s for an answer, but the network or the socket of an
	// entry may hold an announcement for longer. A backend server that another writer has displaced gets no
	// new flows until then, and must have them again within a minute.
	maxAnnouncementDelay = 30 * time.Second
)

// Settings configure a Machine.
type Settings struct {
	Name       string
	DataCentre string
	Lease      time.Duration
}

// Counts are the counters of a Machine. Metric names are derived from the field names.
// ColdRestarts counts the ramps that were restarted after failures, Reinstated the records
// that went back to an earlier announcement.
type Counts struct {
	Applied, Renewed, Forwarded, Stale          uint64
	Lapses, Restores, RampSteps, ColdRestarts   uint64
	Adoptions, RenewalsMisdirected, Unreachable uint64
	AddressConflicts, Retried, Reinstated       uint64
}

// Machine holds the leases of one entry. It is not safe for concurrent use.
type Machine struct {
	settings          Settings
	now               time.Time
	lastTick          time.Time
	members           map[string]messenger.Member
	namesByDataCentre map[string][]string
	names             []string
	recentDeaths      int
	// absentSince is the time at which a former member left the live members.
	absentSince map[string]time.Time
	records     map[announcer.ID]announcer.Record
	// announcedAt is when this entry learned of the announcement in a record. After a pause of the process
	// it starts again, since announcements may have waited in its sockets.
	announcedAt map[announcer.ID]time.Time
	addresses   addressIndex
	leases      map[announcer.ID]*lease
	// unreachable holds the records that are published as lapsed because no
	// reachable entry tracks their lease.
	unreachable map[announcer.ID]bool
	// displaced holds the records that are published as lapsed because their address belongs to
	// another one.
	displaced             map[announcer.ID]bool
	pendingBatches        map[string]*batch
	sentRenewals          map[announcer.ID]sentRenewal
	nextFlush             time.Time
	nextReachabilityCheck time.Time
	counts                Counts
	outputs               []Output
}

// New returns a Machine that starts at now.
func New(settings Settings, now time.Time) *Machine {
	return &Machine{
		settings: settings, now: now, lastTick: now,
		members: make(map[string]messenger.Member), namesByDataCentre: make(map[string][]string),
		absentSince: make(map[string]time.Time), records: make(map[announcer.ID]announcer.Record),
		announcedAt: make(map[announcer.ID]time.Time),
		addresses:   make(addressIndex), displaced: make(map[announcer.ID]bool),
		leases: make(map[announcer.ID]*lease), unreachable: make(map[announcer.ID]bool), pendingBatches: make(map[string]*batch),
		sentRenewals: make(map[announcer.ID]sentRenewal),
	}
}

// Step applies one input and returns the resulting outputs. The time must not go
// backwards between calls; an earlier time counts as the latest one.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if now.After(m.now) {
		m.now = now
	}
	m.outputs = nil
	switch in := input.(type) {
	case Tick:
		m.tick()
	case MembersChanged:
		m.updateMembers(in)
	case AnnouncementReceived:
		m.applyAnnouncement(in.Announcement)
	case RecordUpdated:
		m.storeRecord(in.Record)
	case RecordRemoved:
		m.remove(in.ID)
	case Observed:
		m.addObservation(in)
	case BatchReceived:
		m.applyBatch(in.Batch)
	case BatchFailed:
		m.requeue(in.Batch)
	}
	return m.outputs
}

// Counts returns the counters.
func (m *Machine) Counts() Counts { return m.counts }

func (m *Machine) emit(out Output) { m.outputs = append(m.outputs, out) }

// holderOf returns the live entry that rendezvous hashing selects for the host,
// among the entries of the backend server's data centre or, if it has none, of the
// region.
func (m *Machine) holderOf(host, dataCentre string) string {
	names := m.namesByDataCentre[dataCentre]
	if len(names) == 0 {
		names = m.names
	}
	return ranker.First(names, hasher.String(host))
}

func (m *Machine) updateMembers(in MembersChanged) {
	previous := m.members
	m.members, m.namesByDataCentre, m.names, m.recentDeaths = make(map[string]messenger.Member), make(map[string][]string), nil, in.RecentDeaths
	for _, member := range in.Members {
		m.members[member.Name] = member
		m.namesByDataCentre[member.DataCentre] = append(m.namesByDataCentre[member.DataCentre], member.Name)
		m.names = append(m.names, member.Name)
		delete(m.absentSince, member.Name)
	}
	for name := range previous {
		if _, live := m.members[name]; !live {
			m.absentSince[name] = m.now
		}
	}
	for _, id := range m.sortedIDs() {
		m.updateLease(m.records[id])
		m.updateReachability(m.records[id])
	}
}

func (m *Machine) sortedIDs() []announcer.ID {
	ids := make([]announcer.ID, 0, len(m.records))
	for id := range m.records {
		ids = append(ids, id)
	}
	sortIDs(ids)
	return ids
}

func sortIDs(ids []announcer.ID) {
	slices.SortFunc(ids, func(a, b announcer.ID) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
	})
}

// changeRecord stores a record that this entry has changed and has it gossiped.
func (m *Machine) changeRecord(record announcer.Record) {
	m.emit(RecordChanged{Record: record})
	m.storeRecord(record)
}

// storeRecord stores a record that this or another entry has changed, unless a newer one is known.
func (m *Machine) storeRecord(record announcer.Record) {
	known, ok := m.records[record.ID]
	if ok && record.Compare(known) < 0 {
		return
	}
	if !ok || record.Term != known.Term || record.Incarnation != known.Incarnation || record.Sequence != known.Sequence {
		m.announcedAt[record.ID] = m.now
	}
	m.records[record.ID] = record
	m.addresses.remove(known)
	m.addresses.add(record)
	m.updateLease(record)
	if record, ok := m.records[record.ID]; ok {
		m.publish(record)
		m.updateOwnership(record.Address)
	}
	if known.Address != record.Address {
		m.updateOwnership(known.Address)
	}
}

func (m *Machine) remove(id announcer.ID) {
	removed := m.records[id]
	m.addresses.remove(removed)
	delete(m.records, id)
	delete(m.announcedAt, id)
	delete(m.leases, id)
	delete(m.unreachable, id)
	delete(m.displaced, id)
	m.emit(Removed{ID: id})
	m.updateOwnership(removed.Address)
}
