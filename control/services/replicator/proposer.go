package replicator

import (
	"context"
	"net/netip"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// Applier is the replicated state machine. It is called from one goroutine, in log order. It
// must be deterministic: the same commands in the same order give the same results on every
// replica.
type Applier interface {
	// Apply applies a committed command and returns the result for its proposer. An error is
	// also a result: the proposer gets it, and the command counts as applied.
	Apply(index uint64, command []byte) (result []byte, err error)
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state with a state that Snapshot returned.
	Restore(snapshot []byte) error
}

// Proposer changes and reads the replicated state. It is safe for concurrent use.
type Proposer interface {
	// Propose returns the result of the command once a majority has stored it and this replica
	// has applied it. It returns the errors of Apply. After ErrNotLeader, ErrNoQuorum and
	// ErrOverloaded the command has no effect. After ErrOutcomeUnknown it may still take effect
	// later.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once this replica has applied everything that was
	// committed before the call. It returns ErrNotLeader, ErrNoQuorum or the error of ctx.
	ReadBarrier(ctx context.Context) error
	// Status returns the status of this replica.
	Status() Status
}

// Remover removes replicas from the membership.
type Remover interface {
	// RemoveReplica removes all members with the given name. It returns the errors of Propose,
	// ErrReplicaNotExist and ErrRemoveLeader.
	RemoveReplica(ctx context.Context, name string) error
}

// Role is the role of a replica in its current term.
type Role string

// Roles of a replica.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Status describes a replica.
type Status struct {
	Name string
	ID   storer.Identity
	Role Role
	Term uint64
	// Leader is the name of the leader, or empty without contact to a leader within the election
	// timeout. LeaderAddress is its gRPC address.
	Leader        string
	LeaderAddress netip.AddrPort
	// Verified reports that the replica may vote and counts towards majorities.
	Verified bool
	// HasQuorum reports that a leader is known and, on the leader itself, that a majority of the
	// voters responds.
	HasQuorum bool
	// CaughtUpIndex is the index up to which entries must be applied so that the state includes
	// everything committed before the current contact with the leader began. 0 means unknown.
	CaughtUpIndex uint64
	CommitIndex   uint64
	AppliedIndex  uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Membership    storer.Membership
	// IsHandoverDue reports that a planned stop should wait: this replica leads, or it is one of
	// the voters of an open membership and another replica could vote in its place.
	IsHandoverDue bool
	// IsReplacementPending reports on the leader that the vote of a voter which is gone, silent or about to stop is still to
	// pass to another replica. A change should be acknowledged only afterwards: until then it may not survive all losses
	// that the settings allow.
	IsReplacementPending bool
	// Failed is the error that stopped this replica, or nil.
	Failed error
}

// IsCurrent reports whether a leader with a majority is known and everything is applied that
// was committed before the current contact with it began.
func (s Status) IsCurrent() bool {
	return s.HasQuorum && s.CaughtUpIndex > 0 && s.AppliedIndex >= s.CaughtUpIndex
}

// Status returns the status of the replica. AppliedIndex and Failed are not set.
func (m *Machine) Status() Status {
	s := Status{
		Name: m.settings.Name, ID: m.id, Role: m.role, Term: m.term, Verified: m.verification.done,
		CaughtUpIndex: m.caughtUpIndex, CommitIndex: m.commitIndex, LastIndex: m.log.last(), Membership: m.membership(),
		IsHandoverDue: m.isHandoverDue(), IsReplacementPending: m.isReplacementPending(),
	}
	if m.snapshot != nil {
		s.SnapshotIndex = m.snapshot.Index
	}
	if leader, ok := m.membership().Get(m.leader); ok && m.hasLeader() {
		s.Leader, s.LeaderAddress = leader.Name, leader.Address
		s.HasQuorum = m.role != RoleLeader || m.hasActiveQuorum()
	}
	return s
}

// Counts returns the counters of events since the start.
func (m *Machine) Counts() Counts { return m.counts }
