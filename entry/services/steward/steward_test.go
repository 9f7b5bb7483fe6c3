package steward

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
	tick    = gossiper.TickPeriod
	entries = 8
	centres = 4
)

// world runs entries, one control address and backend servers in virtual time.
type world struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	entries []*entry
	servers []*server
	events  events
	order   uint64
	loss    float64
	cut     func(a, b string) bool
	control *cataloger.Catalog
	// controlCut tells which data centres do not reach control.
	controlCut map[string]bool
}

type entry struct {
	*Machine
	dataCentre string
	stopped    bool
	live       int
	shown      map[announcer.ID]announcer.Record
	catalog    *cataloger.Catalog
	ready      bool
	notJoined  bool
}

// server announces itself to random entries of its data centre.
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

func newWorld(t *testing.T, seed uint64, servers int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0),
		control: &cataloger.Catalog{Version: 1}, controlCut: make(map[string]bool),
	}
	for i := range entries {
		w.start(i)
	}
	for i := range servers {
		w.servers = append(w.servers, &server{Announcement: announcer.Announcement{
			ID: announcer.ID{Service: "sack-orders", Host: fmt.Sprintf("host-%d", i)}, Address: address(1000 + i),
			DataCentre: fmt.Sprintf("dc-%d", i%centres), Slots: 2, Connections: 2000, Incarnation: 1, State: announcer.StateReady,
		}})
	}
	w.until(30*time.Second, "a common view", func() bool {
		return w.all(func(e *entry) bool { return e.live == entries && e.ready && e.accepting() == servers })
	})
	return w
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func (w *world) start(i int) *entry {
	dc := fmt.Sprintf("dc-%d", i%centres)
	e := &entry{dataCentre: dc, shown: make(map[announcer.ID]announcer.Record)}
	e.Machine = New(Settings{Settings: gossiper.Settings{
		Name: fmt.Sprintf("entry-%d", i), DataCentre: dc, Region: "north", Address: address(i), PacketAddress: address(i),
		Seeds: []netip.AddrPort{address(0), address(1)}, Incarnation: uint64(w.now.UnixMilli()),
	}, Control: []netip.AddrPort{address(999)}}, rand.New(rand.NewPCG(w.random.Uint64(), 1)), w.now)
	if i < len(w.entries) {
		w.entries[i].stopped = true
		w.entries[i] = e
	} else {
		w.entries = append(w.entries, e)
	}
	w.after(time.Duration(w.random.Int64N(int64(tick))), func() { w.tick(e) })
	return e
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, run: run})
}

func (w *world) tick(e *entry) {
	if !e.stopped {
		w.after(tick, func() { w.tick(e) })
		w.step(e, Tick{})
	}
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) until(limit time.Duration, what string, done func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !done() {
		if w.now.Sub(start) > limit {
			require.FailNow(w.t, "not reached in time", "%s within %s", what, limit)
		}
		w.run(50 * time.Millisecond)
		w.announceDue()
	}
	return w.now.Sub(start)
}

// pass runs for d while the servers renew.
func (w *world) pass(d time.Duration) {
	for range int(d / (50 * time.Millisecond)) {
		w.run(50 * time.Millisecond)
		w.announceDue()
	}
}

// announceDue has servers announce every third of a lease. An announcement to an
// entry that is gone is made to another one.
func (w *world) announceDue() {
	for _, s := range w.servers {
		if !s.silent && !w.now.Before(s.nextAt) {
			w.announce(s)
		}
	}
}

func (w *world) announce(s *server) {
	s.nextAt = w.now.Add(3300 * time.Millisecond)
	s.Sequence++
	for _, i := range w.random.Perm(len(w.entries)) {
		if e := w.entries[i]; !e.stopped && e.dataCentre == s.DataCentre {
			e.notJoined = false
			w.step(e, Announced{Announcement: s.Announcement})
			if !e.notJoined {
				return
			}
		}
	}
}

func (w *world) step(e *entry, in Input) {
	if e.stopped {
		return
	}
	for _, out := range e.Step(w.now, in) {
		switch out := out.(type) {
		case Send:
			w.deliver(e, out)
		case Poll:
			w.poll(e, out)
		case Fetch:
			w.fetch(e, out)
		case MembersChanged:
			e.live = len(out.Members)
		case RecordShown:
			e.shown[out.Record.ID] = out.Record
		case RecordRemoved:
			delete(e.shown, out.ID)
		case CatalogChanged:
			require.True(w.t, e.catalog == nil || out.Catalog.Version > e.catalog.Version, "versions only move forwards")
			e.catalog = out.Catalog
		case Ready:
			e.ready = true
		case Answered:
			e.notJoined = out.NotJoined
		}
	}
}

