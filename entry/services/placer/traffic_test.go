package placer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// openFlows opens flows at the given rate per second for the duration d. Their own durations are
// random with the given mean.
func (n *network) openFlows(rate float64, d, meanDuration time.Duration) {
	for t := time.Duration(0); t < d; t += time.Duration(n.rng.ExpFloat64() * float64(time.Second) / rate) {
		n.after(t, func() {
			f := &flow{hash: n.rng.Uint64(), gap: n.gaps[n.rng.IntN(len(n.gaps))], until: n.now.Add(time.Duration(n.rng.ExpFloat64() * float64(meanDuration)))}
			if n.rng.IntN(4) == 0 {
				f.service = 1
			}
			if n.rng.IntN(10) == 0 {
				f.protocol = ProtocolUDP
			}
			n.flows = append(n.flows, f)
			n.open(f, time.Second)
		})
	}
}

// open sends the SYN and retransmits it until a response has arrived.
func (n *network) open(f *flow, retry time.Duration) {
	n.spray(f, FlagSYN)
	n.after(retry, func() {
		if retry < 8*time.Second && !f.isOpen {
			n.open(f, 2*retry)
		}
	})
}

func (n *network) continueFlow(f *flow) {
	if n.now.After(f.until) {
		n.spray(f, FlagFIN)
		return
	}
	n.spray(f, 0)
	n.after(time.Duration(n.rng.ExpFloat64()*float64(f.gap)), func() { n.continueFlow(f) })
}

// spray sends a packet from a caller to a random entry that is up.
func (n *network) spray(f *flow, flags Flags) {
	n.packets++
	e := n.nodes[n.rng.IntN(len(n.nodes))]
	for !e.isUp {
		e = n.nodes[n.rng.IntN(len(n.nodes))]
	}
	n.placeBaselines(e, f)
	arrivedAt := n.now
	n.runOn(e, func() { n.receivePacket(e, sentPacket{flow: f, flags: flags, arrivedAt: arrivedAt}) })
}

func (n *network) receivePacket(e *node, s sentPacket) {
	index, _ := e.machine.ServiceIndex(services[s.flow.service])
	n.applyDecision(e, s, e.machine.Decide(n.now, Packet{
		Flow: s.flow.hash, RelayedBy: s.relayedBy, Service: index, Protocol: s.flow.protocol, Flags: s.flags,
		Sequence: uint32(s.flow.hash), Waited: n.now.Sub(s.arrivedAt),
	}))
}

func (n *network) applyDecision(e *node, s sentPacket, d Decision) {
	switch d.Action {
	case ActionForward:
		n.deliverToBackend(s, e.machine.GetBackend(d.Backend).ID)
	case ActionRelay:
		if s.relayedBy != 0 {
			panic("relayed a relayed packet")
		}
		name := e.machine.GetEntry(d.Entry)
		to := n.nodes[slices.IndexFunc(n.nodes, func(e *node) bool { return e.name == name })]
		s.relayedBy = HashEntry(e.name)
		n.after(n.delay(), func() {
			if !to.isUp {
				n.lost++
			}
			s.arrivedAt = n.now
			n.runOn(to, func() { n.receivePacket(to, s) })
		})
	case ActionHold:
		e.held[d.Ticket] = s
	case ActionDrop:
		n.dropped++
		n.drops[d.Reason]++
	}
}

// deliverToBackend checks a delivered packet and lets the backend server respond.
func (n *network) deliverToBackend(s sentPacket, id announcer.ID) {
	f := s.flow
	n.delivered++
	if id.Service != services[f.service] {
		n.wrongService++
	}
	if f.target == (announcer.ID{}) {
		f.target = id
	}
	if f.target != id && !f.isBroken && !f.isExcused {
		f.isBroken = true
		n.broken++
	}
	if n.rng.IntN(50) == 0 {
		// The response is lost.
		return
	}
	if !f.isOpen {
		f.isOpen = true
		n.after(10*time.Millisecond, func() { n.continueFlow(f) })
	}
	to := n.nodes[n.rng.IntN(len(n.nodes))]
	n.after(n.delay(), func() {
		n.runOn(to, func() {
			if i, ok := to.machine.BackendIndex(id); ok {
				to.machine.Observe(n.now, Reply{Flow: f.hash, Backend: i, Protocol: f.protocol})
			}
		})
	})
}

// placeBaselines places a packet by plain modulo and rendezvous hashing over the view of an entry.
func (n *network) placeBaselines(e *node, f *flow) {
	ready := e.ready[f.service]
	modulo := ready[f.hash%uint64(len(ready))]
	var rendezvous announcer.ID
	best := uint64(0)
	for _, id := range ready {
		if s := hasher.Pair(hasher.String(id.Host), f.hash); s > best {
			rendezvous, best = id, s
		}
	}
	record := func(first *announcer.ID, isBroken *bool, broken *int, id announcer.ID) {
		if *first == (announcer.ID{}) {
			*first = id
		}
		if *first != id && !*isBroken {
			*isBroken = true
			*broken++
		}
	}
	record(&f.modulo, &f.isModuloBroken, &n.brokenModulo, modulo)
	record(&f.rendezvous, &f.isRendezvousBroken, &n.brokenRendezvous, rendezvous)
}
