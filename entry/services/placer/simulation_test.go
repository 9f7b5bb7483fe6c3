package placer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// network connects machines by messages with delay, loss and reordering, and sends them the packets
// of many flows in virtual time. All randomness is seeded.
type network struct {
	rng     *rand.Rand
	now     time.Time
	events  eventHeap
	order   int
	catalog cataloger.Catalog
	records map[announcer.ID]announcer.Record
	nodes   []*node
	// lossRate is the share of control messages that are lost.
	lossRate        float64
	activationDelay time.Duration
	flows           []*flow
	countTraffic    bool
	// flowLimit bounds the flow cache of each entry.
	flowLimit int
	// gaps are the mean times between the packets of a flow.
	gaps []time.Duration
	// membersVersion counts the changes of the member list.
	membersVersion int
	counts
}

// counts are the totals of a run.
type counts struct {
	packets, delivered, dropped, lost, wrongService, broken int
	brokenModulo, brokenRendezvous, bytes, messages         int
	drops                                                   [ReasonCount]int
}

type node struct {
	name        string
	machine     *Machine
	isUp        bool
	frozenUntil time.Time
	// view holds the records that the entry has received, ready the backend servers in it that are
	// ready. The baselines use them.
	view  map[announcer.ID]announcer.Record
	ready [2][]announcer.ID
	// membersVersion is the version of the member list that the entry has received.
	membersVersion int
	held           map[uint32]sentPacket
}

type flow struct {
	hash                       uint64
	service                    int
	protocol                   Protocol
	until                      time.Time
	gap                        time.Duration
	target, modulo, rendezvous announcer.ID
	isBroken, isModuloBroken   bool
	isRendezvousBroken         bool
	isExcused                  bool
	isOpen                     bool
}

type sentPacket struct {
	flow      *flow
	flags     Flags
	relayedBy uint64
	// arrivedAt is when the packet arrived at the entry, which may be frozen.
	arrivedAt time.Time
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

var services = [2]string{"sack-orders", "manifest-desk"}

func newNetwork(seed uint64, entries int) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_700_000_000, 0),
		records: make(map[announcer.ID]announcer.Record), lossRate: 0.01,
		gaps:      []time.Duration{time.Second, time.Second / 2, 8 * time.Second},
		flowLimit: 10_000, activationDelay: time.Duration(1+seed%2) * time.Second,
	}
	n.catalog.DataCentres = []cataloger.DataCentre{{Name: "kano-a"}, {Name: "kano-b"}}
	for _, name := range services {
		n.catalog.Services = append(n.catalog.Services, cataloger.Service{Name: name, Kind: cataloger.KindFlow, SprayScope: cataloger.SprayRegion})
	}
	for i := range 14 {
		n.setBackend(0, i, announcer.StateReady, announcer.RampSteps)
	}
	for i := range 4 {
		n.setBackend(1, i, announcer.StateReady, announcer.RampSteps)
	}
	for i := range entries {
		n.nodes = append(n.nodes, &node{name: fmt.Sprintf("entry-%d", i)})
	}
	for _, e := range n.nodes {
		n.startEntry(e)
	}
	n.after(0, n.tick)
	return n
}

func (n *network) after(d time.Duration, run func()) {
	n.order++
	heap.Push(&n.events, event{at: n.now.Add(d), order: n.order, run: run})
}

func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// delay returns the transmission time between two entries: 5 ms on average, with a tail that
// reorders messages.
func (n *network) delay() time.Duration {
	return 3*time.Millisecond + time.Duration(n.rng.ExpFloat64()*float64(2*time.Millisecond))
}

