// Package leaser decides on the records of backend servers: it turns
// announcements into records, times the leases of the records that this entry
// holds, and raises and restarts their ramps. It has no sockets, goroutines or
// clock; see [Machine.Step].
//
// Any entry applies an announcement that changes a record, so that a change does
// not wait for the holder. Renewals without a change only go to the holder.
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
	// DefaultLease is how long a record stays in force without a renewal.
	DefaultLease = 10 * time.Second

	// rampPeriod is the least time at one ramp step.
	rampPeriod = 5 * time.Second
	// flushPeriod is how long renewals for one holder are gathered.
	flushPeriod = time.Second
	// repeatPeriod is how long a forwarded renewal is repeated in later batches.
	repeatPeriod = 4 * time.Second
	// grace is how long after the lease a forwarded renewal may still arrive. A
	// backend server that renews three times per lease may so lose two renewals.
	grace = 2 * time.Second

	// coldFailures and the share of failures, one half, tell a backend server
	// that turned cold from one that resets single connections.
	coldFailures = 3
	// thawThreshold is the gap between ticks that counts as a freeze.
	thawThreshold = time.Second
)

// Settings configure a Machine.
type Settings struct {
	Name       string
	DataCentre string
	Lease      time.Duration
}

// Counts are the counters of a Machine.
type Counts struct {
	Applied, Renewed, Forwarded, Stale          uint64
	Lapses, Restores, RampSteps, ColdRestarts   uint64
	Adoptions, RenewalsMisdirected, Unreachable uint64
	AddressConflicts, Retried                   uint64
}

// Machine holds the leases of one entry. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	now      time.Time
	lastTick time.Time
	members  map[string]messenger.Member
	byCentre map[string][]string
	all      []string
	lost     int
	// absentSince tells when a former member was last live.
	absentSince map[string]time.Time
	records     map[announcer.ID]announcer.Record
	leases      map[announcer.ID]*lease
	// unreachable holds the records that are shown as lapsed because nobody who
	// can be reached times their lease.
	unreachable map[announcer.ID]bool
	pending     map[string]*batch
	sent        map[announcer.ID]sentRenewal
	flushAt     time.Time
	reachableAt time.Time
	counts      Counts
	out         []Output
}

// New returns a Machine that starts at now.
func New(settings Settings, now time.Time) *Machine {
	return &Machine{
		settings: settings, now: now, lastTick: now,
		members: make(map[string]messenger.Member), byCentre: make(map[string][]string),
		absentSince: make(map[string]time.Time), records: make(map[announcer.ID]announcer.Record),
		leases: make(map[announcer.ID]*lease), unreachable: make(map[announcer.ID]bool), pending: make(map[string]*batch),
		sent: make(map[announcer.ID]sentRenewal),
	}
}

// Step applies one input at a time that must not go backwards, and returns what
// was decided.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if now.After(m.now) {
		m.now = now
	}
	m.out = nil
	switch in := input.(type) {
	case Tick:
		m.tick()
	case MembersChanged:
		m.changeMembers(in)
	case Announced:
		m.announce(in.Announcement)
	case RecordUpdated:
		m.learn(in.Record)
	case RecordRemoved:
		m.remove(in.ID)
	case Observed:
		m.observe(in)
	case BatchReceived:
		m.acceptBatch(in.Batch)
	case BatchFailed:
		m.retry(in.Batch)
	}
	return m.out
}

// Counts returns the counters.
func (m *Machine) Counts() Counts { return m.counts }

func (m *Machine) emit(out Output) { m.out = append(m.out, out) }

// holderOf returns the first live entry in rendezvous order by host, in the
// backend server's data centre or, if that has none, in the region.
func (m *Machine) holderOf(host, dataCentre string) string {
	names := m.byCentre[dataCentre]
	if len(names) == 0 {
		names = m.all
	}
	return ranker.First(names, hasher.String(host))
}

