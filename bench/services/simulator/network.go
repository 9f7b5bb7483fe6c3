// Package simulator counts the flows that break while entries restart and crash and backend servers
// drain, join and turn cold. Plain modulo hashing and plain rendezvous hashing place the same
// packets in the same run as baselines.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/bench/modules/sequencer"
	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// lossRate is the share of control messages that are lost.
const lossRate = 0.01

// network connects the placement state machines of entries by messages with delay, loss and
// reordering.
type network struct {
	*sequencer.Sequencer
	rng        *rand.Rand
	deployment specifier.Deployment
	catalog    cataloger.Catalog
	records    map[announcer.ID]announcer.Record
	nodes      []*node
	flows      []*flow
	// membersVersion counts the changes to the list of live entries.
	membersVersion int
	// meanFlowDuration is the mean time that flows last.
	meanFlowDuration time.Duration
	// isCounting states whether the control traffic is added up.
	isCounting bool
	counters
}

type counters struct {
	packets, wrongService, dropped, lost int
	broken, modulo, rendezvous           int
	messages, bytes                      int
}

type node struct {
	name, dataCentre string
	machine          *placer.Machine
	isUp             bool
	frozenUntil      time.Time
	// view has the records that the entry has received, and ready by service the backend servers
	// that accept new flows. The baselines place packets by ready.
	view           map[announcer.ID]announcer.Record
	ready          map[string][]announcer.ID
	membersVersion int
	held           map[uint32]packet
}

func newNetwork(d specifier.Deployment, seed uint64, entries int) *network {
	n := &network{
		Sequencer: sequencer.New(), rng: rand.New(rand.NewPCG(seed, 0)), deployment: d,
		records: make(map[announcer.ID]announcer.Record), meanFlowDuration: 25 * time.Second,
	}
	for _, name := range d.DataCentres {
		n.catalog.DataCentres = append(n.catalog.DataCentres, cataloger.DataCentre{Name: name})
	}
	for _, s := range d.Services {
		n.catalog.Services = append(n.catalog.Services, cataloger.Service{Name: s.Name, Kind: cataloger.KindFlow, SprayScope: cataloger.SprayRegion})
		for i := range s.Hosts {
			n.setBackend(s.Name, i, announcer.StateReady, announcer.RampSteps)
		}
	}
	for i := range entries {
		n.nodes = append(n.nodes, &node{name: fmt.Sprintf("entry-%d", i), dataCentre: d.DataCentre(i)})
	}
	for _, e := range n.nodes {
		n.startEntry(e)
	}
	n.After(0, n.tick)
	return n
}

// delay returns a random one-way delay. Its exponential part reorders messages.
func (n *network) delay(from, to *node) time.Duration {
	base := 300 * time.Microsecond
	if from.dataCentre != to.dataCentre {
		base = n.deployment.Delay
	}
	return base + time.Duration(n.rng.ExpFloat64()*float64(time.Millisecond))
}

// propagationDelay returns a random delay until an entry receives a change. It stays below the
// entries' activation delay of 1 s.
func (n *network) propagationDelay() time.Duration {
	return time.Duration(n.rng.Int64N(int64(900 * time.Millisecond)))
}

// runOn runs f on an entry. If the entry is frozen, f runs once it no longer is, unless the entry
// is down or has restarted by then.
func (n *network) runOn(e *node, f func()) {
	machine := e.machine
	switch {
	case !e.isUp || machine == nil:
	case n.Now().Before(e.frozenUntil):
		n.After(e.frozenUntil.Sub(n.Now()), func() {
			if e.machine == machine {
				n.runOn(e, f)
			}
		})
	default:
		f()
	}
}

func (n *network) tick() {
	for _, e := range n.nodes {
		if e.isUp && !n.Now().Before(e.frozenUntil) {
			n.step(e, placer.Tick{})
		}
	}
	n.After(20*time.Millisecond, n.tick)
}

func (n *network) step(e *node, input placer.Input) {
	for _, output := range e.machine.Step(n.Now(), input) {
		switch out := output.(type) {
		case placer.StateChanged:
			if out.Event == placer.EventFrozen {
				n.After(100*time.Millisecond, func() { n.runOn(e, func() { n.step(e, placer.ViewSynchronized{}) }) })
			}
		case placer.SendMessage:
			n.sendMessage(e, out)
		case placer.PacketReleased:
			p := e.held[out.Ticket]
			delete(e.held, out.Ticket)
			n.applyDecision(e, p, out.Decision)
		}
	}
}

func (n *network) findEntry(name string) *node {
	return n.nodes[slices.IndexFunc(n.nodes, func(e *node) bool { return e.name == name })]
}

