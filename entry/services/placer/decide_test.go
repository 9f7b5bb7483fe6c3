package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// newSingleEntry returns a network with one entry, and its ready machine.
func newSingleEntry() (*network, *Machine) {
	n := newNetwork(1, 1)
	n.run(5 * time.Second)
	return n, n.nodes[0].machine
}

// Guards against allocations per packet, which would let the garbage collector stall all packets.
func TestDecideDoesNotAllocate(t *testing.T) {
	n, m := newSingleEntry()
	rng := rand.New(rand.NewPCG(6, 6))
	cases := map[string]func() Packet{
		"hit":  func() Packet { return Packet{Flow: 1 << 40} },
		"miss": func() Packet { return Packet{Flow: rng.Uint64(), Flags: FlagSYN} },
	}
	for name, packet := range cases {
		if allocs := testing.AllocsPerRun(20_000, func() { m.Decide(n.now, packet()) }); allocs > 0 {
			t.Errorf("%s: %.2f allocations per packet, want 0", name, allocs)
		}
	}
	peers := newNetwork(1, 8)
	peers.run(5 * time.Second)
	peers.drain(0)
	peers.run(2 * time.Second)
	contestedMachine := peers.nodes[0].machine
	if contestedMachine.ContestedBuckets(services[0]) == 0 {
		t.Fatal("no bucket is contested")
	}
	if allocs := testing.AllocsPerRun(20_000, func() { contestedMachine.Decide(peers.now, Packet{Flow: rng.Uint64()}) }); allocs > 0 {
		t.Errorf("contested: %.2f allocations per packet, want 0", allocs)
	}
}

func BenchmarkDecide(b *testing.B) {
	rng := rand.New(rand.NewPCG(7, 7))
	flows := make([]uint64, 1<<18)
	for i := range flows {
		flows[i] = rng.Uint64()
	}
	run := func(name string, m *Machine, now time.Time, packet func(i int) Packet) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m.Decide(now, packet(i))
			}
		})
	}
	n := newNetwork(1, 8)
	n.flowLimit = 400_000
	for _, e := range n.nodes {
		n.startEntry(e)
	}
	n.run(5 * time.Second)
	m := n.nodes[0].machine
	for _, f := range flows {
		m.Decide(n.now, Packet{Flow: f})
	}
	run("hit of 262,144 flows", m, n.now, func(i int) Packet { return Packet{Flow: flows[i%len(flows)]} })
	run("miss", m, n.now, func(int) Packet { return Packet{Flow: rng.Uint64(), Flags: FlagSYN} })
	n.drain(0)
	n.run(3500 * time.Millisecond)
	run("miss during a drain", m, n.now, func(int) Packet { return Packet{Flow: rng.Uint64()} })
}

// Guards against packets to a data centre that operators have taken out.
func TestTakenOut(t *testing.T) {
	n, m := newSingleEntry()
	rng := rand.New(rand.NewPCG(8, 8))
	flows := make([]uint64, 1000)
	for i := range flows {
		flows[i] = rng.Uint64()
		m.Decide(n.now, Packet{Flow: flows[i], Flags: FlagSYN})
	}
	out, err := n.catalog.WithTakenOut("kano-b", true)
	if err != nil {
		t.Fatal(err)
	}
	m.Step(n.now, CatalogChanged{Catalog: out})
	dropped := 0
	for _, f := range flows {
		d := m.Decide(n.now, Packet{Flow: f})
		if d.Action == ActionDrop && d.Reason == ReasonTakenOut {
			dropped++
		} else if d.Action != ActionForward || m.GetBackend(d.Backend).DataCentre == "kano-b" {
			t.Fatalf("packet of an old flow: %+v", d)
		}
		d = m.Decide(n.now, Packet{Flow: rng.Uint64(), Flags: FlagSYN})
		if d.Action != ActionForward || m.GetBackend(d.Backend).DataCentre == "kano-b" {
			t.Fatalf("packet of a new flow: %+v", d)
		}
	}
	if dropped < 400 || dropped > 600 {
		t.Errorf("%d of 1000 flows dropped, want about half", dropped)
	}
}

