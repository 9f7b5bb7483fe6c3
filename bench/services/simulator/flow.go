package simulator

import (
	"time"

	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

type flow struct {
	hash                            uint64
	service                         string
	protocol                        placer.Protocol
	until                           time.Time
	isOpen                          bool
	byTable, byModulo, byRendezvous track
}

// track records the backend server to which one policy sends a flow. A flow whose packets go to
// more than one backend server is broken.
type track struct {
	target   announcer.ID
	isBroken bool
}

func (t *track) observe(target announcer.ID, broken *int) {
	if t.target == (announcer.ID{}) {
		t.target = target
	}
	if t.target != target && !t.isBroken {
		t.isBroken = true
		*broken++
	}
}

type sent struct {
	flow  *flow
	flags placer.Flags
	by    uint64
}

// openFlows opens flows at a rate per second for a time. They send a packet
// a second on average.
func (n *network) openFlows(rate float64, d time.Duration) {
	for t := time.Duration(0); t < d; t += time.Duration(n.rng.ExpFloat64() * float64(time.Second) / rate) {
		n.After(t, func() {
			f := &flow{hash: n.rng.Uint64(), until: n.Now().Add(time.Duration(n.rng.ExpFloat64() * float64(n.meanFlowDuration)))}
			f.service = n.deployment.Services[0].Name
			if n.rng.IntN(4) == 0 {
				f.service = n.deployment.Services[1].Name
			}
			if n.rng.IntN(10) == 0 {
				f.protocol = placer.ProtocolUDP
			}
			n.flows = append(n.flows, f)
			n.open(f, time.Second)
		})
	}
}

// open sends the SYN and repeats it until the flow is open, and sometimes after.
func (n *network) open(f *flow, retry time.Duration) {
	n.spray(f, placer.FlagSYN)
	n.After(retry, func() {
		if retry < 8*time.Second && (!f.isOpen || n.rng.IntN(50) == 0) {
			n.open(f, 2*retry)
		}
	})
}

func (n *network) continueFlow(f *flow) {
	if n.Now().After(f.until) {
		n.spray(f, placer.FlagFIN)
		return
	}
	n.spray(f, 0)
	n.After(time.Duration(n.rng.ExpFloat64()*float64(time.Second)), func() { n.continueFlow(f) })
}

// spray sends a packet of a caller to a random entry that is up.
func (n *network) spray(f *flow, flags placer.Flags) {
	n.packets++
	e := n.nodes[n.rng.IntN(len(n.nodes))]
	for !e.isUp {
		e = n.nodes[n.rng.IntN(len(n.nodes))]
	}
	n.placeBaselines(e, f)
	n.at(e, func() { n.arrive(e, sent{flow: f, flags: flags}) })
}

func (n *network) arrive(e *node, s sent) {
	index, _ := e.machine.ServiceIndex(s.flow.service)
	n.applyDecision(e, s, e.machine.Decide(n.Now(), placer.Packet{
		Flow: s.flow.hash, RelayedBy: s.by, Service: index, Protocol: s.flow.protocol, Flags: s.flags,
	}))
}

func (n *network) applyDecision(e *node, s sent, d placer.Decision) {
	switch d.Action {
	case placer.ActionForward:
		n.deliverPacket(e, s, e.machine.GetBackend(d.Backend).ID)
	case placer.ActionRelay:
		to := n.find(e.machine.GetEntry(d.Entry))
		s.by = placer.HashEntry(e.name)
		n.After(n.delay(e, to), func() {
			if !to.isUp {
				n.lost++
			}
			n.at(to, func() { n.arrive(to, s) })
		})
	case placer.ActionHold:
		e.held[d.Ticket] = s
	case placer.ActionDrop:
		n.dropped++
	case placer.ActionReset:
	}
}

// deliverPacket checks that a packet keeps to its flow's backend server and simulates the response.
func (n *network) deliverPacket(from *node, s sent, id announcer.ID) {
	f := s.flow
	if id.Service != f.service {
		n.wrongService++
	}
	f.byTable.observe(id, &n.broken)
	if !f.isOpen {
		f.isOpen = true
		n.After(10*time.Millisecond, func() { n.continueFlow(f) })
	}
	to := n.nodes[n.rng.IntN(len(n.nodes))]
	n.After(n.delay(from, to), func() {
		n.at(to, func() {
			if i, ok := to.machine.BackendIndex(id); ok {
				to.machine.Observe(n.Now(), placer.Reply{Flow: f.hash, Backend: i, Protocol: f.protocol})
			}
		})
	})
}
