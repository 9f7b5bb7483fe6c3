// Package planner turns the intents of operators into plans and confirmed plans
// into new versions of the configuration. Machine is the replicated state
// machine; Service is the part that runs on the leader.
package planner

import (
	"context"
	"errors"
	"net/netip"
)

// Applier is a deterministic state machine over a replicated log.
type Applier interface {
	// Apply carries out a committed command. All replicas get the same result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Proposer appends commands to the replicated log.
type Proposer interface {
	// Propose returns the result of Apply once the command is committed. It
	// returns ErrNotLeader if the command was not appended. After any other
	// error the command may still be committed.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ReadBarrier returns when the local state includes all commands that were
	// committed before the call. It returns ErrNotLeader on other replicas.
	ReadBarrier(ctx context.Context) error
	// Status returns what this replica knows about the leader.
	Status() Status
}

// Status is the part of a replica that this package needs.
type Status struct {
	// Replica is the name of this replica.
	Replica  string
	IsLeader bool
	// Leader is the name of the leader, or "" while there is none.
	Leader string
	// LeaderAddress is the address of the leader for operators, if it is known
	// from elsewhere than the configuration.
	LeaderAddress netip.AddrPort
}

// ErrNotLeader reports a request to a replica that does not lead.
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
