package placer

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/tabler"
)

// askScope tells which peers are asked about an unknown flow.
type askScope uint8

const (
	// askNext asks the next entry in rendezvous order (after a join the former
	// owner, at a former owner the present one) and the entries that leave or are
	// starting again, which may have been owners.
	askNext askScope = iota
	// askAll asks all entries of the domain.
	askAll
	// askOwner asks the owner to place a new flow. An entry that is not the owner
	// gets relayed packets from one with another view of the members.
	askOwner
)

// flowAsk is an unknown flow that waits for answers, with its packets.
type flowAsk struct {
	service uint16
	scope   askScope
	next    uint16
	tickets []heldPacket
}

type heldPacket struct {
	ticket uint32
	packet Packet
}

// query is a message about several flows that has not been answered by all.
type query struct {
	deadline time.Time
	waiting  []uint16
	flows    []uint64
	// service is that of new flows which the owner must place, or 0.
	service uint64
	scope   askScope
	// isRepeated is set when the query was sent again, in case that it was lost.
	isRepeated bool
}

type asker struct {
	limit      int
	held       int
	nextTicket uint32
	nextQuery  uint32
	flows      map[uint64]*flowAsk
	// unsent are the flows to ask about, in order.
	unsent  []uint64
	queries map[uint32]*query
	// spare are records for reuse, so that holding a packet does not allocate.
	spare []*flowAsk
}

func newAsker(limit int) asker {
	a := asker{
		limit: limit, flows: make(map[uint64]*flowAsk, limit), unsent: make([]uint64, 0, limit),
		queries: make(map[uint32]*query), spare: make([]*flowAsk, limit),
	}
	for i := range a.spare {
		a.spare[i] = &flowAsk{tickets: make([]heldPacket, 0, 2)}
	}
	return a
}

// ask holds a packet until peers have answered whether they know its flow.
func (m *Machine) ask(svc *service, packet Packet, scope askScope) Decision {
	next := m.ownerBut(svc, packet.Flow, self)
	if next == none && (scope == askOwner || !m.hasFormerOwner(svc)) {
		return m.placeUnknown(svc, packet)
	}
	a := &m.asks
	if a.held >= a.limit {
		return drop(ReasonHoldFull)
	}
	f := a.flows[packet.Flow]
	if f == nil {
		f = a.spare[len(a.spare)-1]
		a.spare = a.spare[:len(a.spare)-1]
		*f = flowAsk{service: svc.index, scope: scope, next: next, tickets: f.tickets[:0]}
		a.flows[packet.Flow] = f
		a.unsent = append(a.unsent, packet.Flow)
		m.counters.Queried++
	}
	a.held++
	a.nextTicket++
	f.tickets = append(f.tickets, heldPacket{ticket: a.nextTicket, packet: packet})
	return holdUntil(a.nextTicket)
}

// hasFormerOwner reports whether an entry that leaves or starts again may know a flow,
// although it owns none now. With two entries, the one that stays has no other to ask.
func (m *Machine) hasFormerOwner(svc *service) bool {
	return slices.ContainsFunc(svc.members, func(i uint16) bool { return !m.entries[i].isReady && m.entries[i].standing != 0 })
}

// flowsPerQuery keeps a query under about 1,200 bytes.
const flowsPerQuery = 140

// sendQueries sends the flows asked about since the last tick, in one query for
// each group of peers.
func (m *Machine) sendQueries() {
	a := &m.asks
	type group struct {
		service uint16
		scope   askScope
		next    uint16
	}
	var order []group
	groups := make(map[group][]uint64)
	for _, flow := range a.unsent {
		f := a.flows[flow]
		if f == nil {
			continue
		}
		g := group{service: f.service, scope: f.scope, next: f.next}
		if f.scope == askAll {
			g.next = none
		}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], flow)
	}
	a.unsent = a.unsent[:0]
	for _, g := range order {
		svc := m.services[g.service]
		to, placing := svc.members, uint64(0)
		switch g.scope {
		case askAll:
		case askOwner:
			to, placing = []uint16{g.next}, svc.hash
		case askNext:
			to = slices.DeleteFunc(slices.Clone(to), func(i uint16) bool {
				return i != g.next && (m.entries[i].isReady || m.entries[i].standing == 0)
			})
		}
		for flows := range slices.Chunk(groups[g], flowsPerQuery) {
			m.sendQuery(g.scope, to, flows, placing)
		}
	}
}