func (n *network) sendMessage(from *node, out placer.SendMessage) {
	if n.isCounting {
		n.countMessage(from, out)
	}
	if n.rng.Float64() < lossRate {
		return
	}
	to := n.findEntry(out.To)
	n.After(n.delay(from, to), func() {
		n.runOn(to, func() { n.step(to, placer.MessageReceived{From: from.name, Message: out.Message}) })
	})
}

func (n *network) setBackend(service string, host int, state announcer.State, step uint8) {
	r := n.deployment.Record(service, host)
	r.State, r.RampStep, r.Sequence = state, step, n.records[r.ID].Sequence+1
	n.records[r.ID] = r
	for _, e := range n.nodes {
		n.After(n.propagationDelay(), func() { n.runOn(e, func() { n.applyRecord(e, r) }) })
	}
}

// rampUp raises the weight of a backend server that starts or has turned cold, by one step every 5
// s.
func (n *network) rampUp(service string, host int) {
	for step := range uint8(announcer.RampSteps + 1) {
		n.After(time.Duration(step)*5*time.Second, func() { n.setBackend(service, host, announcer.StateReady, step) })
	}
}

func (n *network) applyRecord(e *node, r announcer.Record) {
	if old, ok := e.view[r.ID]; ok && old.Sequence >= r.Sequence {
		return
	}
	e.view[r.ID] = r
	e.ready = make(map[string][]announcer.ID)
	for id, known := range e.view {
		if known.AcceptsNewFlows() {
			e.ready[id.Service] = append(e.ready[id.Service], id)
		}
	}
	for _, ids := range e.ready {
		slices.SortFunc(ids, func(a, b announcer.ID) int { return strings.Compare(a.Host, b.Host) })
	}
	n.step(e, placer.RecordsChanged{Changed: []announcer.Record{r}})
}

func (n *network) startEntry(e *node) {
	e.isUp, e.frozenUntil = true, time.Time{}
	config := placer.DefaultConfig(e.name, e.dataCentre)
	config.MaxFlows = 10_000
	e.machine = placer.NewMachine(config, n.Now())
	e.membersVersion = 0
	e.view, e.held = make(map[announcer.ID]announcer.Record), make(map[uint32]packet)
	n.step(e, placer.CatalogChanged{Catalog: n.catalog})
	for _, r := range n.sortedRecords() {
		n.applyRecord(e, r)
	}
	n.broadcastMembers(0)
	n.After(time.Second, func() { n.runOn(e, func() { n.step(e, placer.ViewSynchronized{}) }) })
}

func (n *network) sortedRecords() []announcer.Record {
	var records []announcer.Record
	for _, r := range n.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b announcer.Record) int { return strings.Compare(a.String(), b.String()) })
	return records
}

// broadcastMembers sends the list of live entries to every entry with random delays.
func (n *network) broadcastMembers(after time.Duration) {
	var members []placer.Member
	for _, e := range n.nodes {
		if e.isUp {
			members = append(members, placer.Member{Name: e.name, DataCentre: e.dataCentre})
		}
	}
	n.membersVersion++
	version := n.membersVersion
	for _, e := range n.nodes {
		n.After(after+n.propagationDelay(), func() {
			n.runOn(e, func() {
				if version > e.membersVersion {
					e.membersVersion = version
					n.step(e, placer.MembersChanged{Members: members})
				}
			})
		})
	}
}

// crashEntry stops an entry without notice. The other entries notice after 4.5 s. For the first 2
// s, until its health check fails, the fabric still sends packets to the crashed entry.
func (n *network) crashEntry(e *node) {
	n.runOn(e, func() { e.frozenUntil = n.Now().Add(2 * time.Second) })
	n.After(2*time.Second-time.Millisecond, func() {
		e.isUp = false
		n.broadcastMembers(2500 * time.Millisecond)
	})
}

// stopEntry shuts an entry down gracefully: it hands over, drains for 12 s and stops.
func (n *network) stopEntry(e *node) {
	n.runOn(e, func() { n.step(e, placer.Leave{}) })
	n.After(12*time.Second, func() {
		e.isUp = false
		n.broadcastMembers(0)
	})
}

// placeBaselines places a packet by plain modulo and rendezvous hashing over the ready backend
// servers in the view of an entry.
func (n *network) placeBaselines(e *node, f *flow) {
	ready := e.ready[f.service]
	if len(ready) == 0 {
		return
	}
	var best announcer.ID
	bestScore := uint64(0)
	for _, id := range ready {
		if s := hasher.Pair(hasher.String(id.Host), f.hash); s >= bestScore {
			best, bestScore = id, s
		}
	}
	f.byModulo.observe(ready[f.hash%uint64(len(ready))], &n.modulo)
	f.byRendezvous.observe(best, &n.rendezvous)
}
