package coordinator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/gossiper"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

const (
	tickPeriod      = gossiper.TickPeriod
	entryCount      = 8
	dataCentreCount = 4
)

// simulation runs entries, one control address and backend servers in virtual time.
type simulation struct {
	t           *testing.T
	random      *rand.Rand
	now         time.Time
	entries     []*entry
	servers     []*server
	events      events
	order       uint64
	lossRate    float64
	partitioned func(a, b string) bool
	control     *cataloger.Catalog
	// controlUnreachable holds the data centres that cannot reach control.
	controlUnreachable map[string]bool
}

type entry struct {
	*Machine
	dataCentre string
	stopped    bool
	live       int
	records    map[announcer.ID]announcer.Record
	catalog    *cataloger.Catalog
	ready      bool
	notJoined  bool
}

// server is a backend server that announces itself to random entries of its data centre.
type server struct {
	announcer.Announcement
	silent bool
	nextAt time.Time
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation(t *testing.T, seed uint64, servers int) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0),
		control: &cataloger.Catalog{Version: 1}, controlUnreachable: make(map[string]bool),
	}
	for i := range entryCount {
		sim.startEntry(i)
	}
	for i := range servers {
		sim.servers = append(sim.servers, &server{Announcement: announcer.Announcement{
			ID: announcer.ID{Service: "sack-orders", Host: fmt.Sprintf("host-%d", i)}, Address: address(1000 + i),
			DataCentre: fmt.Sprintf("dc-%d", i%dataCentreCount), Slots: 2, Connections: 2000, Incarnation: 1, State: announcer.StateReady,
		}})
	}
	sim.waitUntil(30*time.Second, "all entries know all entries and servers", func() bool {
		return sim.allRunning(func(e *entry) bool { return e.live == entryCount && e.ready && e.countAccepting() == servers })
	})
	return sim
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func (sim *simulation) startEntry(i int) *entry {
	dc := fmt.Sprintf("dc-%d", i%dataCentreCount)
	e := &entry{dataCentre: dc, records: make(map[announcer.ID]announcer.Record)}
	e.Machine = New(Settings{Settings: gossiper.Settings{
		Name: fmt.Sprintf("entry-%d", i), DataCentre: dc, Region: "north", Address: address(i), PacketAddress: address(i),
		Seeds: []netip.AddrPort{address(0), address(1)}, Incarnation: uint64(sim.now.UnixMilli()),
	}, Control: []netip.AddrPort{address(999)}}, rand.New(rand.NewPCG(sim.random.Uint64(), 1)), sim.now)
	if i < len(sim.entries) {
		sim.entries[i].stopped = true
		sim.entries[i] = e
	} else {
		sim.entries = append(sim.entries, e)
	}
	sim.schedule(time.Duration(sim.random.Int64N(int64(tickPeriod))), func() { sim.tick(e) })
	return e
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.events, event{at: sim.now.Add(d), order: sim.order, run: run})
}

func (sim *simulation) tick(e *entry) {
	if !e.stopped {
		sim.schedule(tickPeriod, func() { sim.tick(e) })
		sim.step(e, Tick{})
	}
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && sim.events[0].at.Before(end) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) waitUntil(limit time.Duration, what string, done func() bool) time.Duration {
	sim.t.Helper()
	start := sim.now
	for !done() {
		if sim.now.Sub(start) > limit {
			require.FailNow(sim.t, "not reached in time", "%s within %s", what, limit)
		}
		sim.run(50 * time.Millisecond)
		sim.announceDue()
	}
	return sim.now.Sub(start)
}

// runAnnouncing runs for d while the servers announce.
func (sim *simulation) runAnnouncing(d time.Duration) {
	for range int(d / (50 * time.Millisecond)) {
		sim.run(50 * time.Millisecond)
		sim.announceDue()
	}
}

// announceDue makes each server announce every third of a lease. If the entry chosen
// has stopped or has not joined yet, another one of the data centre gets the announcement.
func (sim *simulation) announceDue() {
	for _, s := range sim.servers {
		if !s.silent && !sim.now.Before(s.nextAt) {
			sim.announce(s)
		}
	}
}

func (sim *simulation) announce(s *server) {
	s.nextAt = sim.now.Add(3300 * time.Millisecond)
	s.Sequence++
	for _, i := range sim.random.Perm(len(sim.entries)) {
		if e := sim.entries[i]; !e.stopped && e.dataCentre == s.DataCentre {
			e.notJoined = false
			sim.step(e, AnnouncementReceived{Announcement: s.Announcement})
			if !e.notJoined {
				return
			}
		}
	}
}

func (sim *simulation) step(e *entry, in Input) {
	if e.stopped {
		return
	}
	for _, out := range e.Step(sim.now, in) {
		switch out := out.(type) {
		case Send:
			sim.deliver(e, out)
		case Poll:
			sim.poll(e, out)
		case Fetch:
			sim.fetch(e, out)
		case MembersChanged:
			e.live = len(out.Members)
		case RecordPublished:
			e.records[out.Record.ID] = out.Record
		case RecordRemoved:
			delete(e.records, out.ID)
		case CatalogChanged:
			require.True(sim.t, e.catalog == nil || out.Catalog.Version > e.catalog.Version, "versions must increase")
			e.catalog = out.Catalog
		case Ready:
			e.ready = true
		case Answered:
			e.notJoined = out.NotJoined
		}
	}
}