func (m *Machine) sendQuery(scope askScope, to []uint16, flows []uint64, placing uint64) {
	a := &m.asks
	a.nextQuery++
	a.queries[a.nextQuery] = &query{
		deadline: m.now.Add(m.config.QueryLimit), waiting: slices.Clone(to), flows: flows,
		service: placing, scope: scope,
	}
	m.transmitQuery(a.nextQuery)
}

// transmitQuery sends a query to the peers that have not answered it.
func (m *Machine) transmitQuery(id uint32) {
	q := m.asks.queries[id]
	packed := make([]byte, 0, 8*len(q.flows))
	for _, flow := range q.flows {
		packed = binary.BigEndian.AppendUint64(packed, flow)
	}
	for _, i := range q.waiting {
		m.placementTokens.spend(messageOverhead + len(packed))
		m.send(i, messenger.FlowQuery{ID: id, Flows: packed, Service: q.service})
	}
}

// answerQuery tells which of the flows this entry has in its cache.
func (m *Machine) answerQuery(from uint16, msg messenger.FlowQuery) {
	var p packer
	for flows := msg.Flows; len(flows) >= 8; flows = flows[8:] {
		flow := binary.BigEndian.Uint64(flows)
		line := m.cache.Lookup(flow, m.sec)
		if line == nil && msg.Service != 0 {
			line = m.placeForPeer(msg.Service, flow)
		}
		if line != nil && m.backends[line.Target].isPresent {
			m.pack(&p, toPlacement(line))
		}
	}
	m.placementTokens.spend(messageOverhead + 9*len(p.targets) + len(p.lines))
	m.send(from, messenger.FlowAnswer{ID: msg.ID, Targets: p.targets, Lines: p.lines})
}

// placeForPeer places a new TCP flow as its owner, or returns nil if it cannot.
func (m *Machine) placeForPeer(serviceHash, flow uint64) *tracker.Line {
	svc := m.findService(serviceHash)
	if svc == nil || m.mode != modeReady || m.asks.flows[flow] != nil {
		return nil
	}
	packet := Packet{Flow: flow, Service: svc.index, Flags: FlagSYN}
	target := m.target(svc, tabler.Bucket(flow))
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
	q, ok := m.asks.queries[msg.ID]
	if !ok || !slices.Contains(q.waiting, from) {
		return
	}
	m.unpack(msg.Targets, msg.Lines, func(p placement) {
		if slices.Contains(q.flows, p.flow) {
			m.release(p.flow, p.target)
		}
	})
	q.waiting = slices.DeleteFunc(q.waiting, func(i uint16) bool { return i == from })
	if len(q.waiting) == 0 {
		m.finishQuery(msg.ID)
	}
}

// finishQuery places the flows of a query that no peer knows.
func (m *Machine) finishQuery(id uint32) {
	q := m.asks.queries[id]
	delete(m.asks.queries, id)
	for _, flow := range q.flows {
		f := m.asks.flows[flow]
		if f != nil && f.scope != askAll && m.needsAll(m.services[f.service], f.tickets[0].packet) {
			// A table has become active meanwhile.
			m.askOthers(flow)
			continue
		}
		m.release(flow, 0)
	}
}

