// Package forwarder processes the packets that the fabric delivers: it decodes each
// packet, asks the flow placement for its destination, translates the addresses and
// sends it to the fabric or to another entry. It has no goroutines or clock of its own.
package forwarder

import (
	"expvar"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/entry/services/resolver"
	"github.com/redwingledge/redwingledge/entry/services/translator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

// Sender sends datagrams. The payload is what write appends to an empty slice.
type Sender interface {
	Send(to netip.AddrPort, write func(dst []byte) []byte)
}

// Settings configure a Forwarder.
type Settings struct {
	// Name is the name of the entry.
	Name string
	// VNI is the virtual network identifier of the fabric.
	VNI uint32
	// Fabric is the address to which packets for backend servers and callers are sent.
	Fabric netip.AddrPort
}

// Forwarder handles the packets of one entry. It is not safe for concurrent use.
type Forwarder struct {
	settings Settings
	nameHash uint64
	machine  *placer.Machine
	sender   Sender
	decoder  *translator.Decoder
	packet   translator.Packet

	view view
	// services and backends map endpoints to the indexes of their service and
	// backend server in machine; addresses maps the indexes of backend servers to
	// their addresses.
	services     map[resolver.Endpoint]uint16
	backends     map[resolver.Endpoint]backend
	addresses    map[uint32]netip.AddrPort
	heldPackets  map[uint32]heldPacket
	dropCounters map[translator.Reason]*expvar.Int
	observations map[uint32]*Observation
	counters     counters
}

// backend is a backend server, identified by its index in the placer.Machine.
type backend struct {
	index          uint32
	serviceAddress netip.AddrPort
}

type counters struct {
	forwarded, returned, relayed, held *expvar.Int
}

// heldPacket is a packet that waits for a placement decision.
type heldPacket struct {
	inner       []byte
	source      netip.AddrPort
	destination netip.AddrPort
}

// New returns a Forwarder that gets its placement decisions from machine.
func New(settings Settings, machine *placer.Machine, sender Sender, set *reporter.Counters) *Forwarder {
	f := &Forwarder{
		settings:     settings,
		nameHash:     placer.HashEntry(settings.Name),
		machine:      machine,
		sender:       sender,
		decoder:      translator.NewDecoder(settings.VNI),
		view:         newView(),
		services:     make(map[resolver.Endpoint]uint16),
		backends:     make(map[resolver.Endpoint]backend),
		addresses:    make(map[uint32]netip.AddrPort),
		heldPackets:  make(map[uint32]heldPacket),
		dropCounters: make(map[translator.Reason]*expvar.Int),
		observations: make(map[uint32]*Observation),
		counters: counters{
			forwarded: set.Int("packets_forwarded"),
			returned:  set.Int("packets_returned"),
			relayed:   set.Int("packets_relayed"),
			held:      set.Int("packets_held"),
		},
	}
	for _, reason := range translator.Reasons() {
		f.dropCounters[reason] = set.Int("packets_dropped_" + reason.String())
	}
	return f
}

// HandleDatagram processes the payload of a datagram received from remote that has waited
// in this entry for the given time. It does not retain the payload.
func (f *Forwarder) HandleDatagram(now time.Time, payload []byte, remote netip.AddrPort, waited time.Duration) {
	if reason := f.decoder.Decode(payload, &f.packet); reason != translator.ReasonNone {
		f.drop(reason)
		return
	}
	if f.packet.RelayedBy != 0 && !f.view.isMember(f.packet.RelayedBy, remote) {
		f.drop(translator.ReasonRelayUnknown)
		return
	}
	endpoint := resolver.Endpoint{Address: f.packet.Destination, Protocol: f.packet.Protocol}
	if service, ok := f.services[endpoint]; ok {
		f.handleCallerPacket(now, service, waited)
		return
	}
	endpoint.Address = f.packet.Source
	if backend, ok := f.backends[endpoint]; ok {
		f.handleReply(now, backend)
		return
	}
	f.drop(translator.ReasonUnknownAddress)
}

// handleCallerPacket processes a packet from a caller to a service address.
func (f *Forwarder) handleCallerPacket(now time.Time, service uint16, waited time.Duration) {
	p := &f.packet
	decision := f.machine.Decide(now, placer.Packet{
		Flow:      translator.FlowHash(p.Source, p.Destination, p.Protocol),
		RelayedBy: p.RelayedBy,
		Service:   service,
		Protocol:  placerProtocol(p.Protocol),
		Flags:     placerFlags(p.Flags),
		Sequence:  p.Sequence,
		Waited:    waited,
	})
	f.applyDecision(decision)
}

// applyDecision carries out a placement decision for the current packet.
func (f *Forwarder) applyDecision(decision placer.Decision) {
	switch decision.Action {
	case placer.ActionForward:
		f.forward(decision.Backend)
	case placer.ActionRelay:
		f.relay(decision.Entry)
	case placer.ActionHold:
		f.counters.held.Add(1)
		f.heldPackets[decision.Ticket] = heldPacket{
			inner: append([]byte(nil), f.packet.Inner...), source: f.packet.Source, destination: f.packet.Destination,
		}
	case placer.ActionDrop:
		f.drop(dropReason(decision.Reason))
	}
}

func (f *Forwarder) forward(index uint32) {
	address, ok := f.addresses[index]
	if !ok {
		// The address belongs to another record, and the packet must not reach the
		// service of that record.
		f.drop(translator.ReasonAddressConflict)
		return
	}
	if address.Addr().Is4() != f.packet.Destination.Addr().Is4() {
		f.drop(translator.ReasonNoBackendServer)
		return
	}
	translator.RewriteDestination(&f.packet, address)
	f.counters.forwarded.Add(1)
	f.send(f.settings.Fabric, 0)
}

func (f *Forwarder) relay(index uint16) {
	to, ok := f.view.members[placer.HashEntry(f.machine.GetEntry(index))]
	if !ok {
		f.drop(translator.ReasonRelayUnknown)
		return
	}
	f.counters.relayed.Add(1)
	f.send(to.address, f.nameHash)
}

// handleReply processes a packet from a backend server to a caller.
func (f *Forwarder) handleReply(now time.Time, from backend) {
	p := &f.packet
	f.addObservation(from.index, p.Flags)
	f.machine.Observe(now, placer.Reply{
		Flow:     translator.FlowHash(p.Destination, from.serviceAddress, p.Protocol),
		Backend:  from.index,
		Protocol: placerProtocol(p.Protocol),
		Flags:    placerFlags(p.Flags),
	})
	translator.RewriteSource(p, from.serviceAddress)
	f.counters.returned.Add(1)
	f.send(f.settings.Fabric, 0)
}

// Observation counts the packets that a backend server has sent to callers.
type Observation struct {
	ID        announcer.ID
	Responses uint32
	// Failures counts resets.
	Failures uint32
}

func (f *Forwarder) addObservation(index uint32, flags translator.Flags) {
	observation, ok := f.observations[index]
	if !ok {
		observation = &Observation{ID: idWithoutFamily(f.machine.GetBackend(index).ID)}
		f.observations[index] = observation
	}
	if flags.Has(translator.FlagRST) {
		observation.Failures++
	} else {
		observation.Responses++
	}
}

// TakeObservations returns the observations since the previous call and resets them.
func (f *Forwarder) TakeObservations() []Observation {
	var taken []Observation
	for index, observation := range f.observations {
		if observation.Responses == 0 && observation.Failures == 0 {
			delete(f.observations, index)
			continue
		}
		taken = append(taken, *observation)
		observation.Responses, observation.Failures = 0, 0
	}
	return taken
}

func (f *Forwarder) send(to netip.AddrPort, relayedBy uint64) {
	f.sender.Send(to, func(dst []byte) []byte {
		return translator.Encode(dst, f.settings.VNI, f.packet.Inner, relayedBy)
	})
}

func (f *Forwarder) drop(reason translator.Reason) { f.dropCounters[reason].Add(1) }

func placerProtocol(protocol translator.Protocol) placer.Protocol {
	if protocol == translator.ProtocolUDP {
		return placer.ProtocolUDP
	}
	return placer.ProtocolTCP
}

func placerFlags(flags translator.Flags) placer.Flags {
	var result placer.Flags
	if flags.Has(translator.FlagSYN) && !flags.Has(translator.FlagACK) {
		result |= placer.FlagSYN
	}
	if flags.Has(translator.FlagFIN) {
		result |= placer.FlagFIN
	}
	if flags.Has(translator.FlagRST) {
		result |= placer.FlagRST
	}
	return result
}

func dropReason(reason placer.Reason) translator.Reason {
	switch reason {
	case placer.ReasonServiceNotExist:
		return translator.ReasonUnknownAddress
	case placer.ReasonNoView:
		return translator.ReasonNotReady
	case placer.ReasonTakenOut:
		return translator.ReasonTakenOut
	case placer.ReasonHoldFull:
		return translator.ReasonQueueFull
	case placer.ReasonLateOpening:
		return translator.ReasonLateOpening
	default:
		return translator.ReasonNoBackendServer
	}
}

// CountFlows returns the number of flows that this entry owns on each backend server.
func (f *Forwarder) CountFlows() []placer.FlowCount {
	counts := f.machine.CountFlows()
	for i := range counts {
		counts[i].Record.ID = idWithoutFamily(counts[i].Record.ID)
	}
	return counts
}
