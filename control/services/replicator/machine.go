// Package replicator decides how the replicas of control agree on one log. It
// follows Raft (Ongaro and Ousterhout, 2014) with pre-vote and single-server
// membership changes, and adds a verification after each start that protects
// against disks that went back in time (see docs/replication.md).
//
// The Machine is deterministic: its inputs carry the time, its randomness is
// passed in, and it has no sockets, goroutines or files.
package replicator

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// entryOverhead is about the encoded size of an entry without its data, in bytes.
const entryOverhead = 32

// maxAddresses bounds the remembered addresses of senders; a cluster has at most
// 7 replicas.
const maxAddresses = 64

// Peer is a replica of the settings.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Settings are the constants of a Machine.
type Settings struct {
	// Name and Address are those of this replica.
	Name    string
	Address netip.AddrPort
	// Peers are all replicas of the settings, including this one.
	Peers []Peer
	// Bootstrap allows an empty replica that is the first of Peers to create a
	// cluster if all others are empty, too.
	Bootstrap bool
	// Heartbeat is the period of the leader's messages.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest silence of the leader before an election.
	ElectionTimeout time.Duration
	// TrustDiskAfter is how long a restarted replica insists on the complete
	// verification before a majority suffices. 0 means forever.
	TrustDiskAfter time.Duration
	// TrustDisk tells that disks never lose what was synced, so that a restarted
	// replica needs no verification.
	TrustDisk bool
	// SnapshotEntries is the number of entries after which a snapshot is taken.
	SnapshotEntries int
	// SnapshotBytes is the size of the entries after which a snapshot is taken, so that
	// a restart does not apply many large ones. 0 means no bound.
	SnapshotBytes int
	// KeepEntries is the number of entries kept before a snapshot, so that
	// slightly slow replicas do not need the snapshot. They take no more than
	// SnapshotBytes.
	KeepEntries int
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// MaxPending bounds the proposals that wait for a majority.
	MaxPending int
	// OpenMembership admits every replica that asks to join, for platforms that
	// replace replicas without telling who is to come.
	OpenMembership bool
	// MaxVoters bounds the voters of an open membership; further replicas stay
	// non-voters until a voter is silent. An odd number goes on in one half of an
	// even split. 0 means no bound.
	MaxVoters int
	// RemoveSilentAfter is the silence after which an open membership removes a
	// replica, as far as MinVoters voters that answer remain. The replica joins
	// again when it is back. 0 means never.
	RemoveSilentAfter time.Duration
	// MinVoters is the least number of voters that removals leave.
	MinVoters int
}

// DefaultSettings returns the settings that do not name replicas.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:       100 * time.Millisecond,
		ElectionTimeout: time.Second,
		TrustDiskAfter:  10 * time.Second,
		SnapshotEntries: 2000,
		SnapshotBytes:   512 << 10,
		KeepEntries:     500,
		MaxAppendBytes:  512 << 10,
		MaxPending:      1024,
	}
}

const (
	// hastePart divides the election timeout where an election may begin early.
	hastePart = 3
	// firstHastePart does so for the first election after a start: 25 ms to 75 ms of
	// 900 ms, several round trips between data centres.
	firstHastePart = 18
	// firstElectionPeriods is the number of election timeouts after a start in which a
	// replica that has heard no leader asks for votes that often.
	firstElectionPeriods = 4
)

type membershipAt struct {
	index      uint64
	membership storer.Membership
}