func (w *world) at(addr netip.AddrPort) *entry {
	for _, e := range w.entries {
		if e.Self().Address == addr && !e.stopped {
			return e
		}
	}
	return nil
}

func (w *world) isCut(a, b *entry) bool { return w.cut != nil && w.cut(a.dataCentre, b.dataCentre) }

func (w *world) latency() time.Duration {
	return 4*time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Millisecond)))
}

func (w *world) deliver(from *entry, out Send) {
	to := w.at(out.To)
	if to == nil || w.isCut(from, to) || w.random.Float64() < w.loss {
		// The call times out.
		w.after(time.Second, func() { w.step(from, Undelivered{Envelope: out.Envelope}) })
		return
	}
	w.after(w.latency(), func() { w.step(to, Received{Envelope: out.Envelope}) })
}

func (w *world) poll(e *entry, out Poll) {
	if w.controlCut[e.dataCentre] {
		w.after(3*time.Second, func() { w.step(e, Polled{Failed: true}) })
		return
	}
	if w.control.Version > out.Known {
		newest := w.control
		w.after(w.latency(), func() { w.step(e, Polled{Catalog: newest}) })
		return
	}
	// The long poll looks again, up to its wait.
	deadline := w.now.Add(2 * time.Second)
	var look func()
	look = func() {
		switch {
		case w.control.Version > out.Known:
			w.step(e, Polled{Catalog: w.control})
		case w.now.After(deadline):
			w.step(e, Polled{})
		default:
			w.after(20*time.Millisecond, look)
		}
	}
	w.after(20*time.Millisecond, look)
}

func (w *world) fetch(e *entry, out Fetch) {
	peer := w.at(out.Address)
	if peer == nil || w.isCut(e, peer) || w.random.Float64() < w.loss {
		w.after(2*time.Second, func() { w.step(e, Fetched{Address: out.Address, Failed: true}) })
		return
	}
	w.after(2*w.latency(), func() { w.step(e, Fetched{Address: out.Address, Catalog: peer.catalog}) })
}

func (w *world) all(is func(*entry) bool) bool {
	for _, e := range w.entries {
		if !e.stopped && !is(e) {
			return false
		}
	}
	return true
}

// accepting returns how many servers may get new flows in the view of the entry.
func (e *entry) accepting() int {
	count := 0
	for _, r := range e.shown {
		if r.AcceptsNewFlows() {
			count++
		}
	}
	return count
}

// notAccepting describes the records that get no new flows.
func (e *entry) notAccepting() string {
	var list strings.Builder
	for id, r := range e.shown {
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

// Guards against a backend server that still gets new work 3 s after it has
// announced that it leaves, also while an entry is dead and not yet known to be.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 18)
		w.loss = 0.1
		w.pass(10 * time.Second)
		w.entries[int(seed)%8].stopped = true
		s := w.servers[3]
		s.State, s.silent = announcer.StateLeaving, true
		w.announce(s)
		w.until(3*time.Second, "known to all", func() bool {
			return w.all(func(e *entry) bool { return !e.shown[s.ID].AcceptsNewFlows() })
		})
	})
}

// Guards against records that lapse while their servers renew: entries die, leave
// and restart, and messages get lost.
func TestNoFalseLapses(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 18)
		w.loss = 0.05
		steady := func(d time.Duration) {
			t.Helper()
			for range int(d / time.Second) {
				w.pass(time.Second)
				for _, e := range w.entries {
					require.True(t, e.stopped || !e.ready || e.accepting() == 18, "%s at %s shows %s", e.Self().Name, w.now, e.notAccepting())
				}
			}
		}
		steady(30 * time.Second)
		for i := range 4 {
			w.entries[i].stopped = true
			steady(20 * time.Second)
			w.start(i)
			steady(20 * time.Second)
			if i%2 == 0 {
				w.step(w.entries[i+4], Leave{})
				w.pass(time.Second)
				w.entries[i+4].stopped = true
				steady(10 * time.Second)
				w.start(i + 4)
			}
		}
	})
}

