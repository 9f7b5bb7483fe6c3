package placer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
)

// silenceDetector finds flows whose backend server has stopped responding on them.
type silenceDetector struct {
	suspects []uint64
	sentAt   time.Time
	nextID   uint32
	queries  map[uint32]*silenceQuery
}

type silenceQuery struct {
	deadline time.Time
	awaited  []uint16
	flows    []uint64
}

const (
	// silentPackets is the number of caller packets without a response from which on a flow may be
	// silent.
	silentPackets = 3
	// flowsPerSilenceQuery bounds the traffic of queries, together with the interval of 1 s between
	// them.
	flowsPerSilenceQuery = 16
	silenceFlowBytes     = 10
)

// checkSilence adds a TCP flow without responses to the suspects if its backend server responds on
// other flows.
func (m *Machine) checkSilence(cached *tracker.Flow) {
	const ignored = tracker.FlagUDP | tracker.FlagClosed | tracker.FlagActivityQueried | tracker.FlagReset
	s := &m.silence
	if cached.Flags&ignored != 0 || cached.Unanswered < silentPackets || m.sec-cached.UnansweredSince < m.config.SilenceThreshold ||
		m.backends[cached.Target].lastReply <= cached.UnansweredSince || len(s.suspects) >= flowsPerSilenceQuery {
		return
	}
	if s.suspects == nil {
		s.suspects = make([]uint64, 0, flowsPerSilenceQuery)
	}
	cached.Flags |= tracker.FlagActivityQueried
	s.suspects = append(s.suspects, cached.Fingerprint)
}

// sendSilenceQuery asks all peers about the suspects, at most once a second.
func (m *Machine) sendSilenceQuery() {
	s := &m.silence
	m.expireSilenceQueries()
	if len(s.suspects) == 0 || m.now.Sub(s.sentAt) < time.Second {
		return
	}
	s.sentAt = m.now
	s.nextID++
	q := &silenceQuery{deadline: m.now.Add(time.Second)}
	packed := make([]byte, 0, silenceFlowBytes*len(s.suspects))
	for _, flow := range s.suspects {
		if cached := m.cache.Lookup(flow, m.sec); cached != nil {
			q.flows = append(q.flows, flow)
			packed = binary.BigEndian.AppendUint64(packed, flow)
			packed = binary.BigEndian.AppendUint16(packed, uint16(min(m.sec-cached.UnansweredSince, 0xFFFF)))
		}
	}
	s.suspects = s.suspects[:0]
	for i := range m.entries {
		if uint16(i) != self && m.entries[i].isLive {
			q.awaited = append(q.awaited, uint16(i))
			m.placementTokens.spend(messageOverhead + len(packed))
			m.send(uint16(i), messenger.ActivityQuery{ID: s.nextID, Flows: packed})
		}
	}
	if s.queries == nil {
		s.queries = make(map[uint32]*silenceQuery)
	}
	s.queries[s.nextID] = q
	m.finishSilenceQuery(s.nextID)
}

// answerSilenceQuery lists the flows on which this entry has seen a response.
func (m *Machine) answerSilenceQuery(from uint16, msg messenger.ActivityQuery) {
	answer := messenger.ActivityAnswer{ID: msg.ID}
	for flows := msg.Flows; len(flows) >= silenceFlowBytes; flows = flows[silenceFlowBytes:] {
		age := uint32(binary.BigEndian.Uint16(flows[8:]))
		cached := m.cache.Lookup(binary.BigEndian.Uint64(flows), m.sec)
		if cached != nil && cached.LastReply != 0 && cached.LastReply+age >= m.sec {
			answer.Flows = append(answer.Flows, flows[:8]...)
		}
	}
	m.placementTokens.spend(messageOverhead + len(answer.Flows))
	m.send(from, answer)
}

func (m *Machine) receiveSilenceAnswer(from uint16, msg messenger.ActivityAnswer) {
	q := m.silence.queries[msg.ID]
	if q == nil {
		return
	}
	for flows := msg.Flows; len(flows) >= 8; flows = flows[8:] {
		flow := binary.BigEndian.Uint64(flows)
		q.flows = slices.DeleteFunc(q.flows, func(f uint64) bool { return f == flow })
		if cached := m.cache.Lookup(flow, m.sec); cached != nil {
			cached.Unanswered = 0
			cached.Flags &^= tracker.FlagActivityQueried
		}
	}
	q.awaited = slices.DeleteFunc(q.awaited, func(i uint16) bool { return i == from })
	m.finishSilenceQuery(msg.ID)
}

// finishSilenceQuery marks the flows of a query for a reset once all peers have answered that they
// saw no response.
func (m *Machine) finishSilenceQuery(id uint32) {
	q := m.silence.queries[id]
	if len(q.awaited) > 0 {
		return
	}
	delete(m.silence.queries, id)
	for _, flow := range q.flows {
		if cached := m.cache.Lookup(flow, m.sec); cached != nil && cached.Unanswered > 0 {
			cached.Flags = cached.Flags&^tracker.FlagActivityQueried | tracker.FlagReset
		}
	}
}

// expireSilenceQueries drops the queries that some peer has not answered. Their flows become
// suspects again with their next packets.
func (m *Machine) expireSilenceQueries() {
	for id, q := range m.silence.queries {
		if q.deadline.After(m.now) {
			continue
		}
		delete(m.silence.queries, id)
		for _, flow := range q.flows {
			if cached := m.cache.Lookup(flow, m.sec); cached != nil {
				cached.Flags &^= tracker.FlagActivityQueried
			}
		}
	}
}
