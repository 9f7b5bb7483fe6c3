package placer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
)

// queryScope determines which peers are queried about an unknown flow.
type queryScope uint8

const (
	// queryNext queries the next entry in rendezvous order, and the entries that are leaving or
	// starting again, which may have been owners. After an entry has joined, the next one is the
	// former owner; at a former owner it is the current one.
	queryNext queryScope = iota
	// queryAll queries all entries of the domain.
	queryAll
	// queryOwner asks the owner to place a new flow. An entry that is not the owner needs this for
	// packets relayed by an entry whose member list differs.
	queryOwner
)

// unresolvedFlow is an unknown flow, with its held packets, about which peers are queried.
type unresolvedFlow struct {
	service uint16
	scope   queryScope
	next    uint16
	packets []heldPacket
}

type heldPacket struct {
	ticket uint32
	packet Packet
}

// query is a message about one or more flows that some peers have not answered yet.
type query struct {
	deadline time.Time
	awaited  []uint16
	flows    []uint64
	// service is the hash of the service for which the owner must place new flows, or 0.
	service uint64
	scope   queryScope
	// isRepeated is set after the query was sent a second time, in case the first was lost.
	isRepeated bool
}

type flowResolver struct {
	limit      int
	held       int
	nextTicket uint32
	nextQuery  uint32
	flows      map[uint64]*unresolvedFlow
	// unsent are the flows to query about at the next tick, in order.
	unsent  []uint64
	queries map[uint32]*query
	// free are unused records. Reusing them keeps holdAndQuery free of allocations.
	free []*unresolvedFlow
}

func newFlowResolver(limit int) flowResolver {
	r := flowResolver{
		limit: limit, flows: make(map[uint64]*unresolvedFlow, limit), unsent: make([]uint64, 0, limit),
		queries: make(map[uint32]*query), free: make([]*unresolvedFlow, limit),
	}
	for i := range r.free {
		r.free[i] = &unresolvedFlow{packets: make([]heldPacket, 0, 2)}
	}
	return r
}

// holdAndQuery holds a packet until peers have answered whether they know its flow.
func (m *Machine) holdAndQuery(svc *service, packet Packet, scope queryScope) Decision {
	next := m.ownerExcept(svc, packet.Flow, self)
	if next == noEntry && (scope == queryOwner || !m.hasFormerOwner(svc)) {
		return m.placeUnknown(svc, packet)
	}
	if scope == queryOwner && packet.isLateSYN() {
		// The owner cannot tell this query from one about a new flow.
		return drop(ReasonLateOpening)
	}
	r := &m.resolver
	if r.held >= r.limit {
		return drop(ReasonHoldFull)
	}
	f := r.flows[packet.Flow]
	if f == nil {
		f = r.free[len(r.free)-1]
		r.free = r.free[:len(r.free)-1]
		*f = unresolvedFlow{service: svc.index, scope: scope, next: next, packets: f.packets[:0]}
		r.flows[packet.Flow] = f
		r.unsent = append(r.unsent, packet.Flow)
		m.counters.QueriedFlows++
	}
	r.held++
	r.nextTicket++
	f.packets = append(f.packets, heldPacket{ticket: r.nextTicket, packet: packet})
	return hold(r.nextTicket)
}

// hasFormerOwner reports whether an entry that is leaving or starting again may know a flow,
// although it owns none now. With two entries, the remaining owner has no other entry to query.
func (m *Machine) hasFormerOwner(svc *service) bool {
	return slices.ContainsFunc(svc.members, func(i uint16) bool { return !m.entries[i].isReady && m.entries[i].readinessSequence != 0 })
}

// flowsPerQuery keeps a query under about 1,200 bytes.
const flowsPerQuery = 140

// sendQueries sends the flows queued since the last tick, grouped by the peers to query.
func (m *Machine) sendQueries() {
	r := &m.resolver
	type group struct {
		service uint16
		scope   queryScope
		next    uint16
	}
	var order []group
	groups := make(map[group][]uint64)
	for _, flow := range r.unsent {
		f := r.flows[flow]
		if f == nil {
			continue
		}
		g := group{service: f.service, scope: f.scope, next: f.next}
		if f.scope == queryAll {
			g.next = noEntry
		}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], flow)
	}
	r.unsent = r.unsent[:0]
	for _, g := range order {
		svc := m.services[g.service]
		to, serviceHash := svc.members, uint64(0)
		switch g.scope {
		case queryAll:
		case queryOwner:
			to, serviceHash = []uint16{g.next}, svc.hash
		case queryNext:
			to = slices.DeleteFunc(slices.Clone(to), func(i uint16) bool {
				return i != g.next && (m.entries[i].isReady || m.entries[i].readinessSequence == 0)
			})
		}
		for flows := range slices.Chunk(groups[g], flowsPerQuery) {
			m.sendQuery(g.scope, to, flows, serviceHash)
		}
	}
}