// Counts are events since the start. They only grow.
type Counts struct {
	Elections, TermsLed, HandOvers, MessagesRefused, LateResponses, SnapshotsSent, SnapshotsInstalled,
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
	// majority returns how many of n voters decide. Tests replace it.
	majority func(n int) int

	term        uint64
	vote        storer.Identity
	log         entryLog
	snapshot    *storer.Snapshot
	memberships []membershipAt
	commit      uint64
	snapshotDue bool
	// unsaved is the size in bytes of the committed entries after the snapshot.
	unsaved int

	role       Role
	leader     storer.Identity
	leaderSeen time.Time
	// caughtUp is the index that this replica must have applied to be as new as the
	// leader was when contact with it began; 0 while that is not known.
	caughtUp   uint64
	electionAt time.Time
	voteUntil  time.Time
	votes      map[storer.Identity]bool
	// givenWay counts how often this replica put its own election off since it heard a leader.
	givenWay int

	verification verification
	admitted     Admit
	joining      joining
	// addresses are those of recent senders, for answers to replicas that the
	// membership lacks.
	addresses map[storer.Identity]netip.AddrPort
	incoming  incomingSnapshot
	leading   *leading
}

// New returns the Machine of a replica that has just started with the given
// durable state.
func New(settings Settings, state *storer.State, now time.Time, rng *rand.Rand) (*Machine, error) {
	log, err := newEntryLog(state.Snapshot, state.Entries)
	if err != nil {
		return nil, err
	}
	m := &Machine{
		settings: settings, rng: rng, id: state.Identity, session: rng.Uint64(), started: now, now: now,
		majority: func(n int) int { return n/2 + 1 },
		term:     state.Vote.Term, vote: state.Vote.For, log: log, snapshot: state.Snapshot,
		memberships: []membershipAt{{}}, role: RoleFollower,
		addresses: make(map[storer.Identity]netip.AddrPort), joining: joining{empty: make(map[string]bool)},
	}
	if s := state.Snapshot; s != nil {
		m.memberships[0] = membershipAt{index: s.MembershipIndex, membership: s.Membership}
		m.commit = s.Index
		m.emit(Restore{Snapshot: s})
	}
	for _, e := range log.entries[1:] {
		if err := m.noteMembership(e); err != nil {
			return nil, err
		}
	}
	m.leaderSeen = now.Add(-settings.ElectionTimeout)
	m.resetElection()
	m.startVerification(state.IsNew)
	if m.verification.done {
		m.hastenFirstElection()
	}
	return m, nil
}

// Step handles inputs and returns what must be done, in order.
func (m *Machine) Step(inputs ...Input) []Output {
	for _, input := range inputs {
		m.handle(input)
	}
	m.flush()
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) handle(input Input) {
	switch in := input.(type) {
	case Tick:
		m.advance(in.Now)
		m.tick()
	case Receive:
		m.advance(in.Now)
		m.receive(in.Envelope)
	case Propose:
		m.advance(in.Now)
		m.propose(in)
	case Read:
		m.advance(in.Now)
		m.read(in)
	case Remove:
		m.advance(in.Now)
		m.remove(in)
	case Resign:
		m.advance(in.Now)
		m.resign()
	case Admit:
		m.admitted = in
	case Seed:
		m.settings.Peers = in.Peers
	case SnapshotTaken:
		m.advance(in.Now)
		m.compact(in)
	}
}

func (m *Machine) advance(now time.Time) {
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
	if !m.now.Before(m.electionAt) || m.isAlone() {
		m.startElection(true, false)
	}
}

// isAlone reports that this replica is the only voter.
func (m *Machine) isAlone() bool {
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
	case *HandOver:
		m.handleHandOver(env.From, msg)
	}
}

// send addresses a message to a replica. A replica that is not a member, such as
// a candidate that this replica does not know yet, is reached by the address
// that it gave with its messages.
func (m *Machine) send(to storer.Identity, message Message) {
	member, ok := m.membership().Get(to)
	if !ok {
		member = storer.Member{ID: to, Address: m.addresses[to]}
	}
	m.sendTo(member, message)
}

func (m *Machine) sendTo(to storer.Member, message Message) {
	m.emit(Send{To: to, Envelope: Envelope{
		Cluster: m.membership().Cluster, From: m.id, Address: m.settings.Address, To: to.ID, Message: message,
	}})
}

// membership returns the newest membership of the log, committed or not.
func (m *Machine) membership() storer.Membership {
	return m.memberships[len(m.memberships)-1].membership
}