func (sim *simulation) entryAt(addr netip.AddrPort) *entry {
	for _, e := range sim.entries {
		if e.Self().Address == addr && !e.stopped {
			return e
		}
	}
	return nil
}

func (sim *simulation) isPartitioned(a, b *entry) bool {
	return sim.partitioned != nil && sim.partitioned(a.dataCentre, b.dataCentre)
}

func (sim *simulation) latency() time.Duration {
	return 4*time.Millisecond + time.Duration(sim.random.Int64N(int64(4*time.Millisecond)))
}

func (sim *simulation) deliver(from *entry, out Send) {
	to := sim.entryAt(out.To)
	if to == nil || sim.isPartitioned(from, to) || sim.random.Float64() < sim.lossRate {
		// The sender learns of the loss by the timeout of its call.
		sim.schedule(time.Second, func() { sim.step(from, DeliveryFailed{Envelope: out.Envelope}) })
		return
	}
	sim.schedule(sim.latency(), func() { sim.step(to, EnvelopeReceived{Envelope: out.Envelope}) })
}

func (sim *simulation) poll(e *entry, out Poll) {
	if sim.controlUnreachable[e.dataCentre] {
		sim.schedule(3*time.Second, func() { sim.step(e, Polled{Failed: true}) })
		return
	}
	if sim.control.Version > out.Known {
		newest := sim.control
		sim.schedule(sim.latency(), func() { sim.step(e, Polled{Catalog: newest}) })
		return
	}
	// The long poll checks for a new version until its deadline.
	deadline := sim.now.Add(2 * time.Second)
	var check func()
	check = func() {
		switch {
		case sim.control.Version > out.Known:
			sim.step(e, Polled{Catalog: sim.control})
		case sim.now.After(deadline):
			sim.step(e, Polled{})
		default:
			sim.schedule(20*time.Millisecond, check)
		}
	}
	sim.schedule(20*time.Millisecond, check)
}

func (sim *simulation) fetch(e *entry, out Fetch) {
	peer := sim.entryAt(out.Address)
	if peer == nil || sim.isPartitioned(e, peer) || sim.random.Float64() < sim.lossRate {
		sim.schedule(2*time.Second, func() { sim.step(e, Fetched{Address: out.Address, Failed: true}) })
		return
	}
	sim.schedule(2*sim.latency(), func() { sim.step(e, Fetched{Address: out.Address, Catalog: peer.catalog}) })
}

func (sim *simulation) allRunning(condition func(*entry) bool) bool {
	for _, e := range sim.entries {
		if !e.stopped && !condition(e) {
			return false
		}
	}
	return true
}

// countAccepting returns how many servers accept new flows according to the entry.
func (e *entry) countAccepting() int {
	count := 0
	for _, r := range e.records {
		if r.AcceptsNewFlows() {
			count++
		}
	}
	return count
}

// describeNotAccepting lists the records that do not accept new flows.
func (e *entry) describeNotAccepting() string {
	var list strings.Builder
	for id, r := range e.records {
		if !r.AcceptsNewFlows() {
			fmt.Fprintf(&list, "%s %s sequence %d epoch %d holder %s lapsed %t; ", id, r.State, r.Sequence, r.Epoch, r.Holder, r.Lapsed)
		}
	}
	return list.String()
}

func forSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// Guards against a backend server that still gets new flows 3 s after it has
// announced that it leaves, also while the death of an entry is not yet detected.
func TestLeavingServerGetsNoNewFlows(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 18)
		sim.lossRate = 0.1
		sim.runAnnouncing(10 * time.Second)
		sim.entries[int(seed)%8].stopped = true
		s := sim.servers[3]
		s.State, s.silent = announcer.StateLeaving, true
		sim.announce(s)
		sim.waitUntil(3*time.Second, "all entries know that the server leaves", func() bool {
			return sim.allRunning(func(e *entry) bool { return !e.records[s.ID].AcceptsNewFlows() })
		})
	})
}

// Guards against records that lapse although their servers renew the leases, while
// entries die, leave and restart and messages are lost.
func TestNoFalseLapses(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 18)
		sim.lossRate = 0.05
		requireAllAccepting := func(d time.Duration) {
			t.Helper()
			for range int(d / time.Second) {
				sim.runAnnouncing(time.Second)
				for _, e := range sim.entries {
					require.True(t, e.stopped || !e.ready || e.countAccepting() == 18, "%s at %s shows %s", e.Self().Name, sim.now, e.describeNotAccepting())
				}
			}
		}
		requireAllAccepting(30 * time.Second)
		for i := range 4 {
			sim.entries[i].stopped = true
			requireAllAccepting(20 * time.Second)
			sim.startEntry(i)
			requireAllAccepting(20 * time.Second)
			if i%2 == 0 {
				sim.step(sim.entries[i+4], Leave{})
				sim.runAnnouncing(time.Second)
				sim.entries[i+4].stopped = true
				requireAllAccepting(10 * time.Second)
				sim.startEntry(i + 4)
			}
		}
	})
}

