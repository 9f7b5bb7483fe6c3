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
	endsAt                          time.Time
	isOpen                          bool
	byTable, byModulo, byRendezvous affinity
}

// affinity records the backend server to which one policy sends the packets of a flow. A flow is
// broken if its packets reach two backend servers.
type affinity struct {
	target   announcer.ID
	isBroken bool
}

func (a *affinity) observe(target announcer.ID, broken *int) {
	if a.target == (announcer.ID{}) {
		a.target = target
	}
	if a.target != target && !a.isBroken {
		a.isBroken = true
		*broken++
	}
}

type packet struct {
	flow      *flow
	flags     placer.Flags
	relayedBy uint64
}

// openFlows opens flows for the time d at a mean rate per second. Each flow sends one packet per
// second on average.
func (n *network) openFlows(rate float64, d time.Duration) {
	for t := time.Duration(0); t < d; t += time.Duration(n.rng.ExpFloat64() * float64(time.Second) / rate) {
		n.After(t, func() {
			f := &flow{hash: n.rng.Uint64(), endsAt: n.Now().Add(time.Duration(n.rng.ExpFloat64() * float64(n.meanFlowDuration)))}
			f.service = n.deployment.Services[0].Name
			if n.rng.IntN(4) == 0 {
				f.service = n.deployment.Services[1].Name
			}
			if n.rng.IntN(10) == 0 {
				f.protocol = placer.ProtocolUDP
			}
			n.flows = append(n.flows, f)
			n.openFlow(f, time.Second)
		})
	}
}

// openFlow sends a SYN and repeats it after a further 1 s, 2 s and 4 s until the flow is open. One
// repetition in 50 is sent although the flow is open.
func (n *network) openFlow(f *flow, retry time.Duration) {
	n.spray(f, placer.FlagSYN)
	n.After(retry, func() {
		if retry < 8*time.Second && (!f.isOpen || n.rng.IntN(50) == 0) {
			n.openFlow(f, 2*retry)
		}
	})
}

func (n *network) continueFlow(f *flow) {
	if n.Now().After(f.endsAt) {
		n.spray(f, placer.FlagFIN)
		return
	}
	n.spray(f, 0)
	n.After(time.Duration(n.rng.ExpFloat64()*float64(time.Second)), func() { n.continueFlow(f) })
}

// spray sends a packet of a caller to a random entry that is up, as the fabric does.
func (n *network) spray(f *flow, flags placer.Flags) {
	n.packets++
	e := n.nodes[n.rng.IntN(len(n.nodes))]
	for !e.isUp {
		e = n.nodes[n.rng.IntN(len(n.nodes))]
	}
	n.placeBaselines(e, f)
	n.runOn(e, func() { n.receivePacket(e, packet{flow: f, flags: flags}) })
}

func (n *network) receivePacket(e *node, p packet) {
	index, _ := e.machine.ServiceIndex(p.flow.service)
	n.applyDecision(e, p, e.machine.Decide(n.Now(), placer.Packet{
		Flow: p.flow.hash, RelayedBy: p.relayedBy, Service: index, Protocol: p.flow.protocol, Flags: p.flags,
	}))
}

func (n *network) applyDecision(e *node, p packet, d placer.Decision) {
	switch d.Action {
	case placer.ActionForward:
		n.deliverPacket(e, p, e.machine.GetBackend(d.Backend).ID)
	case placer.ActionRelay:
		to := n.findEntry(e.machine.GetEntry(d.Entry))
		p.relayedBy = placer.HashEntry(e.name)
		n.After(n.delay(e, to), func() {
			if !to.isUp {
				n.lost++
			}
			n.runOn(to, func() { n.receivePacket(to, p) })
		})
	case placer.ActionHold:
		e.held[d.Ticket] = p
	case placer.ActionDrop:
		n.dropped++
	}
}

// deliverPacket checks that a packet reaches a backend server of its service, and the same one as
// the earlier packets of its flow. The backend server then responds through a random entry.
func (n *network) deliverPacket(from *node, p packet, id announcer.ID) {
	f := p.flow
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
		n.runOn(to, func() {
			if i, ok := to.machine.BackendIndex(id); ok {
				to.machine.Observe(n.Now(), placer.Reply{Flow: f.hash, Backend: i, Protocol: f.protocol})
			}
		})
	})
}
