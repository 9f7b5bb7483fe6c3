package replicator

import (
	"math"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// maxInFlight bounds the entries sent to a replica beyond those it confirmed.
const maxInFlight = 4096

// progress is what a leader knows of another replica.
type progress struct {
	next, match uint64
	// session is the start of the replica that the other fields belong to.
	session  uint64
	verified bool
	// round and sentAt are the newest ones that the replica has answered.
	round  uint64
	sentAt int64
	// trackedAt is the leader's own clock when it began to follow the replica.
	trackedAt int64
	// sending is the snapshot that is being sent, up to offset.
	sending *storer.Snapshot
	offset  uint64
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// leading is the state of a leader.
type leading struct {
	// start is the index of the first entry of the term.
	start    uint64
	progress map[storer.Identity]*progress
	// pending maps the index of an own proposal to its ID.
	pending map[uint64]uint64
	reads   []pendingRead
	round   uint64
	// sendDue requests a broadcast at the end of the step.
	sendDue     bool
	heartbeatAt int64
	joins       map[storer.Identity]storer.Member
	// resignUntil is when the leader gives up to hand over.
	resignUntil time.Time
}

func (m *Machine) startLeading() {
	m.role, m.leader, m.leaderSeen, m.caughtUp = RoleLeader, m.id, m.now, 0
	m.counts.TermsLed++
	m.givenWay = 0
	m.leading = &leading{
		start:    m.log.last() + 1,
		progress: make(map[storer.Identity]*progress),
		pending:  make(map[uint64]uint64),
		joins:    make(map[storer.Identity]storer.Member),
	}
	m.appendOwn(storer.EntryEmpty, nil)
}

// abandon gives up the leadership. The outcome of open proposals is unknown.
func (m *Machine) abandon() {
	for _, index := range sortedKeys(m.leading.pending) {
		m.emit(Lost{ID: m.leading.pending[index]})
	}
	for _, r := range m.leading.reads {
		m.emit(Refused{ID: r.id, Err: ErrNoQuorum{Reason: "the leader changed"}})
	}
	m.leading = nil
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

// trackMembers starts and ends the progress of members as the membership changes.
func (m *Machine) trackMembers() {
	l := m.leading
	for _, member := range m.membership().Members {
		if l.progress[member.ID] == nil && member.ID != m.id {
			l.progress[member.ID] = &progress{next: m.log.last() + 1, sentAt: math.MinInt64, trackedAt: m.clock()}
		}
	}
	for id := range l.progress {
		if _, ok := m.membership().Get(id); !ok {
			delete(l.progress, id)
		}
	}
}

func (m *Machine) appendOwn(kind storer.EntryKind, data []byte) {
	e := storer.Entry{Index: m.log.last() + 1, Term: m.term, Kind: kind, Data: data}
	m.appendEntries([]storer.Entry{e})
	m.trackMembers()
	m.leading.sendDue = true
	m.advanceCommit()
}

func (m *Machine) propose(in Propose) {
	if err := m.checkLeading(); err != nil {
		m.emit(Refused{ID: in.ID, Err: err})
		return
	}
	l := m.leading
	if len(l.pending) >= m.settings.MaxPending {
		m.emit(Refused{ID: in.ID, Err: ErrOverloaded{Waiting: len(l.pending)}})
		return
	}
	index := m.log.last() + 1
	l.pending[index] = in.ID
	m.emit(Accepted{ID: in.ID, Index: index, Term: m.term})
	m.appendOwn(storer.EntryCommand, in.Command)
}

func (m *Machine) checkLeading() error {
	if m.role == RoleLeader {
		if m.isResigning() {
			return ErrNoQuorum{Reason: "the leader hands over"}
		}
		if n, want := m.membership().Voters(), len(m.settings.Peers)/2+1; n < want {
			return ErrNoQuorum{Reason: "the cluster is being created"}
		}
		if !m.hasFreshQuorum() {
			return ErrNoQuorum{Reason: "a majority does not answer"}
		}
		return nil
	}
	if leader, ok := m.membership().Get(m.leader); ok && m.hasLeader() {
		return ErrNotLeader{Leader: leader.Name, Address: leader.Address}
	}
	return ErrNoQuorum{Reason: "no leader is known"}
}

// freshSince returns the time of the oldest request whose answer still counts.
func (m *Machine) freshSince() int64 { return m.clock() - int64(m.settings.ElectionTimeout) }

// hasFreshQuorum reports whether a majority of voters has answered within the
// election timeout. A new leader gets one election timeout to hear from them.
func (m *Machine) hasFreshQuorum() bool {
	since := m.freshSince()
	return since <= int64(m.leaderSeen.Sub(m.started)) ||
		m.countVoters(func(p *progress) bool { return p.sentAt >= since })
}

func (m *Machine) countVoters(ok func(*progress) bool) bool {
	n, voters := 0, 0
	for _, member := range m.membership().Members {
		if !member.Voter {
			continue
		}
		voters++
		if member.ID == m.id {
			n++
		} else if p := m.leading.progress[member.ID]; p != nil && p.verified && ok(p) {
			n++
		}
	}
	return n >= m.majority(voters)
}

func (m *Machine) tickLeading() {
	l := m.leading
	if !m.hasFreshQuorum() {
		m.abandon()
		return
	}
	if m.clock() >= l.heartbeatAt {
		l.sendDue = true
	}
	if m.isResigning() {
		m.handOver()
		return
	}
	m.reviewMembership()
}

// flush sends what the step made due.
func (m *Machine) flush() {
	if m.role != RoleLeader || !m.leading.sendDue {
		return
	}
	l := m.leading
	l.sendDue = false
	l.round++
	l.heartbeatAt = m.clock() + int64(m.settings.Heartbeat)
	for _, member := range m.membership().Members {
		if p := l.progress[member.ID]; p != nil {
			m.sendAppend(member, p)
		}
	}
	m.confirmReads()
}

// hasEntriesFor reports whether entries may be sent to a replica now.
func (m *Machine) hasEntriesFor(p *progress) bool {
	return p.sending == nil && p.next <= m.log.last() && p.next-p.match <= maxInFlight
}

func (m *Machine) sendAppend(to storer.Member, p *progress) {
	prev := p.next - 1
	term, ok := m.log.term(prev)
	if p.sending != nil || !ok {
		m.sendSnapshot(to, p)
		return
	}
	req := &AppendRequest{
		Term: m.term, PrevIndex: prev, PrevTerm: term, Commit: m.commit,
		Round: m.leading.round, SentAt: m.clock(),
	}
	if m.hasEntriesFor(p) {
		req.Entries = m.log.slice(p.next, m.log.last(), m.settings.MaxAppendBytes)
		p.next += uint64(len(req.Entries))
	}
	m.sendTo(to, req)
}

// noteEcho records an answer of a replica. It returns nil if the answer must not
// be used.
func (m *Machine) noteEcho(from storer.Identity, term uint64, echo Echo) *progress {
	if term > m.term {
		m.becomeFollower(term, storer.Identity{})
		return nil
	}
	if m.role != RoleLeader || term != m.term {
		return nil
	}
	p := m.leading.progress[from]
	if p == nil {
		return nil
	}
	// A late answer may come from before a restart of the replica with an older
	// disk, so that what it confirms may be gone.
	if echo.SentAt < m.freshSince() {
		m.counts.LateResponses++
		return nil
	}
	if p.session != echo.Session {
		*p = progress{next: max(p.match+1, m.log.base()+1), session: echo.Session, sentAt: math.MinInt64}
	}
	if echo.Round >= p.round {
		p.round, p.sentAt, p.verified = echo.Round, echo.SentAt, echo.Verified
	}
	return p
}

func (m *Machine) handleAppendResponse(from storer.Identity, resp *AppendResponse) {
	p := m.noteEcho(from, resp.Term, resp.Echo)
	if p == nil {
		return
	}
	// No replica can have more of this leader's log than the leader.
	if resp.Match > m.log.last() {
		m.counts.MessagesRefused++
		return
	}
	moved := false
	if resp.Success {
		p.match = max(p.match, resp.Match)
		p.next = max(p.next, p.match+1)
		m.advanceCommit()
	} else if next := max(resp.Hint, p.match) + 1; next < p.next {
		p.next, moved = next, true
	}
	m.confirmReads()
	if m.role != RoleLeader {
		return
	}
	// Without progress the next heartbeat is soon enough. An answer to each
	// answer would never end.
	if member, ok := m.membership().Get(from); ok && (moved || m.hasEntriesFor(p)) {
		m.sendAppend(member, p)
	}
}

// advanceCommit commits what a majority of voters has stored, if the last of it
// is of the current term.
func (m *Machine) advanceCommit() {
	var stored []uint64
	since := m.freshSince()
	for _, member := range m.membership().Members {
		if !member.Voter {
			continue
		}
		index := uint64(0)
		if member.ID == m.id {
			index = m.log.last()
		} else if p := m.leading.progress[member.ID]; p != nil && p.verified && p.sentAt >= since {
			index = p.match
		}
		stored = append(stored, index)
	}
	if len(stored) == 0 {
		return
	}
	slices.Sort(stored)
	index := stored[len(stored)-m.majority(len(stored))]
	if term, ok := m.log.term(index); !ok || term != m.term || index <= m.commit {
		return
	}
	previous := m.commit
	m.setCommit(index)
	m.noteCaughtUp(index)
	for i := previous + 1; i <= index; i++ {
		delete(m.leading.pending, i)
	}
	m.leading.sendDue = true
	if at := m.membershipIndex(); at > previous && at <= index && !m.membership().IsVoter(m.id) {
		m.flush()
		m.abandon()
	}
}

func (m *Machine) read(in Read) {
	if err := m.checkLeading(); err != nil {
		m.emit(Refused{ID: in.ID, Err: err})
		return
	}
	l := m.leading
	l.reads = append(l.reads, pendingRead{id: in.ID, index: max(m.commit, l.start), round: l.round + 1})
	l.sendDue = true
}

// confirmReads releases the reads for which a majority has confirmed, after the
// read began, that this replica still leads.
func (m *Machine) confirmReads() {
	if m.role != RoleLeader {
		return
	}
	l := m.leading
	l.reads = slices.DeleteFunc(l.reads, func(r pendingRead) bool {
		if m.commit < r.index || l.round < r.round || !m.countVoters(func(p *progress) bool { return p.round >= r.round }) {
			return false
		}
		m.emit(ReadReady{ID: r.id, Index: r.index})
		return true
	})
}
