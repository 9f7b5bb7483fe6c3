// Package replicator implements the consensus algorithm of the control replicas. It follows
// Raft (Ongaro and Ousterhout, 2014) with pre-vote and single-server membership changes. It adds
// a verification after each start, which protects against disks that were rolled back to an
// older state (see docs/replication.md).
//
// The Machine is deterministic: its inputs carry the time, its source of randomness is passed
// in, and it uses no sockets, goroutines or files.
package replicator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// entryOverheadBytes is the approximate encoded size of an entry without its data.
const entryOverheadBytes = 32

// maxAddresses bounds the stored addresses of senders and the pending requests to join. A
// cluster has at most 7 replicas.
const maxAddresses = 64

// Peer is a replica that the settings list.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Settings are the settings of a Machine.
type Settings struct {
	// Name and Address belong to this replica.
	Name    string
	Address netip.AddrPort
	// Peers are all replicas that the settings list, including this one.
	Peers []Peer
	// Bootstrap allows this replica to create a cluster if it is the first of Peers and none of
	// Peers belongs to a cluster yet.
	Bootstrap bool
	// Heartbeat is the interval between the leader's heartbeats.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest time without contact to the leader before an election. A
	// random part of up to the same length is added.
	ElectionTimeout time.Duration
	// TrustDiskAfter is how long a restarted replica waits for the complete verification before
	// a majority is sufficient. 0 means forever.
	TrustDiskAfter time.Duration
	// SkipVerification states that disks never lose synced data, so that a restarted replica
	// needs no verification.
	SkipVerification bool
	// SnapshotEntries is the number of entries after which a snapshot is taken.
	SnapshotEntries int
	// SnapshotBytes is the size of the entries after which a snapshot is taken, so that a restart
	// does not have to apply many large ones. 0 means no bound.
	SnapshotBytes int
	// KeepEntries is the number of entries kept before a snapshot, so that replicas that are
	// slightly behind do not need the snapshot. They take at most SnapshotBytes.
	KeepEntries int
	// MaxAppendBytes bounds the size of the entries, or of the snapshot chunk, in one message.
	MaxAppendBytes int
	// MaxPending bounds the number of proposals that wait for a majority.
	MaxPending int
	// OpenMembership admits every replica that asks to join. Platforms need it that replace
	// replicas without announcing the names of the new ones.
	OpenMembership bool
	// MaxVoters bounds the voters of an open membership. Further replicas stay non-voters until a
	// voter stops responding. With an odd number, one half keeps a majority when a partition
	// splits the replicas evenly. 0 means no bound.
	MaxVoters int
	// RemoveSilentAfter is the time without a response after which an open membership removes a
	// replica, as long as MinVoters responding voters remain. The replica joins again when it is
	// back. 0 means never.
	RemoveSilentAfter time.Duration
	// ReplaceSilentAfter is the time without a response after which another replica of an open
	// membership votes in place of a voter. 0 means RemoveSilentAfter.
	ReplaceSilentAfter time.Duration
	// MinVoters is the least number of voters that automatic removals leave.
	MinVoters int
}

// DefaultSettings returns the default settings, without the names and addresses of replicas.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:       100 * time.Millisecond,
		ElectionTimeout: time.Second,
		TrustDiskAfter:  10 * time.Second,
		SnapshotEntries: 2000,
		SnapshotBytes:   512 << 10,
		KeepEntries:     500,
		// 64 KiB pass within the driver's timeout of a call, a third of the election timeout, at
		// 3 Mbit/s. Messages that a link does not transmit in time are lost each time.
		MaxAppendBytes: 64 << 10,
		MaxPending:     1024,
	}
}

const (
	// earlyElectionDivisor divides the election timeout to give the mean delay of an early
	// election.
	earlyElectionDivisor = 3
	// firstElectionDivisor does so for the first election after a start. With a timeout of
	// 900 ms the delay is 25 ms to 75 ms, several round trips between data centres.
	firstElectionDivisor = 18
	// firstElectionTimeouts is the number of election timeouts after a start during which a
	// replica without contact to a leader retries at the interval of a first election.
	firstElectionTimeouts = 4
)

