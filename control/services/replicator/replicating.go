package replicator

import (
	"math"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// maxInFlight bounds the number of entries sent to a replica but not yet acknowledged by it.
const maxInFlight = 4096

// progress is the replication progress of another replica, as the leader knows it.
type progress struct {
	nextIndex, matchIndex uint64
	// session is the session of the replica to which the other fields belong.
	session  uint64
	verified bool
	// round and sentAt belong to the newest request that the replica has answered.
	round  uint64
	sentAt int64
	// trackedAt is the leader's clock when it began to track the replica or, for the leader before,
	// at its last message.
	trackedAt int64
	// leavingUntil is the leader's clock until which the replica counts as leaving. The replica
	// repeats its request until it stops.
	leavingUntil int64
	// sendingSnapshot is the snapshot that is being sent, or nil. The replica has it up to offset.
	sendingSnapshot *storer.Snapshot
	offset          uint64
	// isChunkSent reports that the chunk at offset was sent at chunkSentAt and may still arrive.
	isChunkSent bool
	chunkSentAt int64
	window      window
	// isBroadcastDue reports that the last broadcast left out this replica, as the window was full.
	isBroadcastDue bool
}

// updateProgress adds and deletes the progress of members when the membership changes.
func (m *Machine) updateProgress() {
	l := m.leaderState
	for _, member := range m.membership().Members {
		if l.progress[member.ID] == nil && member.ID != m.id {
			l.progress[member.ID] = &progress{nextIndex: m.saving.stored.index + 1, sentAt: math.MinInt64, trackedAt: m.clock()}
		}
	}
	for id := range l.progress {
		if _, ok := m.membership().Get(id); !ok {
			delete(l.progress, id)
		}
	}
}

// broadcastIfDue sends entries or heartbeats to all members if the step requested a broadcast.
func (m *Machine) broadcastIfDue() {
	if m.role != RoleLeader || !m.leaderState.broadcastDue {
		return
	}
	l := m.leaderState
	l.broadcastDue = false
	l.round++
	l.heartbeatAt = m.clock() + int64(m.settings.Heartbeat)
	for _, member := range m.membership().Members {
		if p := l.progress[member.ID]; p != nil {
			m.sendAppend(member, p)
		}
	}
	m.confirmReads()
}

// canSendEntries reports whether there are durable entries that may be sent to a replica now.
func (m *Machine) canSendEntries(p *progress) bool {
	return p.sendingSnapshot == nil && p.nextIndex <= m.saving.stored.index && p.nextIndex-p.matchIndex <= maxInFlight
}

// sendAppend sends entries, a snapshot chunk or a heartbeat to a replica. While its window is full
// it sends only heartbeats, and the next response makes up for the rest.
func (m *Machine) sendAppend(to storer.Member, p *progress) {
	p.window.forget(m.activeSince())
	isFull := p.window.isFull(m.settings.MaxAppendBytes)
	if p.isBroadcastDue = isFull; isFull && m.clock()-p.window.lastSentAt < int64(m.settings.Heartbeat) {
		return
	}
	prev := p.nextIndex - 1
	term, ok := m.log.term(prev)
	if p.sendingSnapshot != nil || !ok {
		m.sendSnapshot(to, p, isFull)
		return
	}
	req := &AppendRequest{
		Term: m.term, PrevIndex: prev, PrevTerm: term, LeaderCommit: m.commitIndex,
		Round: m.leaderState.round, SentAt: m.clock(),
	}
	if !isFull && m.canSendEntries(p) {
		req.Entries = m.log.slice(p.nextIndex, m.saving.stored.index, m.settings.MaxAppendBytes)
		p.nextIndex += uint64(len(req.Entries))
	}
	p.window.add(req.SentAt, sizeOf(req.Entries), isFull)
	m.sendEarly(to, req)
}

// recordResponse updates the progress of a replica from its response. It returns nil if the
// response must not be used.
func (m *Machine) recordResponse(from storer.Identity, term uint64, echo Echo) *progress {
	if term > m.term {
		m.becomeFollower(term, storer.Identity{})
		return nil
	}
	if m.role != RoleLeader || term != m.term {
		return nil
	}
	p := m.leaderState.progress[from]
	if p == nil {
		return nil
	}
	// A late response may have been sent before the replica restarted with an older disk state,
	// so the replica may have lost what it acknowledges.
	if echo.SentAt < m.activeSince() {
		m.counts.LateResponses++
		return nil
	}
	if p.session != echo.Session {
		*p = progress{nextIndex: max(p.matchIndex+1, m.log.base()+1), session: echo.Session, sentAt: math.MinInt64}
	}
	if echo.Round >= p.round {
		p.round, p.sentAt, p.verified = echo.Round, echo.SentAt, echo.Verified
	}
	return p
}

func (m *Machine) handleAppendResponse(from storer.Identity, resp *AppendResponse) {
	p := m.recordResponse(from, resp.Term, resp.Echo)
	if p == nil {
		return
	}
	// A log cannot match this leader's log beyond its end.
	if resp.MatchIndex > m.log.last() {
		m.counts.MessagesRefused++
		return
	}
	progressed := false
	// A replica whose disk is slow answers heartbeats and names less than it was sent. That answers no other message.
	if !resp.Success || resp.MatchIndex > p.matchIndex || resp.MatchIndex+1 >= p.nextIndex {
		p.window.forget(resp.Echo.SentAt)
	}
	if resp.Success {
		p.matchIndex = max(p.matchIndex, resp.MatchIndex)
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		m.advanceCommit()
	} else if next := max(resp.RejectHint, p.matchIndex) + 1; next < p.nextIndex {
		p.nextIndex, progressed = next, true
	}
	m.confirmReads()
	if m.role != RoleLeader {
		return
	}
	// Without progress the next heartbeat is soon enough. A request after each response would
	// continue the exchange for ever.
	if member, ok := m.membership().Get(from); ok && (progressed || p.isBroadcastDue || m.canSendEntries(p)) {
		m.sendAppend(member, p)
	}
}
