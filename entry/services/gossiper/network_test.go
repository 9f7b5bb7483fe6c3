package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// network simulates machines in virtual time and loses, delays and reorders their
// messages. Equal seeds give equal runs.
type network struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	nodes     []*node
	byAddr    map[netip.AddrPort]*node
	queue     deliveries
	order     uint64
	loss      float64
	delay     time.Duration
	jitter    time.Duration
	isDropped func(from, to *node) bool
	// measure encodes every message to count its bytes.
	measure bool
}

type node struct {
	*Machine
	settings       Settings
	paused         bool
	stopped        bool
	tickAt         time.Time
	messages       int
	bytes          int
	inbox          []messenger.Envelope
	live           []messenger.Member
	newestReported uint64
	fetchAt        time.Time
	majority       bool
	// removals counts how often a live member left the view.
	removals int
	events   []Output
}

type delivery struct {
	at    time.Time
	order uint64
	to    *node
	env   messenger.Envelope
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || (d[i].at.Equal(d[j].at) && d[i].order < d[j].order)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		byAddr: make(map[netip.AddrPort]*node), delay: 4 * time.Millisecond, jitter: 2 * time.Millisecond,
	}
}

// address returns the address of node i.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// add starts node i in data centre i modulo dcs. It joins through the first three
// nodes.
func (n *network) add(i, dcs int) {
	n.start(Settings{
		Name: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprintf("dc-%d", i%dcs), Region: "north",
		Address: address(i), PacketAddress: address(i), Incarnation: uint64(n.now.UnixMilli()),
		Seeds: []netip.AddrPort{address(0), address(1), address(2)},
	})
}

func (n *network) start(settings Settings) *node {
	random := rand.New(rand.NewPCG(n.random.Uint64(), 2))
	added := &node{Machine: New(settings, random, n.now), settings: settings}
	added.tickAt = n.now.Add(time.Duration(n.random.Int64N(int64(TickPeriod))))
	n.nodes = append(n.nodes, added)
	n.byAddr[settings.Address] = added
	return added
}

// addAll starts count nodes and runs until every node sees all of them.
func (n *network) addAll(count, dcs int) {
	for i := range count {
		n.add(i, dcs)
	}
	n.until(time.Minute, "all nodes see all", func() bool { return n.allSee(count) })
}

func (n *network) allSee(count int) bool {
	for _, v := range n.nodes {
		if !v.stopped && len(v.live) != count {
			return false
		}
	}
	return true
}

// run advances virtual time.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for {
		next := end
		var ticking *node
		for _, v := range n.nodes {
			if !v.stopped && !v.paused && v.tickAt.Before(next) {
				next, ticking = v.tickAt, v
			}
		}
		if len(n.queue) > 0 && !n.queue[0].at.After(next) && n.queue[0].at.Before(end) {
			d := heap.Pop(&n.queue).(delivery)
			n.now = d.at
			n.deliver(d)
			continue
		}
		n.now = next
		if ticking == nil {
			return
		}
		ticking.tickAt = ticking.tickAt.Add(TickPeriod)
		n.step(ticking, Tick{})
	}
}

func (n *network) deliver(d delivery) {
	switch {
	case d.to.stopped:
	case d.env.From == fetchCompletion:
		n.step(d.to, VersionChanged{Version: d.env.Incarnation})
	case d.to.paused:
		d.to.inbox = append(d.to.inbox, d.env)
	default:
		n.step(d.to, Received{Envelope: d.env})
	}
}

// until runs until done, and fails after limit. It returns the time it took.
func (n *network) until(limit time.Duration, what string, done func() bool) time.Duration {
	n.t.Helper()
	start := n.now
	for !done() {
		if n.now.Sub(start) > limit {
			require.FailNow(n.t, "not reached in time", "%s within %s", what, limit)
		}
		n.run(50 * time.Millisecond)
	}
	return n.now.Sub(start)
}

func (n *network) step(v *node, in Input) {
	for _, out := range v.Step(n.now, in) {
		switch out := out.(type) {
		case Send:
			n.post(v, out)
		case MembersChanged:
			if len(out.Members) < len(v.live) {
				v.removals++
			}
			v.live = out.Members
		case NewerVersionReported:
			v.newestReported = max(v.newestReported, out.Version)
			n.fetch(v, out)
		case MajorityReported:
			v.majority = true
		default:
			v.events = append(v.events, out)
		}
	}
}

// fetch simulates fetching the configuration from the peer, which takes three one-way
// delays.
func (n *network) fetch(v *node, reported NewerVersionReported) {
	peer := n.byAddr[reported.From]
	if v.fetchAt.After(n.now) || peer == nil || peer.stopped || n.isPartitioned(v, peer) || n.isPartitioned(peer, v) {
		return
	}
	v.fetchAt = n.now.Add(3 * n.delay)
	n.order++
	heap.Push(&n.queue, delivery{at: v.fetchAt, order: n.order, to: v, env: messenger.Envelope{
		From: fetchCompletion, Incarnation: reported.Version,
	}})
}

const fetchCompletion = "fetched"

func (n *network) isPartitioned(from, to *node) bool {
	return n.isDropped != nil && n.isDropped(from, to)
}

func (n *network) post(from *node, out Send) {
	from.messages++
	if n.measure {
		data, err := cbor.Marshal(out.Envelope)
		require.NoError(n.t, err)
		from.bytes += len(data) + MessageOverhead
	}
	to := n.byAddr[out.To]
	if to == nil || n.isPartitioned(from, to) || n.random.Float64() < n.loss {
		return
	}
	n.order++
	at := n.now.Add(n.delay + time.Duration(n.random.Int64N(int64(n.jitter)+1)))
	heap.Push(&n.queue, delivery{at: at, order: n.order, to: to, env: out.Envelope})
}

// resume lets a paused node run again. It then receives the messages that have arrived
// meanwhile.
func (n *network) resume(v *node) {
	v.paused = false
	v.tickAt = n.now
	for _, env := range v.inbox {
		n.step(v, Received{Envelope: env})
	}
	v.inbox = nil
}

// restart replaces a node with a new process of the same name.
func (n *network) restart(v *node, incarnation uint64) *node {
	v.stopped = true
	settings := v.settings
	settings.Incarnation = incarnation
	return n.start(settings)
}

func record(host string, sequence uint64) announcer.Record {
	return announcer.Record{
		Announcement: announcer.Announcement{
			ID: announcer.ID{Service: "sack-orders", Host: host}, Address: netip.MustParseAddrPort("10.9.0.1:80"), DataCentre: "dc-0",
			Slots: 2, Connections: 2000, Incarnation: 7, Sequence: sequence, State: announcer.StateReady,
		},
		Holder: "entry-000", Epoch: 1,
	}
}

// allHold reports whether all running nodes hold the record in this version.
func (n *network) allHold(want announcer.Record) bool {
	for _, v := range n.nodes {
		if got, ok := v.GetRecord(want.ID); !v.stopped && (!ok || got != want) {
			return false
		}
	}
	return true
}

func (n *network) allAt(version uint64) bool {
	for _, v := range n.nodes {
		if !v.stopped && v.version < version {
			return false
		}
	}
	return true
}
