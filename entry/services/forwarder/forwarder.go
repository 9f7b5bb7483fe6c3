// Package forwarder takes each packet from the fabric through decoding, flow
// placement and address translation back to the fabric or to another entry. It
// has no goroutines or clock of its own.
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

// Sender sends datagrams whose payload write appends to an empty slice.
type Sender interface {
	Send(to netip.AddrPort, write func(dst []byte) []byte)
}

// Settings are those of one entry.
type Settings struct {
	// Name is that of the entry.
	Name string
	// VNI is the virtual network identifier of the fabric.
	VNI uint32
	// Fabric is where packets for backend servers and callers are sent.
	Fabric netip.AddrPort
}

// Forwarder handles the packets of one entry. It is not safe for concurrent use.
type Forwarder struct {
	settings Settings
	hash     uint64
	machine  *placer.Machine
	sender   Sender
	decoder  *translator.Decoder
	packet   translator.Packet

	view view
	// services and owners are the indexes in the machine of what an endpoint
	// belongs to; addresses are those of its backend servers by index.
	services  map[resolver.Endpoint]uint16
	owners    map[resolver.Endpoint]owner
	addresses map[uint32]netip.AddrPort
	held      map[uint32]heldPacket
	drops     map[translator.Reason]*expvar.Int
	observed  map[uint32]*Observation
	counters  counters
}

// owner is a backend server by its index in the machine.
type owner struct {
	index          uint32
	serviceAddress netip.AddrPort
}

type counters struct {
	forwarded, returned, relayed, held, resets *expvar.Int
}

// heldPacket is a packet that waits for a decision.
type heldPacket struct {
	inner       []byte
	source      netip.AddrPort
	destination netip.AddrPort
}

// New returns a Forwarder that asks machine where flows go.
func New(settings Settings, machine *placer.Machine, sender Sender, set *reporter.Counters) *Forwarder {
	f := &Forwarder{
		settings:  settings,
		hash:      placer.HashEntry(settings.Name),
		machine:   machine,
		sender:    sender,
		decoder:   translator.NewDecoder(settings.VNI),
		view:      newView(),
		services:  make(map[resolver.Endpoint]uint16),
		owners:    make(map[resolver.Endpoint]owner),
		addresses: make(map[uint32]netip.AddrPort),
		held:      make(map[uint32]heldPacket),
		drops:     make(map[translator.Reason]*expvar.Int),
		observed:  make(map[uint32]*Observation),
		counters: counters{
			forwarded: set.Int("packets_forwarded"),
			returned:  set.Int("packets_returned"),
			relayed:   set.Int("packets_relayed"),
			held:      set.Int("packets_held"),
			resets:    set.Int("packets_reset"),
		},
	}
	for _, reason := range translator.Reasons() {
		f.drops[reason] = set.Int("packets_dropped_" + reason.String())
	}
	return f
}

// HandleDatagram handles the payload of a datagram that came from remote. It
// does not keep the payload.
func (f *Forwarder) HandleDatagram(now time.Time, payload []byte, remote netip.AddrPort) {
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
		f.handleCaller(now, service)
		return
	}
	endpoint.Address = f.packet.Source
	if owner, ok := f.owners[endpoint]; ok {
		f.handleReply(now, owner)
		return
	}
	f.drop(translator.ReasonUnknownAddress)
}

// handleCaller handles a packet from a caller to a service address.
func (f *Forwarder) handleCaller(now time.Time, service uint16) {
	p := &f.packet
	decision := f.machine.Decide(now, placer.Packet{
		Flow:      translator.FlowHash(p.Source, p.Destination, p.Protocol),
		RelayedBy: p.RelayedBy,
		Service:   service,
		Protocol:  placerProtocol(p.Protocol),
		Flags:     placerFlags(p.Flags),
	})
	f.apply(decision)
}

// apply carries out a decision about the current packet.
func (f *Forwarder) apply(decision placer.Decision) {
	switch decision.Action {
	case placer.ActionForward:
		f.forward(decision.Backend)
	case placer.ActionRelay:
		f.relay(decision.Entry)
	case placer.ActionHold:
		f.counters.held.Add(1)
		f.held[decision.Ticket] = heldPacket{
			inner: append([]byte(nil), f.packet.Inner...), source: f.packet.Source, destination: f.packet.Destination,
		}
	case placer.ActionReset:
		f.reset()
	case placer.ActionDrop:
		f.drop(dropReason(decision.Reason))
	}
}

func (f *Forwarder) forward(index uint32) {
	address, ok := f.addresses[index]
	if !ok {
		// Another record holds the address; a packet must not reach its service.
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
	f.send(to.address, f.hash)
}

// reset tells the caller that its flow is gone.
func (f *Forwarder) reset() {
	if f.packet.Protocol != translator.ProtocolTCP || !f.packet.Flags.Has(translator.FlagACK) {
		f.drop(translator.ReasonNoBackendServer)
		return
	}
	inner, err := translator.CreateReset(f.packet.Destination, f.packet.Source, f.packet.Acknowledgment)
	if err != nil {
		f.drop(translator.ReasonMalformed)
		return
	}
	f.counters.resets.Add(1)
	f.packet.Inner = inner
	f.send(f.settings.Fabric, 0)
}

// handleReply handles a packet from a backend server to a caller.
func (f *Forwarder) handleReply(now time.Time, from owner) {
	p := &f.packet
	f.observe(from.index, p.Flags)
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

// Observation counts what a backend server answered.
type Observation struct {
	ID        announcer.ID
	Responses uint32
	// Failures counts resets.
	Failures uint32
}

func (f *Forwarder) observe(index uint32, flags translator.Flags) {
	observation, ok := f.observed[index]
	if !ok {
		observation = &Observation{ID: originalID(f.machine.GetBackend(index).ID)}
		f.observed[index] = observation
	}
	if flags.Has(translator.FlagRST) {
		observation.Failures++
	} else {
		observation.Responses++
	}
}

// TakeObservations returns what backend servers answered since the last call.
func (f *Forwarder) TakeObservations() []Observation {
	var taken []Observation
	for index, observation := range f.observed {
		if observation.Responses == 0 && observation.Failures == 0 {
			delete(f.observed, index)
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

func (f *Forwarder) drop(reason translator.Reason) { f.drops[reason].Add(1) }

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
	default:
		return translator.ReasonNoBackendServer
	}
}

// CountFlows returns the flows that this entry owns on each backend server.
func (f *Forwarder) CountFlows() []placer.FlowCount {
	counts := f.machine.CountFlows()
	for i := range counts {
		counts[i].Record.ID = originalID(counts[i].Record.ID)
	}
	return counts
}
