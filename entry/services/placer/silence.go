package placer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
)

// silencer finds flows whose backend server has stopped responding on them.
type silencer struct {
	suspects []uint64
	sentAt   time.Time
	nextID   uint32
	queries  map[uint32]*silenceQuery
}

type silenceQuery struct {
	deadline time.Time
	waiting  []uint16
	flows    []uint64
}

const (
	// silentPackets is the number of caller packets without a response from which on
	// a flow may be silent.
	silentPackets = 3
	// flowsPerSilenceQuery and the period of 1 s bound the traffic of queries.
	flowsPerSilenceQuery = 16
	silenceBytes         = 10
)

// checkSilence suspects a TCP flow without responses whose backend server responds
// on other flows.
func (m *Machine) checkSilence(line *tracker.Line) {
	const ignored = tracker.FlagUDP | tracker.FlagClosed | tracker.FlagAsked | tracker.FlagReset
	s := &m.silence
	if line.Flags&ignored != 0 || line.Unanswered < silentPackets || m.sec-line.Since < m.config.SilenceAge ||
		m.backends[line.Target].lastReply <= line.Since || len(s.suspects) >= flowsPerSilenceQuery {
		return
	}
	if s.suspects == nil {
		s.suspects = make([]uint64, 0, flowsPerSilenceQuery)
	}
	line.Flags |= tracker.FlagAsked
	s.suspects = append(s.suspects, line.Fingerprint)
}

// sendSilenceQuery asks all peers about the suspects, at most once a second.
func (m *Machine) sendSilenceQuery() {
	s := &m.silence
	m.expireSilence()
	if len(s.suspects) == 0 || m.now.Sub(s.sentAt) < time.Second {
		return
	}
	s.sentAt = m.now
	s.nextID++
	q := &silenceQuery{deadline: m.now.Add(time.Second)}
	packed := make([]byte, 0, silenceBytes*len(s.suspects))
	for _, flow := range s.suspects {
		if line := m.cache.Lookup(flow, m.sec); line != nil {
			q.flows = append(q.flows, flow)
			packed = binary.BigEndian.AppendUint64(packed, flow)
			packed = binary.BigEndian.AppendUint16(packed, uint16(min(m.sec-line.Since, 0xFFFF)))
		}
	}
	s.suspects = s.suspects[:0]
	for i := range m.entries {
		if uint16(i) != self && m.entries[i].isLive {
			q.waiting = append(q.waiting, uint16(i))
			m.placementTokens.spend(messageOverhead + len(packed))
			m.send(uint16(i), messenger.SilenceQuery{ID: s.nextID, Flows: packed})
		}
	}
	if s.queries == nil {
		s.queries = make(map[uint32]*silenceQuery)
	}
	s.queries[s.nextID] = q
	m.concludeSilence(s.nextID)
}

// answerSilence lists the flows on which this entry has seen a response.
func (m *Machine) answerSilence(from uint16, msg messenger.SilenceQuery) {
	answer := messenger.SilenceAnswer{ID: msg.ID}
	for flows := msg.Flows; len(flows) >= silenceBytes; flows = flows[silenceBytes:] {
		age := uint32(binary.BigEndian.Uint16(flows[8:]))
		line := m.cache.Lookup(binary.BigEndian.Uint64(flows), m.sec)
		if line != nil && line.Replied != 0 && line.Replied+age >= m.sec {
			answer.Flows = append(answer.Flows, flows[:8]...)
		}
	}
	m.placementTokens.spend(messageOverhead + len(answer.Flows))
	m.send(from, answer)
}

func (m *Machine) receiveSilence(from uint16, msg messenger.SilenceAnswer) {
	q := m.silence.queries[msg.ID]
	if q == nil {
		return
	}
	for flows := msg.Flows; len(flows) >= 8; flows = flows[8:] {
		flow := binary.BigEndian.Uint64(flows)
		q.flows = slices.DeleteFunc(q.flows, func(f uint64) bool { return f == flow })
		if line := m.cache.Lookup(flow, m.sec); line != nil {
			line.Unanswered = 0
			line.Flags &^= tracker.FlagAsked
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(i uint16) bool { return i == from })
	m.concludeSilence(msg.ID)
}

// concludeSilence marks the flows of a query for a reset once all peers have
// answered that they saw no response.
func (m *Machine) concludeSilence(id uint32) {
	q := m.silence.queries[id]
	if len(q.waiting) > 0 {
		return
	}
	delete(m.silence.queries, id)
	for _, flow := range q.flows {
		if line := m.cache.Lookup(flow, m.sec); line != nil && line.Unanswered > 0 {
			line.Flags = line.Flags&^tracker.FlagAsked | tracker.FlagReset
		}
	}
}

// expireSilence gives up the queries that some peer has not answered. The flows are
// suspected again with their next packets.
func (m *Machine) expireSilence() {
	for id, q := range m.silence.queries {
		if q.deadline.After(m.now) {
			continue
		}
		delete(m.silence.queries, id)
		for _, flow := range q.flows {
			if line := m.cache.Lookup(flow, m.sec); line != nil {
				line.Flags &^= tracker.FlagAsked
			}
		}
	}
}