func (m *Machine) changeMembers(in MembersChanged) {
	former := m.members
	m.members, m.byCentre, m.all, m.lost = make(map[string]messenger.Member), make(map[string][]string), nil, in.Lost
	for _, p := range in.Members {
		m.members[p.Name] = p
		m.byCentre[p.DataCentre] = append(m.byCentre[p.DataCentre], p.Name)
		m.all = append(m.all, p.Name)
		delete(m.absentSince, p.Name)
	}
	for name := range former {
		if _, live := m.members[name]; !live {
			m.absentSince[name] = m.now
		}
	}
	for _, id := range m.sortedIDs() {
		m.checkHolding(m.records[id])
		m.checkReachable(m.records[id])
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

// announce applies an announcement that changes the record, or renews the lease.
func (m *Machine) announce(a announcer.Announcement) {
	known, ok := m.records[a.ID]
	held := m.leases[a.ID]
	if !ok || a.Address != known.Address {
		if user, taken := m.findUser(a); taken {
			m.counts.AddressConflicts++
			m.emit(Answered{AddressUser: user})
			return
		}
	}
	switch {
	case !ok:
		m.applyNew(a)
	case a.Incarnation < known.Incarnation,
		a.Incarnation == known.Incarnation && a.Sequence < known.Sequence,
		// A resend gets the first answer, but only if it still is in force.
		a.Incarnation == known.Incarnation && a.Sequence == known.Sequence && (known.Lapsed || a != known.Announcement),
		held != nil && a.Incarnation == held.incarnation && a.Sequence < held.sequence:
		m.counts.Stale++
		m.emit(Answered{Stale: true})
		return
	case a.Incarnation > known.Incarnation:
		m.applyNew(a)
	case known.Lapsed && a.Sequence > known.Sequence:
		m.counts.Restores++
		m.applyChange(a, known, 0)
	case a.Sequence > known.Sequence && differs(a, known.Announcement):
		m.applyChange(a, known, known.RampStep)
	default:
		m.renew(a)
	}
	m.emit(Answered{})
}

// findUser returns another backend server in force at the address of a. Packets
// from an address belong to one service only.
func (m *Machine) findUser(a announcer.Announcement) (announcer.ID, bool) {
	for id, record := range m.records {
		if record.Address == a.Address && id != a.ID && !record.Lapsed && record.State != announcer.StateLeaving {
			return id, true
		}
	}
	return announcer.ID{}, false
}

// differs reports whether an announcement says more than "still here".
func differs(a, b announcer.Announcement) bool {
	a.Sequence, b.Sequence = 0, 0
	return a != b
}

func (m *Machine) applyNew(a announcer.Announcement) {
	m.counts.Applied++
	m.decide(announcer.Record{Announcement: a, Holder: m.holderOf(a.Host, a.DataCentre), Epoch: 1})
}

func (m *Machine) applyChange(a announcer.Announcement, known announcer.Record, ramp uint8) {
	m.counts.Applied++
	changed := known.WithHolder(m.holderOf(a.Host, a.DataCentre))
	changed.Announcement, changed.Lapsed, changed.RampStep = a, false, ramp
	m.decide(changed)
}

// renew keeps the record as it is. Only its holder needs to know.
func (m *Machine) renew(a announcer.Announcement) {
	holder := m.holderOf(a.Host, a.DataCentre)
	renewal := messenger.Renewal{Service: a.Service, Host: a.Host, Incarnation: a.Incarnation, Sequence: a.Sequence}
	if holder == m.settings.Name {
		m.renewHeld(renewal)
		return
	}
	m.counts.Forwarded++
	m.batchFor(holder).renewals[a.ID] = renewal
}

// decide stores a record that this entry has changed and spreads it.
func (m *Machine) decide(record announcer.Record) {
	m.emit(Decided{Record: record})
	m.learn(record)
}

// learn takes over a record that this entry or another one has decided on.
func (m *Machine) learn(record announcer.Record) {
	if known, ok := m.records[record.ID]; ok && record.Compare(known) < 0 {
		return
	}
	m.records[record.ID] = record
	m.checkHolding(record)
	if record, ok := m.records[record.ID]; ok {
		m.show(record)
	}
}

func (m *Machine) remove(id announcer.ID) {
	delete(m.records, id)
	delete(m.leases, id)
	delete(m.unreachable, id)
	m.emit(Removed{ID: id})
}