// Guards against an unbounded number of held packets.
func TestHoldIsBounded(t *testing.T) {
	n := newNetwork(1, 8)
	n.run(5 * time.Second)
	n.drain(0)
	n.run(3500 * time.Millisecond)
	m := n.nodes[0].machine
	rng := rand.New(rand.NewPCG(9, 9))
	held, full := 0, 0
	for range 400_000 {
		switch d := m.Decide(n.now, Packet{Flow: rng.Uint64(), Protocol: ProtocolUDP}); {
		case d.Action == ActionHold:
			held++
		case d.Reason == ReasonHoldFull:
			full++
		}
	}
	if held != 1024 || full == 0 {
		t.Fatalf("%d packets held, %d refused; want 1024 and more than 0", held, full)
	}
	released := 0
	for range 20 {
		n.now = n.now.Add(20 * time.Millisecond)
		for _, output := range m.Step(n.now, Tick{}) {
			if _, ok := output.(PacketReleased); ok {
				released++
			}
		}
	}
	if released != held {
		t.Errorf("%d of %d held packets released without answers", released, held)
	}
}

// Guards against entries that disagree after a caller reuses its port while its old backend server
// is draining: all entries must send the new flow to the same backend server.
func TestReopenedFlow(t *testing.T) {
	n := newNetwork(1, 8)
	n.lossRate = 0
	n.run(5 * time.Second)
	const flow = 12345<<32 | 77
	var old announcer.ID
	for _, e := range n.nodes {
		d := e.machine.Decide(n.now, Packet{Flow: flow})
		old = e.machine.GetBackend(d.Backend).ID
	}
	n.nodes[0].machine.Decide(n.now, Packet{Flow: flow, Flags: FlagFIN})
	record := n.records[old]
	record.State, record.Sequence = announcer.StateDraining, record.Sequence+1
	for _, e := range n.nodes {
		n.receiveRecord(e, record)
	}
	n.run(30 * time.Second)
	m := n.nodes[1].machine
	got := m.GetBackend(m.Decide(n.now, Packet{Flow: flow, Flags: FlagSYN}).Backend).ID
	if got == old {
		t.Error("a new flow went to a draining backend server")
	}
	n.run(50 * time.Millisecond)
	for _, e := range n.nodes {
		if d := e.machine.Decide(n.now, Packet{Flow: flow}); e.machine.GetBackend(d.Backend).ID != got {
			t.Errorf("%s sends the flow to %v, want %v", e.name, e.machine.GetBackend(d.Backend).ID, got)
		}
	}
}

// Guards against panics and wrong targets after malformed messages.
func TestMalformedMessages(t *testing.T) {
	n := newNetwork(1, 2)
	n.run(5 * time.Second)
	m := n.nodes[0].machine
	rng := rand.New(rand.NewPCG(10, 10))
	randomBytes := func() []byte {
		b := make([]byte, rng.IntN(40))
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		return b
	}
	for range 20_000 {
		targets := []uint64{rng.Uint64(), hashBackend(announcer.ID{Service: services[0], Host: "host-1"})}[:rng.IntN(3)]
		for _, message := range []messenger.Message{
			messenger.Placements{Targets: targets, Flows: randomBytes(), IsReplacing: rng.IntN(2) == 0},
			messenger.FlowQuery{Flows: randomBytes(), Service: rng.Uint64()},
			messenger.FlowAnswer{ID: rng.Uint32N(3), Targets: targets, Flows: randomBytes()},
			messenger.Digest{Service: m.services[0].hash, Version: m.roundVersion(m.services[0]), Phase: messenger.Phase(rng.IntN(8)), Targets: targets, Groups: randomBytes()},
			messenger.DigestAck{Stream: rng.Uint64(), Part: uint16(rng.Uint32())},
		} {
			m.Step(n.now, MessageReceived{From: "entry-1", Message: message})
		}
	}
	for range 1000 {
		d := m.Decide(n.now, Packet{Flow: rng.Uint64(), Flags: FlagSYN})
		if d.Action != ActionForward || m.GetBackend(d.Backend).Service != services[0] {
			t.Fatalf("after malformed messages: %+v", d)
		}
	}
}