// indexedMembership is a membership with the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership storer.Membership
}

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
	addresses   map[storer.Identity]netip.AddrPort
	incoming    incomingSnapshot
	leaderState *leaderState
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
	// A replica whose vote is being stored is a candidate already, and one with a slow disk is a bad leader.
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
	return membership.Voters() == 1 && membership.IsVoter(m.id)
}

func (m *Machine) receive(env Envelope) {
	cluster := m.membership().Cluster
	if (!env.To.IsZero() && env.To != m.id) || env.From == m.id ||
		(!cluster.IsZero() && !env.Cluster.IsZero() && cluster != env.Cluster) || !isValid(env.Message) {
		m.counts.MessagesRefused++
		return
	}
	if len(m.addresses) >= maxAddresses {
		clear(m.addresses)
	}
	m.addresses[env.From] = env.Address
	switch msg := env.Message.(type) {
	case *VoteRequest:
		m.handleVoteRequest(env.From, msg)
	case *VoteResponse:
		m.handleVoteResponse(env.From, msg)
	case *AppendRequest:
		m.handleAppendRequest(env.From, msg)
	case *AppendResponse:
		m.handleAppendResponse(env.From, msg)
	case *SnapshotRequest:
		m.handleSnapshotRequest(env.From, msg)
	case *SnapshotResponse:
		m.handleSnapshotResponse(env.From, msg)
	case *VerifyRequest:
		m.handleVerifyRequest(env.From, msg)
	case *VerifyResponse:
		m.handleVerifyResponse(env.From, msg)
	case *JoinRequest:
		m.handleJoinRequest(env.From, msg)
	case *JoinResponse:
		m.handleJoinResponse(env.From, msg)
	case *TimeoutNow:
		m.handleTimeoutNow(env.From, msg)
	case *LeaveRequest:
		m.handleLeaveRequest(env.From, msg)
	}
}

// send sends a message to a replica. A replica that is not a member, such as a candidate that
// this replica does not know yet, gets it at the address from its own messages.
func (m *Machine) send(to storer.Identity, message Message) { m.sendTo(m.recipient(to), message) }

func (m *Machine) recipient(id storer.Identity) storer.Member {
	if member, ok := m.membership().Get(id); ok {
		return member
	}
	return storer.Member{ID: id, Address: m.addresses[id]}
}

func (m *Machine) sendTo(to storer.Member, message Message) {
	m.emit(Send{To: to, Envelope: m.envelope(to, message)})
}

// sendEarly sends a message that promises nothing that is not durable yet.
func (m *Machine) sendEarly(to storer.Member, message Message) {
	m.emit(Send{To: to, Envelope: m.envelope(to, message), MayPrecedeSaves: true})
}

func (m *Machine) envelope(to storer.Member, message Message) Envelope {
	return Envelope{Cluster: m.membership().Cluster, From: m.id, Address: m.settings.Address, To: to.ID, Message: message}
}

// membership returns the newest membership in the log, whether committed or not.
func (m *Machine) membership() storer.Membership {
	return m.memberships[len(m.memberships)-1].membership
}

func (m *Machine) membershipIndex() uint64 { return m.memberships[len(m.memberships)-1].index }

func (m *Machine) recordMembership(e storer.Entry) error {
	membership, err := decodeMembership(e)
	if err == nil && membership != nil && e.Index > m.membershipIndex() {
		m.memberships = append(m.memberships, indexedMembership{index: e.Index, membership: *membership})
	}
	return err
}

// decodeMembership returns the membership of an entry, or nil if the entry is of another kind.
func decodeMembership(e storer.Entry) (*storer.Membership, error) {
	if e.Kind != storer.EntryMembership {
		return nil, nil
	}
	var membership storer.Membership
	if err := cbor.Unmarshal(e.Data, &membership); err != nil {
		return nil, fmt.Errorf("decode the membership of entry %d: %w", e.Index, err)
	}
	return &membership, nil
}