// Guards against an entry that treats a known backend server as new because the
// entry has just started and has no records yet.
func TestNoAnnouncementsBeforeJoining(t *testing.T) {
	sim := newSimulation(t, 1, 4)
	e := sim.startEntry(0)
	sim.step(e, AnnouncementReceived{Announcement: sim.servers[0].Announcement})
	require.True(t, e.notJoined)
	require.Empty(t, e.records)
}

// Guards against a dead server that keeps getting new flows. Its record lapses after
// the lease of 10 s and the grace period of 2 s. If the holder dies at the same time,
// the detection of that death and the full lease at the new holder are added.
func TestDeadServerLapses(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 18)
		sim.runAnnouncing(20 * time.Second)
		sim.servers[5].silent = true
		lapsed := func() bool { return sim.allRunning(func(e *entry) bool { return e.countAccepting() == 17 }) }
		sim.waitUntil(13*time.Second, "lapsed", lapsed)
		holder := sim.entries[0]
		for _, e := range sim.entries {
			if e.records[sim.servers[6].ID].Holder == e.Self().Name {
				holder = e
			}
		}
		holder.stopped = true
		sim.servers[6].silent = true
		sim.waitUntil(25*time.Second, "lapsed at the new holder", func() bool { return sim.allRunning(func(e *entry) bool { return e.countAccepting() == 16 }) })
	})
}

// Guards against a data centre that the others do not see again after a network
// partition, or whose servers restart their ramp at the first step although they
// served throughout.
func TestPartitionedDataCentre(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 18)
		sim.runAnnouncing(10 * time.Second)
		steps := make(map[announcer.ID]uint8)
		for id, r := range sim.entries[0].records {
			steps[id] = r.RampStep
		}
		sim.controlUnreachable["dc-3"] = true
		sim.partitioned = func(a, b string) bool { return (a == "dc-3") != (b == "dc-3") }
		sim.waitUntil(30*time.Second, "each side accepts only its own servers", func() bool {
			return sim.allRunning(func(e *entry) bool {
				if e.dataCentre == "dc-3" {
					return e.countAccepting() == 4
				}
				return e.countAccepting() == 14
			})
		})
		next := sim.control.WithVersion(2)
		sim.control = &next
		sim.waitUntil(3*time.Second, "reachable entries have the new version", func() bool {
			return sim.allRunning(func(e *entry) bool { return e.dataCentre == "dc-3" || e.Version() == 2 })
		})
		sim.runAnnouncing(time.Minute)
		for _, e := range sim.entries {
			if age, known := e.VersionAge(); e.dataCentre == "dc-3" {
				require.Equal(t, uint64(1), e.Version())
				require.True(t, known)
				require.Greater(t, age, time.Minute, "an outdated configuration must report its age")
			} else {
				require.Less(t, age, 15*time.Second)
			}
		}
		sim.partitioned = nil // The data centre still cannot reach control.
		sim.waitUntil(15*time.Second, "all entries know all entries, servers and the new version", func() bool {
			return sim.allRunning(func(e *entry) bool { return e.live == 8 && e.countAccepting() == 18 && e.Version() == 2 })
		})
		for _, e := range sim.entries {
			for id, r := range e.records {
				require.GreaterOrEqual(t, r.RampStep, steps[id], id)
			}
		}
	})
}

// Guards against a version that does not reach all entries within the target of
// 3 s, while messages are lost and only one data centre reaches control.
func TestConfigurationReachesAll(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 4)
		sim.controlUnreachable = map[string]bool{"dc-1": true, "dc-2": true, "dc-3": true}
		sim.lossRate = 0.02
		sim.runAnnouncing(10 * time.Second)
		for v := range uint64(10) {
			next := sim.control.WithVersion(v + 2)
			sim.control = &next
			took := sim.waitUntil(3*time.Second, "version at all entries", func() bool {
				return sim.allRunning(func(e *entry) bool { return e.Version() == next.Version })
			})
			t.Logf("version %d: %s", next.Version, took)
			sim.runAnnouncing(3 * time.Second)
		}
	})
}

// Guards against a restarted entry that reports ready with an outdated configuration
// or without the records.
func TestRestartedEntryIsReadyWhenCurrent(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		sim := newSimulation(t, seed, 18)
		next := sim.control.WithVersion(9)
		sim.control = &next
		sim.runAnnouncing(5 * time.Second)
		sim.controlUnreachable = map[string]bool{"dc-0": true, "dc-1": true, "dc-2": true, "dc-3": true}
		sim.entries[2].stopped = true
		sim.runAnnouncing(2 * time.Second)
		e := sim.startEntry(2)
		sim.waitUntil(5*time.Second, "ready", func() bool { return e.ready })
		require.Equal(t, uint64(9), e.Version())
		require.Equal(t, 18, e.countAccepting())
	})
}