func (m *Machine) sendQuery(scope queryScope, to []uint16, flows []uint64, serviceHash uint64) {
	r := &m.resolver
	r.nextQuery++
	r.queries[r.nextQuery] = &query{
		deadline: m.now.Add(m.config.QueryTimeout), awaited: slices.Clone(to), flows: flows,
		service: serviceHash, scope: scope,
	}
	m.transmitQuery(r.nextQuery)
}

// transmitQuery sends a query to the peers that have not answered it.
func (m *Machine) transmitQuery(id uint32) {
	q := m.resolver.queries[id]
	packed := make([]byte, 0, 8*len(q.flows))
	for _, flow := range q.flows {
		packed = binary.BigEndian.AppendUint64(packed, flow)
	}
	for _, i := range q.awaited {
		m.placementTokens.spend(messageOverhead + len(packed))
		m.send(i, messenger.FlowQuery{ID: id, Flows: packed, Service: q.service})
	}
}

// answerQuery reports the targets of those flows that this entry has in its cache.
func (m *Machine) answerQuery(from uint16, msg messenger.FlowQuery) {
	var enc encoder
	for flows := msg.Flows; len(flows) >= 8; flows = flows[8:] {
		flow := binary.BigEndian.Uint64(flows)
		cached := m.cache.Lookup(flow, m.sec)
		if cached == nil && msg.Service != 0 {
			cached = m.placeForPeer(msg.Service, flow)
		}
		if cached != nil && m.backends[cached.Target].isPresent {
			m.encodePlacement(&enc, toPlacement(cached))
		}
	}
	m.placementTokens.spend(messageOverhead + 9*len(enc.targets) + len(enc.encoded))
	m.send(from, messenger.FlowAnswer{ID: msg.ID, Targets: enc.targets, Flows: enc.encoded})
}

// placeForPeer places a new TCP flow as its owner. It returns nil if it cannot.
func (m *Machine) placeForPeer(serviceHash, flow uint64) *tracker.Flow {
	svc := m.findService(serviceHash)
	if svc == nil || m.mode != modeReady || m.resolver.flows[flow] != nil {
		return nil
	}
	packet := Packet{Flow: flow, Service: svc.index, Flags: FlagSYN}
	target := m.target(svc, allocator.Bucket(flow))
	if e, ok := m.findException(svc, packet); ok {
		target = e.target
	}
	if !m.isUsable(target, svc.index) {
		return nil
	}
	m.place(svc, packet, target, true)
	return m.cache.Lookup(flow, m.sec)
}

func (m *Machine) receiveAnswer(from uint16, msg messenger.FlowAnswer) {
	q, ok := m.resolver.queries[msg.ID]
	if !ok || !slices.Contains(q.awaited, from) {
		return
	}
	m.decodePlacements(msg.Targets, msg.Flows, func(p placement) {
		if slices.Contains(q.flows, p.flow) {
			m.release(p.flow, p.target)
		}
	})
	q.awaited = slices.DeleteFunc(q.awaited, func(i uint16) bool { return i == from })
	if len(q.awaited) == 0 {
		m.finishQuery(msg.ID)
	}
}

// finishQuery places the flows of a query that no peer knows.
func (m *Machine) finishQuery(id uint32) {
	q := m.resolver.queries[id]
	delete(m.resolver.queries, id)
	for _, flow := range q.flows {
		f := m.resolver.flows[flow]
		if f != nil && f.scope != queryAll && m.needsAllPeers(m.services[f.service], f.packets[0].packet) {
			// A table has become active since the query was sent.
			m.queryAllPeers(flow)
			continue
		}
		m.release(flow, 0)
	}
}

// release decides on the held packets of a flow. Target 0 means that no peer knows the flow.
func (m *Machine) release(flow uint64, target uint32) {
	r := &m.resolver
	f := r.flows[flow]
	if f == nil {
		return
	}
	delete(r.flows, flow)
	svc := m.services[f.service]
	for _, held := range f.packets {
		var decision Decision
		switch cached := m.cache.Lookup(flow, m.sec); {
		case cached != nil && m.isUsable(cached.Target, svc.index):
			// Placed for an earlier packet, or cached from a response since then.
			m.touch(cached, held.packet)
			if held.packet.RelayedBy != 0 {
				m.queueHint(held.packet.RelayedBy, toPlacement(cached))
			}
			decision = forward(cached.Target)
		case target != 0 && m.isUsable(target, svc.index):
			decision = m.place(svc, held.packet, target, true)
		case m.mode == modeStarting:
			// The state is stale; the caller retransmits.
			decision = drop(ReasonNoView)
		default:
			decision = m.placeUnknown(svc, held.packet)
		}
		m.count(decision)
		m.emit(PacketReleased{Ticket: held.ticket, Decision: decision})
	}
	r.held -= len(f.packets)
	r.free = append(r.free, f)
}
