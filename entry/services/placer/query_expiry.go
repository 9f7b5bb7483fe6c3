package placer

import (
	"maps"
	"slices"
	"time"
)

// udpAnswerTimeout is how long a peer that does not answer counts as possibly knowing a UDP flow,
// since nothing shows whether a UDP flow is new. It is longer than a process waits for the
// processor on a busy machine, and well below the time after which a dead peer is removed from the
// members.
const udpAnswerTimeout = time.Second

// recordUnanswered records which peers have not answered a query. It returns whether one of them is
// alive, and whether one has been silent for less than udpAnswerTimeout.
func (m *Machine) recordUnanswered(q *query) (isAlive, isWithinTimeout bool) {
	for _, i := range q.awaited {
		e := &m.entries[i]
		if !e.isLive {
			continue
		}
		if e.silentSince.IsZero() {
			e.silentSince = q.deadline.Add(-m.config.QueryTimeout)
		}
		isAlive = true
		isWithinTimeout = isWithinTimeout || m.now.Sub(e.silentSince) < udpAnswerTimeout
	}
	return isAlive, isWithinTimeout
}

// dropUnresolved drops the held packets of flows that a peer which has not answered in time may
// know. The caller retransmits them, whereas a packet sent to the wrong backend server would break
// the flow. A dead peer is removed from the members within seconds.
func (m *Machine) dropUnresolved(q *query) {
	isAlive, isWithinTimeout := m.recordUnanswered(q)
	if !isAlive {
		return
	}
	for _, flow := range q.flows {
		f := m.resolver.flows[flow]
		if f == nil || m.cache.Lookup(flow, m.sec) != nil {
			continue
		}
		if packet := f.packets[0].packet; packet.isSYN() || packet.Protocol != ProtocolTCP && !isWithinTimeout {
			continue
		}
		delete(m.resolver.flows, flow)
		for _, held := range f.packets {
			decision := drop(ReasonUnanswered)
			m.count(decision)
			m.emit(PacketReleased{Ticket: held.ticket, Decision: decision})
		}
		m.resolver.held -= len(f.packets)
		m.resolver.free = append(m.resolver.free, f)
	}
}

// queryAllPeers queries all peers about a flow after a query to some of them.
func (m *Machine) queryAllPeers(flow uint64) {
	if f := m.resolver.flows[flow]; f != nil {
		f.scope = queryAll
		m.resolver.unsent = append(m.resolver.unsent, flow)
	}
}

// expireQueries sends queries again after half the timeout, and decides without the answers that
// have not arrived in time.
func (m *Machine) expireQueries() {
	ids := slices.Sorted(maps.Keys(m.resolver.queries))
	for _, id := range ids {
		q := m.resolver.queries[id]
		switch {
		case !q.deadline.After(m.now) && q.scope != queryAll:
			// The peer may be frozen or dead.
			delete(m.resolver.queries, id)
			for _, flow := range q.flows {
				m.queryAllPeers(flow)
			}
		case !q.deadline.After(m.now):
			m.dropUnresolved(q)
			m.finishQuery(id)
		case !q.isRepeated && q.deadline.Sub(m.now) <= m.config.QueryTimeout/2:
			q.isRepeated = true
			m.transmitQuery(id)
		}
	}
}
