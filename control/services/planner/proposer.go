// Package planner creates plans from the intents of operators, and new versions of
// the configuration from confirmed plans. Machine is the replicated state machine.
// Service runs on the leader and proposes commands.
package planner

import (
	"context"
	"errors"
	"net/netip"
)

// Applier is a deterministic state machine over a replicated log.
type Applier interface {
	// Apply executes a committed command. All replicas get the same result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(snapshot []byte) error
}

// Proposer appends commands to the replicated log.
type Proposer interface {
	// Propose appends a command and returns the result of Apply once it is
	// committed. It returns an ErrNotLeader if the command was not appended. After
	// any other error the command may still be committed.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier waits until the local state includes all commands that were
	// committed before the call. It returns an ErrNotLeader on a replica that is
	// not the leader.
	ReadBarrier(ctx context.Context) error
	// Status returns what this replica knows about the leader.
	Status() Status
}

// Status is the replication status that this package needs.
type Status struct {
	// Replica is the name of this replica.
	Replica  string
	IsLeader bool
	// Leader is the name of the leader, or "" while no leader is known.
	Leader string
	// LeaderAddress is the operator address of the leader if it is known from a
	// source other than the configuration.
	LeaderAddress netip.AddrPort
}

// ErrNotLeader reports a request to a replica that is not the leader. Leader is the
// name of the leader, or "" if it is not known.
type ErrNotLeader struct {
	Leader string
}

// Error returns the message of the error.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "this replica does not lead, and no leader is known"
	}
	return "this replica does not lead; the leader is " + e.Leader
}

// IsErrNotLeader reports whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var target ErrNotLeader
	return errors.As(err, &target)
}