// release decides on the packets of a flow. Target 0 means that no peer knows it.
func (m *Machine) release(flow uint64, target uint32) {
	a := &m.asks
	f := a.flows[flow]
	if f == nil {
		return
	}
	delete(a.flows, flow)
	svc := m.services[f.service]
	for _, held := range f.tickets {
		var decision Decision
		switch line := m.cache.Lookup(flow, m.sec); {
		case line != nil && m.isUsable(line.Target, svc.index):
			// Decided for an earlier packet, or learned meanwhile.
			m.touch(line, held.packet)
			if held.packet.RelayedBy != 0 {
				m.hint(held.packet.RelayedBy, toPlacement(line))
			}
			decision = forward(line.Target)
		case target != 0 && m.isUsable(target, svc.index):
			decision = m.place(svc, held.packet, target, true)
		case m.mode == modeStarting:
			// The state is stale; the caller sends again.
			decision = drop(ReasonNoView)
		default:
			decision = m.placeUnknown(svc, held.packet)
		}
		m.count(decision)
		m.emit(PacketReleased{Ticket: held.ticket, Decision: decision})
	}
	a.held -= len(f.tickets)
	a.spare = append(a.spare, f)
}

// datagramPatience is how long a silent peer may know a flow of UDP, of which nobody can tell
// whether it is new: longer than a busy machine lets a process wait, and well below the time
// after which a dead peer leaves the members.
const datagramPatience = time.Second

// noteUnanswered notes which peers have not answered a query, and returns whether one of them
// is alive, and whether one has been silent for a short time only.
func (m *Machine) noteUnanswered(q *query) (isAlive, isPatient bool) {
	for _, i := range q.waiting {
		e := &m.entries[i]
		if !e.isLive {
			continue
		}
		if e.silentSince.IsZero() {
			e.silentSince = q.deadline.Add(-m.config.QueryLimit)
		}
		isAlive = true
		isPatient = isPatient || m.now.Sub(e.silentSince) < datagramPatience
	}
	return isAlive, isPatient
}

// dropUnsure drops the packets of flows that a peer which has not answered in time
// may know. The caller sends them again, and a guess would end the flow. A peer that is
// dead leaves the members within seconds.
func (m *Machine) dropUnsure(q *query) {
	isAlive, isPatient := m.noteUnanswered(q)
	if !isAlive {
		return
	}
	for _, flow := range q.flows {
		f := m.asks.flows[flow]
		if f == nil || m.cache.Lookup(flow, m.sec) != nil {
			continue
		}
		if packet := f.tickets[0].packet; packet.isSYN() || packet.Protocol != ProtocolTCP && !isPatient {
			continue
		}
		delete(m.asks.flows, flow)
		for _, held := range f.tickets {
			decision := drop(ReasonUnanswered)
			m.count(decision)
			m.emit(PacketReleased{Ticket: held.ticket, Decision: decision})
		}
		m.asks.held -= len(f.tickets)
		m.asks.spare = append(m.asks.spare, f)
	}
}

// askOthers asks all peers about a flow after one peer.
func (m *Machine) askOthers(flow uint64) {
	if f := m.asks.flows[flow]; f != nil {
		f.scope = askAll
		m.asks.unsent = append(m.asks.unsent, flow)
	}
}

// expireAsks repeats queries after half the limit, and decides without the answers
// that have not come in time.
func (m *Machine) expireAsks() {
	ids := slices.Sorted(maps.Keys(m.asks.queries))
	for _, id := range ids {
		q := m.asks.queries[id]
		switch {
		case !q.deadline.After(m.now) && q.scope != askAll:
			// The peer may be frozen or dead.
			delete(m.asks.queries, id)
			for _, flow := range q.flows {
				m.askOthers(flow)
			}
		case !q.deadline.After(m.now):
			m.dropUnsure(q)
			m.finishQuery(id)
		case !q.isRepeated && q.deadline.Sub(m.now) <= m.config.QueryLimit/2:
			q.isRepeated = true
			m.transmitQuery(id)
		}
	}
}