// Guards against an entry that takes a known backend server for a new one because
// it has just started and has no records yet.
func TestNoAnnouncementsBeforeJoining(t *testing.T) {
	w := newWorld(t, 1, 4)
	e := w.start(0)
	w.step(e, Announced{Announcement: w.servers[0].Announcement})
	require.True(t, e.notJoined)
	require.Empty(t, e.shown)
}

// Guards against a server that died and keeps its weight: a lease is 10 s and its
// grace 2 s. A holder that died with it adds the time to see that and a full lease.
func TestDeadServerLapses(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 18)
		w.pass(20 * time.Second)
		w.servers[5].silent = true
		lapsed := func() bool { return w.all(func(e *entry) bool { return e.accepting() == 17 }) }
		w.until(13*time.Second, "lapsed", lapsed)
		holder := w.entries[0]
		for _, e := range w.entries {
			if e.shown[w.servers[6].ID].Holder == e.Self().Name {
				holder = e
			}
		}
		holder.stopped = true
		w.servers[6].silent = true
		w.until(25*time.Second, "lapsed at the new holder", func() bool { return w.all(func(e *entry) bool { return e.accepting() == 16 }) })
	})
}

// Guards against a data centre that is lost to the others after a cut, or whose
// servers start from the first ramp step though they served all along.
func TestCutDataCentre(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 18)
		w.pass(10 * time.Second)
		steps := make(map[announcer.ID]uint8)
		for id, r := range w.entries[0].shown {
			steps[id] = r.RampStep
		}
		w.controlCut["dc-3"] = true
		w.cut = func(a, b string) bool { return (a == "dc-3") != (b == "dc-3") }
		w.until(30*time.Second, "each side shows its own servers", func() bool {
			return w.all(func(e *entry) bool {
				if e.dataCentre == "dc-3" {
					return e.accepting() == 4
				}
				return e.accepting() == 14
			})
		})
		next := w.control.WithVersion(2)
		w.control = &next
		w.until(3*time.Second, "reachable entries have the new version", func() bool {
			return w.all(func(e *entry) bool { return e.dataCentre == "dc-3" || e.Version() == 2 })
		})
		w.pass(time.Minute)
		for _, e := range w.entries {
			if age, known := e.VersionAge(); e.dataCentre == "dc-3" {
				require.Equal(t, uint64(1), e.Version())
				require.True(t, known)
				require.Greater(t, age, time.Minute, "an old configuration must report its age")
			} else {
				require.Less(t, age, 15*time.Second)
			}
		}
		w.cut = nil // Control stays out of reach of the data centre.
		w.until(15*time.Second, "all see all", func() bool {
			return w.all(func(e *entry) bool { return e.live == 8 && e.accepting() == 18 && e.Version() == 2 })
		})
		for _, e := range w.entries {
			for id, r := range e.shown {
				require.GreaterOrEqual(t, r.RampStep, steps[id], id)
			}
		}
	})
}

// Guards against a version that does not reach all entries within the target of
// 3 s, with loss and with control in reach of one data centre only.
func TestConfigurationReachesAll(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 4)
		w.controlCut = map[string]bool{"dc-1": true, "dc-2": true, "dc-3": true}
		w.loss = 0.02
		w.pass(10 * time.Second)
		for v := range uint64(10) {
			next := w.control.WithVersion(v + 2)
			w.control = &next
			took := w.until(3*time.Second, "version at all entries", func() bool {
				return w.all(func(e *entry) bool { return e.Version() == next.Version })
			})
			t.Logf("version %d: %s", next.Version, took)
			w.pass(3 * time.Second)
		}
	})
}

// Guards against a restarted entry that reports ready with an old configuration
// or without the records.
func TestRestartedEntryIsReadyLate(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newWorld(t, seed, 18)
		next := w.control.WithVersion(9)
		w.control = &next
		w.pass(5 * time.Second)
		w.controlCut = map[string]bool{"dc-0": true, "dc-1": true, "dc-2": true, "dc-3": true}
		w.entries[2].stopped = true
		w.pass(2 * time.Second)
		e := w.start(2)
		w.until(5*time.Second, "ready", func() bool { return e.ready })
		require.Equal(t, uint64(9), e.Version())
		require.Equal(t, 18, e.accepting())
	})
}