// appendEntries appends entries to the log and drops the conflicting ones that they replace.
func (m *Machine) appendEntries(entries []storer.Entry) {
	m.memberships = slices.DeleteFunc(m.memberships, func(at indexedMembership) bool {
		return at.index > 0 && at.index >= entries[0].Index
	})
	m.log.truncateAndAppend(entries)
	m.saving.limitIndex(entries[0].Index - 1)
	for _, e := range entries {
		if err := m.recordMembership(e); err != nil {
			panic(err) // isValid has checked received entries
		}
	}
	m.emit(SaveEntries{Entries: entries})
}

// commitTo raises the commit index.
func (m *Machine) commitTo(index uint64) {
	if index <= m.commitIndex {
		return
	}
	m.bytesSinceSnapshot += sizeOf(m.log.slice(m.commitIndex+1, index, math.MaxInt))
	m.commitIndex = index
	m.emitCommitted()
}

// emitCommitted emits an installed snapshot and the committed entries once they are durable.
func (m *Machine) emitCommitted() {
	if m.restoreDue && m.saving.stored.index >= m.snapshot.Index {
		m.emit(Restore{Snapshot: m.snapshot})
		m.emittedIndex, m.restoreDue = m.snapshot.Index, false
	}
	if m.restoreDue {
		return
	}
	index := min(m.commitIndex, m.saving.stored.index)
	if index <= m.emittedIndex {
		return
	}
	m.emit(Apply{Entries: slices.Clone(m.log.slice(m.emittedIndex+1, index, math.MaxInt))})
	m.emittedIndex = index
	if !m.snapshotDue && m.needsSnapshot() {
		m.snapshotDue = true
		m.emit(TakeSnapshot{Index: index})
	}
}

// needsSnapshot reports whether a restart would have to apply more entries since the last
// snapshot than the settings allow.
func (m *Machine) needsSnapshot() bool {
	snapshotIndex := uint64(0)
	if m.snapshot != nil {
		snapshotIndex = m.snapshot.Index
	}
	return m.commitIndex-snapshotIndex >= uint64(m.settings.SnapshotEntries) ||
		m.settings.SnapshotBytes > 0 && m.bytesSinceSnapshot >= m.settings.SnapshotBytes
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

func (m *Machine) resetElection() {
	jitter := time.Duration(m.rng.Int64N(int64(m.settings.ElectionTimeout)))
	m.electionAt = m.now.Add(m.settings.ElectionTimeout + jitter)
}

// scheduleEarlyElection schedules the next election within a fraction of the election timeout.
// It serves replicas that cannot depose a live leader, because they have just started or only
// ask for pre-votes. A replica that grants a pre-vote defers its own election by the same delay,
// so that replicas rarely compete for the same votes.
func (m *Machine) scheduleEarlyElection() {
	meanDelay := m.settings.ElectionTimeout / earlyElectionDivisor
	m.electionAt = m.now.Add(meanDelay/2 + time.Duration(m.rng.Int64N(int64(meanDelay))))
}

// scheduleFirstElection schedules an election soon after a start, because all replicas may have
// started together while callers wait for a leader. The pre-vote does not depose a live leader.
// The random spread is several round trips between data centres.
func (m *Machine) scheduleFirstElection() {
	meanDelay := m.settings.ElectionTimeout / firstElectionDivisor
	m.electionAt = m.now.Add(meanDelay/2 + time.Duration(m.rng.Int64N(int64(meanDelay))))
}

// clock returns the time since the start of this replica, in nanoseconds.
func (m *Machine) clock() int64 { return int64(m.now.Sub(m.started)) }

func (m *Machine) echo(round uint64, sentAt int64) Echo {
	return Echo{Round: round, SentAt: sentAt, Session: m.session, Verified: m.verification.done}
}
