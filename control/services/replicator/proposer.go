package replicator

import (
	"context"
	"net/netip"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// Applier is the replicated state. Calls come from one goroutine, in log order.
// Equal commands in equal order must give equal results on every replica.
type Applier interface {
	// Apply carries out a committed command and returns the result for its
	// proposer. An error is a result, too: it goes to the proposer, and the
	// command counts as applied.
	Apply(index uint64, command []byte) (result []byte, err error)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by that of a Snapshot.
	Restore(snapshot []byte) error
}

// Proposer changes and reads the replicated state. It is safe for concurrent use.
type Proposer interface {
	// Propose returns the result of the command once a majority has stored it
	// and this replica has applied it. Errors are those of Apply, and
	// ErrNotLeader, ErrNoQuorum and ErrOverloaded, after which the command has no
	// effect, and ErrOutcomeUnknown, after which it may take effect even later.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns once this replica has applied everything that was
	// committed before the call. Errors are ErrNotLeader, ErrNoQuorum, and that
	// of ctx.
	ReadBarrier(ctx context.Context) error
	// Status describes this replica.
	Status() Status
}

// Remover removes replicas.
type Remover interface {
	// RemoveReplica takes all identities of a name out of the membership. The
	// errors are those of Propose, ErrReplicaNotExist and ErrRemoveLeader.
	RemoveReplica(ctx context.Context, name string) error
}

// Role is the part that a replica has in its term.
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
	// Leader is the name of the leader, or empty if none was heard within the
	// election timeout. LeaderAddress is its gRPC address.
	Leader        string
	LeaderAddress netip.AddrPort
	// Verified reports that the replica may vote and be counted.
	Verified bool
	// HasQuorum reports that a leader with a majority is known.
	HasQuorum bool
	// CaughtUp is the index that must be applied so that nothing is missing that
	// was committed before the leader was heard again; 0 if that is not known.
	CaughtUp      uint64
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Membership    storer.Membership
	// Failed is the error that stopped this replica, if any.
	Failed error
}

// IsCurrent reports that a leader with a majority is known, and that all is applied
// that was committed before it was heard again.
func (s Status) IsCurrent() bool {
	return s.HasQuorum && s.CaughtUp > 0 && s.Applied >= s.CaughtUp
}

// Status describes the replica, without Applied and Failed.
func (m *Machine) Status() Status {
	s := Status{
		Name: m.settings.Name, ID: m.id, Role: m.role, Term: m.term, Verified: m.verification.done,
		CaughtUp: m.caughtUp, Commit: m.commit, LastIndex: m.log.last(), Membership: m.membership(),
	}
	if m.snapshot != nil {
		s.SnapshotIndex = m.snapshot.Index
	}
	if leader, ok := m.membership().Get(m.leader); ok && m.hasLeader() {
		s.Leader, s.LeaderAddress = leader.Name, leader.Address
		s.HasQuorum = m.role != RoleLeader || m.hasFreshQuorum()
	}
	return s
}

// Counts returns the events since the start.
func (m *Machine) Counts() Counts { return m.counts }
