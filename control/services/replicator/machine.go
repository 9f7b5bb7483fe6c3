// Package replicator implements the consensus algorithm of the control replicas. It follows
// Raft (Ongaro and Ousterhout, 2014) with pre-vote and single-server membership changes. It adds
// a verification after each start, which protects against disks that were rolled back to an
// older state (see docs/replication.md).
//
// The Machine is deterministic: its inputs carry the time, its source of randomness is passed
// in, and it uses no sockets, goroutines or files.
package replicator

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// Counts are counters of events since the start. They never decrease.
type Counts struct {
	Elections, TermsLed, LeadershipTransfers, MessagesRefused, LateResponses, SnapshotsSent, SnapshotsInstalled,
	MembershipChanges, Verifications, WeakVerifications, JoinsRefused uint64
}

// Machine is the state machine of one replica. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	id       storer.Identity
	session  uint64
	started  time.Time
	now      time.Time
	out      []Output
	counts   Counts
	// majority returns how many of n voters form a majority. Tests replace it.
	majority func(n int) int

	term     uint64
	vote     storer.Identity
	log      entryLog
	snapshot *storer.Snapshot
	// memberships has that of the snapshot (zero without one), then those of the log in order.
	memberships []indexedMembership
	commitIndex uint64
	// emittedIndex is the index up to which committed entries were emitted for the Applier.
	emittedIndex uint64
	// restoreDue is set while an installed snapshot was not emitted for the Applier.
	restoreDue  bool
	snapshotDue bool
	// bytesSinceSnapshot is the size of the committed entries after the snapshot.
	bytesSinceSnapshot int

	role              Role
	leader            storer.Identity
	lastLeaderContact time.Time
	// lastLeader is the leader with which this replica had lastLeaderContact.
	lastLeader storer.Identity
	// contactSince is when the contact with a leader began after a time without one.
	contactSince time.Time
	// caughtUpIndex is the index up to which this replica must have applied entries to have the
	// state of the leader at the beginning of the contact with it; 0 while that is unknown.
	caughtUpIndex uint64
	electionAt    time.Time
	voteDeadline  time.Time
	votes         map[storer.Identity]bool
	// resignUntil is the end of the last request to resign. After it the replica leads and votes like any other.
	resignUntil time.Time
	// leaveNoted is the newest response of a leader to a request to leave, and leaveNotedAt when it came.
	leaveNoted   LeaveResponse
	leaveNotedAt time.Time
	// electionDeferrals counts how often this replica deferred its own election since its last
	// contact with a leader.
	electionDeferrals int
	// failedCandidacies counts its candidacies since then that ended without a leader.
	failedCandidacies int

	saving       saving
	verification verification
	joinPolicy   SetJoinPolicy
	joinState    joinState
	// addresses has the addresses of recent senders, for responses to replicas that are not in
	// the membership.
	addresses map[storer.Identity]netip.AddrPort
	// earlierContacts has the addresses of replicas that still know an earlier identity of this one.
	earlierContacts []netip.AddrPort
	incoming        incomingSnapshot
	leaderState     *leaderState
}

// New returns the Machine of a replica that has just started with the given durable state. It
// returns an error if the stored log has a gap or an entry that cannot be decoded.
func New(settings Settings, state *storer.State, now time.Time, rng *rand.Rand) (*Machine, error) {
	log, err := newEntryLog(state.Snapshot, state.Entries)
	if err != nil {
		return nil, err
	}
	m := &Machine{
		settings: settings, rng: rng, id: state.Identity, session: rng.Uint64(), started: now, now: now,
		majority: func(n int) int { return n/2 + 1 },
		term:     state.Vote.Term, vote: state.Vote.Candidate, log: log, snapshot: state.Snapshot,
		memberships: []indexedMembership{{}}, role: RoleFollower,
		addresses: make(map[storer.Identity]netip.AddrPort), joinState: joinState{unbootstrapped: make(map[string]bool)},
	}
	m.saving.stored = storedState{term: m.term, index: log.last()}
	if s := state.Snapshot; s != nil {
		m.memberships[0] = indexedMembership{index: s.MembershipIndex, membership: s.Membership}
		m.commitIndex, m.emittedIndex = s.Index, s.Index
		m.emit(Restore{Snapshot: s})
	}
	for _, e := range log.entries[1:] {
		if err := m.recordMembership(e); err != nil {
			return nil, err
		}
	}
	m.lastLeaderContact = now.Add(-settings.ElectionTimeout)
	m.resetElection()
	m.startVerification(state.IsNew)
	if m.verification.done {
		m.scheduleFirstElection()
	}
	return m, nil
}

// Step handles inputs and returns the outputs, which must be executed in order.
func (m *Machine) Step(inputs ...Input) []Output {
	for _, input := range inputs {
		m.handle(input)
	}
	m.broadcastIfDue()
	m.recordSaves()
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) handle(input Input) {
	switch in := input.(type) {
	case Tick:
		m.advanceClock(in.Now)
		m.tick()
	case Receive:
		m.advanceClock(in.Now)
		m.receive(in.Envelope)
	case Propose:
		m.advanceClock(in.Now)
		m.propose(in)
	case Read:
		m.advanceClock(in.Now)
		m.read(in)
	case Remove:
		m.advanceClock(in.Now)
		m.remove(in)
	case Resign:
		m.advanceClock(in.Now)
		m.resign()
	case SetJoinPolicy:
		m.joinPolicy = in
	case SetPeers:
		m.settings.Peers = in.Peers
	case SetVoterLimits:
		m.settings.MinVoters, m.settings.MaxVoters = in.MinVoters, in.MaxVoters
	case SnapshotTaken:
		m.advanceClock(in.Now)
		m.compact(in)
	case Saved:
		m.advanceClock(in.Now)
		m.handleSaved(in)
	}
}

func (m *Machine) advanceClock(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

func (m *Machine) emit(output Output) { m.out = append(m.out, output) }

func (m *Machine) tick() {
	m.tickVerification()
	m.tickJoining()
	if m.role == RoleLeader {
		m.tickLeading()
		return
	}
	// A replica whose vote is being stored is a candidate already, and one with a slow disk should not lead.
	if m.isSaving() {
		return
	}
	if !m.now.Before(m.electionAt) || m.isOnlyVoter() {
		m.startElection(true, false)
	}
}

// isOnlyVoter reports whether this replica is the only voter.
func (m *Machine) isOnlyVoter() bool {
	membership := m.membership()
	return membership.Voters() == 1 && membership.IsVoter(m.id) && !membership.IsJoint()
}

func (m *Machine) setTerm(term uint64, vote storer.Identity) {
	m.term, m.vote = term, vote
	m.emit(SaveVote{Vote: storer.Vote{Term: term, Candidate: vote}})
}

func (m *Machine) becomeFollower(term uint64, leader storer.Identity) {
	if m.role == RoleLeader {
		m.stepDown()
	}
	if m.role != RoleFollower {
		m.resetElection()
	}
	m.role, m.leader, m.caughtUpIndex = RoleFollower, leader, 0
	if term > m.term {
		m.setTerm(term, storer.Identity{})
	}
}

// clock returns the time since the start of this replica, in nanoseconds.
func (m *Machine) clock() int64 { return int64(m.now.Sub(m.started)) }

func (m *Machine) echo(round uint64, sentAt int64) Echo {
	return Echo{Round: round, SentAt: sentAt, Session: m.session, Verified: m.verification.done && !m.isResigningStandby()}
}
