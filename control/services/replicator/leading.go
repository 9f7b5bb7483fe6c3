package replicator

import (
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

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
	// joinsDueAt is the leader's clock until which replicas may stand by that have not asked this leader to join yet.
	joinsDueAt int64
	// replacementDueSince is the leader's clock since when the vote of a voter has to pass to another replica, or 0.
	replacementDueSince int64
}

const (
	// answerTimeDivisor divides the election timeout to give the time that voters have to answer a new leader before they
	// count as silent.
	answerTimeDivisor = 2
	// longSilenceTimeouts is the number of election timeouts without a leader after which a new one cannot tell whether
	// replicas stand by that joined nobody meanwhile.
	longSilenceTimeouts = 3
)

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
	m.countSilence(predecessor, silentSince)
	m.updateReplacementDue()
}

// countSilence counts the silence of all replicas from the last message of the leader before, whose own silence led to this
// election. The others have some time to answer this leader.
func (m *Machine) countSilence(predecessor storer.Identity, silentSince int64) {
	timeToAnswer := m.settings.ElectionTimeout / answerTimeDivisor
	answerDueSince := m.clock() - max(0, int64(m.replaceSilentAfter()-timeToAnswer))
	for id, p := range m.leaderState.progress {
		p.trackedAt = silentSince
		if id != predecessor {
			p.trackedAt = max(silentSince, answerDueSince)
		}
	}
	if m.clock()-silentSince >= longSilenceTimeouts*int64(m.settings.ElectionTimeout) {
		m.leaderState.joinsDueAt = m.clock() + (joinRetryHeartbeats+2)*int64(m.settings.Heartbeat)
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
	return m.membership().HasMajority(m.majority, func(id storer.Identity) bool {
		p := m.leaderState.progress[id]
		return id == m.id || p != nil && p.verified && condition(p)
	})
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
	m.updateReplacementDue()
}