// randomDuration returns a random duration up to d.
func (n *network) randomDuration(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

// propagationDelay returns the time until one entry receives a change: up to nearly half the
// activation delay.
func (n *network) propagationDelay() time.Duration {
	return n.randomDuration(n.activationDelay * 45 / 100)
}

// runOn runs f at an entry as soon as it is not frozen. It does nothing if the entry is down by
// then.
func (n *network) runOn(e *node, f func()) {
	machine := e.machine
	switch {
	case !e.isUp || machine == nil:
	case n.now.Before(e.frozenUntil):
		n.after(e.frozenUntil.Sub(n.now), func() {
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
		if e.isUp && !n.now.Before(e.frozenUntil) {
			n.step(e, Tick{})
		}
	}
	n.after(20*time.Millisecond, n.tick)
}

func (n *network) step(e *node, input Input) {
	for _, output := range e.machine.Step(n.now, input) {
		switch out := output.(type) {
		case LeaveCompleted:
			n.after(2*time.Second, func() {
				e.isUp = false
				n.propagateMembers(0)
			})
		case StateChanged:
			if out.Event == EventFrozen {
				n.after(100*time.Millisecond, func() { n.runOn(e, func() { n.step(e, ViewSynchronized{}) }) })
			}
		case SendMessage:
			n.deliver(e, out)
		case PacketReleased:
			s, ok := e.held[out.Ticket]
			if !ok {
				panic("released a packet that is not held")
			}
			delete(e.held, out.Ticket)
			n.applyDecision(e, s, out.Decision)
		}
	}
}

func (n *network) deliver(from *node, out SendMessage) {
	if n.countTraffic {
		encoded, err := messenger.Envelope{From: from.name, Incarnation: 1, Messages: []messenger.Message{out.Message}}.MarshalCBOR()
		if err != nil {
			panic(err)
		}
		n.bytes += len(encoded)
		n.messages++
	}
	if n.rng.Float64() < n.lossRate {
		return
	}
	to := n.nodes[slices.IndexFunc(n.nodes, func(e *node) bool { return e.name == out.To })]
	n.after(n.delay(), func() {
		n.runOn(to, func() { n.step(to, MessageReceived{From: from.name, Message: out.Message}) })
	})
}

func (n *network) setBackend(service, host int, state announcer.State, step uint8) {
	id := announcer.ID{Service: services[service], Host: fmt.Sprintf("host-%d", host)}
	r := n.records[id]
	r.ID, r.State, r.RampStep, r.Slots, r.DataCentre = id, state, step, 2, []string{"kano-a", "kano-b"}[host%2]
	r.Sequence++
	n.records[id] = r
	for _, e := range n.nodes {
		n.after(n.propagationDelay(), func() { n.runOn(e, func() { n.receiveRecord(e, r) }) })
	}
}

func (n *network) drain(host int) {
	n.setBackend(0, host, announcer.StateDraining, announcer.RampSteps)
}

func (n *network) joinBackend(service, host int) {
	for step := range uint8(announcer.RampSteps + 1) {
		n.after(time.Duration(step)*5*time.Second, func() { n.setBackend(service, host, announcer.StateReady, step) })
	}
}

func (n *network) receiveRecord(e *node, r announcer.Record) {
	if old, ok := e.view[r.ID]; ok && old.Sequence >= r.Sequence {
		return
	}
	e.view[r.ID] = r
	e.ready = [2][]announcer.ID{}
	for id, known := range e.view {
		if known.State == announcer.StateReady {
			e.ready[slices.Index(services[:], id.Service)] = append(e.ready[slices.Index(services[:], id.Service)], id)
		}
	}
	for i := range e.ready {
		slices.SortFunc(e.ready[i], func(a, b announcer.ID) int { return int(hasher.String(a.Host)>>33) - int(hasher.String(b.Host)>>33) })
	}
	n.step(e, RecordsChanged{Changed: []announcer.Record{r}})
}

func (n *network) startEntry(e *node) {
	e.isUp, e.frozenUntil = true, time.Time{}
	config := DefaultConfig(e.name, "kano-a")
	config.MaxFlows = n.flowLimit
	config.ActivationDelay = n.activationDelay
	e.machine = NewMachine(config, n.now)
	e.membersVersion = 0
	e.view, e.held = make(map[announcer.ID]announcer.Record), make(map[uint32]sentPacket)
	n.step(e, CatalogChanged{Catalog: n.catalog})
	for _, r := range n.sortedRecords() {
		n.receiveRecord(e, r)
	}
	n.propagateMembers(0)
	n.after(time.Second, func() { n.runOn(e, func() { n.step(e, ViewSynchronized{}) }) })
}

func (n *network) sortedRecords() []announcer.Record {
	var records []announcer.Record
	for _, r := range n.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b announcer.Record) int {
		return int(hashBackend(a.ID)>>33) - int(hashBackend(b.ID)>>33)
	})
	return records
}

// propagateMembers sends the list of running entries to every entry, each with its own delay.
func (n *network) propagateMembers(after time.Duration) {
	var members []Member
	for _, e := range n.nodes {
		if e.isUp {
			members = append(members, Member{Name: e.name, DataCentre: "kano-a"})
		}
	}
	n.membersVersion++
	version := n.membersVersion
	for _, e := range n.nodes {
		n.after(after+n.propagationDelay(), func() {
			n.runOn(e, func() {
				if version > e.membersVersion {
					e.membersVersion = version
					n.step(e, MembersChanged{Members: members})
				}
			})
		})
	}
}

// killEntry stops an entry without notice. The other entries detect it after 4.5 s. Until the
// health checks of the network fabric detect it after 2 s, the entry still receives packets.
func (n *network) killEntry(e *node) {
	n.runOn(e, func() { e.frozenUntil = n.now.Add(2 * time.Second) })
	n.after(2*time.Second-time.Millisecond, func() {
		e.isUp = false
		n.propagateMembers(2500 * time.Millisecond)
	})
}

// stopEntry stops an entry as planned: it hands over its flows, drains and ends.
func (n *network) stopEntry(e *node) {
	n.runOn(e, func() { n.step(e, Leave{}) })
}
