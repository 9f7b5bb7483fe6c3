package replicator

import (
	"math"
	"slices"
	"time"

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

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// leaderState is the state of a replica while it leads.
type leaderState struct {
	// termStartIndex is the index of the first entry of the term.
	termStartIndex uint64
	progress       map[storer.Identity]*progress
	// pending maps the log index of a proposal or removal to its ID.
	pending map[uint64]uint64
	reads   []pendingRead
	round   uint64
	// broadcastDue requests a broadcast at the end of the step.
	broadcastDue bool
	heartbeatAt  int64
	joins        map[storer.Identity]storer.Member
	// resignUntil is the deadline of a leadership transfer. After it the leader keeps leading.
	resignUntil time.Time
}

func (m *Machine) startLeading() {
	predecessor, silentSince := m.lastLeader, int64(m.lastLeaderContact.Sub(m.started))
	m.role, m.leader, m.lastLeader, m.lastLeaderContact, m.caughtUpIndex = RoleLeader, m.id, m.id, m.now, 0
	m.counts.TermsLed++
	m.electionDeferrals, m.failedCandidacies = 0, 0
	m.leaderState = &leaderState{
		termStartIndex: m.log.last() + 1,
		progress:       make(map[storer.Identity]*progress),
		pending:        make(map[uint64]uint64),
		joins:          make(map[storer.Identity]storer.Member),
	}
	m.appendAsLeader(storer.EntryEmpty, nil)
	m.leaderState.broadcastDue = true
	// The silence of the earlier leader led to this election, so it counts from its last message.
	if p := m.leaderState.progress[predecessor]; p != nil {
		p.trackedAt = silentSince
	}
}

// stepDown ends the leadership. The outcome of pending proposals is unknown.
func (m *Machine) stepDown() {
	for _, index := range sortedKeys(m.leaderState.pending) {
		m.emit(OutcomeUnknown{ID: m.leaderState.pending[index]})
	}
	for _, r := range m.leaderState.reads {
		m.emit(Refused{ID: r.id, Err: ErrNoQuorum{Reason: "the leader changed"}})
	}
	m.leaderState = nil
	m.role = RoleFollower
	m.leader = storer.Identity{}
	m.resetElection()
}

func sortedKeys[V any](byKey map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(byKey))
	for k := range byKey {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
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

// appendAsLeader appends an entry. It is sent and counted once it is durable.
func (m *Machine) appendAsLeader(kind storer.EntryKind, data []byte) {
	e := storer.Entry{Index: m.log.last() + 1, Term: m.term, Kind: kind, Data: data}
	m.appendEntries([]storer.Entry{e})
	m.updateProgress()
}

func (m *Machine) propose(in Propose) {
	if err := m.checkLeadership(); err != nil {
		m.emit(Refused{ID: in.ID, Err: err})
		return
	}
	l := m.leaderState
	if len(l.pending) >= m.settings.MaxPending {
		m.emit(Refused{ID: in.ID, Err: ErrOverloaded{Waiting: len(l.pending)}})
		return
	}
	index := m.log.last() + 1
	l.pending[index] = in.ID
	m.emit(Accepted{ID: in.ID, Index: index, Term: m.term})
	m.appendAsLeader(storer.EntryCommand, in.Command)
}

func (m *Machine) checkLeadership() error {
	if m.role == RoleLeader {
		if m.isResigning() {
			return ErrNoQuorum{Reason: "the leader hands over"}
		}
		if n, want := m.membership().Voters(), len(m.settings.Peers)/2+1; n < want {
			return ErrNoQuorum{Reason: "the cluster is being created"}
		}
		if !m.hasActiveQuorum() {
			return ErrNoQuorum{Reason: "a majority does not answer"}
		}
		return nil
	}
	if leader, ok := m.membership().Get(m.leader); ok && m.hasLeader() {
		return ErrNotLeader{Leader: leader.Name, Address: leader.Address}
	}
	return ErrNoQuorum{Reason: "no leader is known"}
}

// activeSince returns the earliest SentAt of requests whose responses still count, one election
// timeout ago.
func (m *Machine) activeSince() int64 { return m.clock() - int64(m.settings.ElectionTimeout) }

// hasActiveQuorum reports whether a majority of the voters has responded within the election
// timeout. A new leader has one election timeout to get their responses.
func (m *Machine) hasActiveQuorum() bool {
	since := m.activeSince()
	return since <= int64(m.lastLeaderContact.Sub(m.started)) ||
		m.majoritySatisfies(func(p *progress) bool { return p.sentAt >= since })
}

// majoritySatisfies reports whether a majority of the voters meets the condition. This replica
// always meets it, an unverified replica never.
func (m *Machine) majoritySatisfies(condition func(*progress) bool) bool {
	n, voters := 0, 0
	for _, member := range m.membership().Members {
		if !member.Voter {
			continue
		}
		voters++
		if member.ID == m.id {
			n++
		} else if p := m.leaderState.progress[member.ID]; p != nil && p.verified && condition(p) {
			n++
		}
	}
	return n >= m.majority(voters)
}

func (m *Machine) tickLeading() {
	l := m.leaderState
	if m.isSaveOverdue() && m.requestElection() || !m.hasActiveQuorum() {
		m.stepDown()
		return
	}
	if m.clock() >= l.heartbeatAt {
		l.broadcastDue = true
	}
	if m.isResigning() {
		m.transferLeadership()
		return
	}
	m.adjustMembership()
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

// advanceCommit commits the entries that a majority of the voters has stored, if the last of
// them is of the current term.
func (m *Machine) advanceCommit() {
	var stored []uint64
	since := m.activeSince()
	for _, member := range m.membership().Members {
		if !member.Voter {
			continue
		}
		index := uint64(0)
		if member.ID == m.id {
			index = m.saving.stored.index
		} else if p := m.leaderState.progress[member.ID]; p != nil && p.verified && p.sentAt >= since {
			index = p.matchIndex
		}
		stored = append(stored, index)
	}
	if len(stored) == 0 {
		return
	}
	slices.Sort(stored)
	index := stored[len(stored)-m.majority(len(stored))]
	if term, ok := m.log.term(index); !ok || term != m.term || index <= m.commitIndex {
		return
	}
	previous := m.commitIndex
	m.commitTo(index)
	m.updateCaughtUpIndex(index)
	for i := previous + 1; i <= index; i++ {
		delete(m.leaderState.pending, i)
	}
	m.leaderState.broadcastDue = true
	if at := m.membershipIndex(); at > previous && at <= index && !m.membership().IsVoter(m.id) {
		m.broadcastIfDue()
		m.stepDown()
	}
}

func (m *Machine) read(in Read) {
	if err := m.checkLeadership(); err != nil {
		m.emit(Refused{ID: in.ID, Err: err})
		return
	}
	l := m.leaderState
	l.reads = append(l.reads, pendingRead{id: in.ID, index: max(m.commitIndex, l.termStartIndex), round: l.round + 1})
	l.broadcastDue = true
}

// confirmReads completes the reads for which a majority has confirmed, in a round after the read
// began, that this replica still leads.
func (m *Machine) confirmReads() {
	if m.role != RoleLeader {
		return
	}
	l := m.leaderState
	l.reads = slices.DeleteFunc(l.reads, func(r pendingRead) bool {
		if m.emittedIndex < r.index || l.round < r.round || !m.majoritySatisfies(func(p *progress) bool { return p.round >= r.round }) {
			return false
		}
		m.emit(ReadReady{ID: r.id, Index: r.index})
		return true
	})
}