func (m *Machine) membershipIndex() uint64 { return m.memberships[len(m.memberships)-1].index }

func (m *Machine) noteMembership(e storer.Entry) error {
	membership, err := decodeMembership(e)
	if err == nil && membership != nil && e.Index > m.membershipIndex() {
		m.memberships = append(m.memberships, membershipAt{index: e.Index, membership: *membership})
	}
	return err
}

// decodeMembership returns the membership of an entry, or nil if it has none.
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

// appendEntries adds entries to the log, and drops those that they replace.
func (m *Machine) appendEntries(entries []storer.Entry) {
	m.memberships = slices.DeleteFunc(m.memberships, func(at membershipAt) bool {
		return at.index > 0 && at.index >= entries[0].Index
	})
	m.log.add(entries)
	for _, e := range entries {
		if err := m.noteMembership(e); err != nil {
			panic(err) // received entries were checked before
		}
	}
	m.emit(SaveEntries{Entries: entries})
}

// setCommit hands out the entries that became committed.
func (m *Machine) setCommit(index uint64) {
	if index <= m.commit {
		return
	}
	entries := m.log.entries[m.commit+1-m.log.base() : index+1-m.log.base()]
	m.emit(Apply{Entries: slices.Clone(entries)})
	m.commit = index
	m.unsaved += sizeOf(entries)
	if !m.snapshotDue && m.isSnapshotWorthwhile() {
		m.snapshotDue = true
		m.emit(TakeSnapshot{Index: m.commit})
	}
}

// isSnapshotWorthwhile reports whether a restart would have much to apply.
func (m *Machine) isSnapshotWorthwhile() bool {
	taken := uint64(0)
	if m.snapshot != nil {
		taken = m.snapshot.Index
	}
	return m.commit-taken >= uint64(m.settings.SnapshotEntries) ||
		m.settings.SnapshotBytes > 0 && m.unsaved >= m.settings.SnapshotBytes
}

func (m *Machine) setTerm(term uint64, vote storer.Identity) {
	m.term, m.vote = term, vote
	m.emit(SaveVote{Vote: storer.Vote{Term: term, For: vote}})
}

func (m *Machine) becomeFollower(term uint64, leader storer.Identity) {
	if m.role == RoleLeader {
		m.abandon()
	}
	if m.role != RoleFollower {
		m.resetElection()
	}
	m.role, m.leader, m.caughtUp = RoleFollower, leader, 0
	if term > m.term {
		m.setTerm(term, storer.Identity{})
	}
}

func (m *Machine) resetElection() {
	jitter := time.Duration(m.rng.Int64N(int64(m.settings.ElectionTimeout)))
	m.electionAt = m.now.Add(m.settings.ElectionTimeout + jitter)
}

// hastenElection lets the next election begin within a part of a timeout, for
// replicas that cannot disturb a live leader: they have just started, or they only
// ask whether they would be elected. A replica that grants a pre-vote puts its own
// election off for as long, so that they rarely compete for the same votes.
func (m *Machine) hastenElection() {
	part := m.settings.ElectionTimeout / hastePart
	m.electionAt = m.now.Add(part/2 + time.Duration(m.rng.Int64N(int64(part))))
}

// hastenFirstElection lets a replica that has just started ask for votes soon, as all
// may have started and callers wait. A pre-vote does not disturb a live leader, and the
// spread is several round trips between data centres.
func (m *Machine) hastenFirstElection() {
	part := m.settings.ElectionTimeout / firstHastePart
	m.electionAt = m.now.Add(part/2 + time.Duration(m.rng.Int64N(int64(part))))
}

// clock returns the time since the start in nanoseconds.
func (m *Machine) clock() int64 { return int64(m.now.Sub(m.started)) }

func (m *Machine) echo(round uint64, sentAt int64) Echo {
	return Echo{Round: round, SentAt: sentAt, Session: m.session, Verified: m.verification.done}
}
