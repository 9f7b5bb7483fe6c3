package replicator

import (
	"errors"
	"fmt"
	"net/netip"
)

// ErrKindNotExist reports a message of an unknown kind. A newer version may send one.
type ErrKindNotExist struct {
	Kind Kind
}

// Error returns the message of the error.
func (e ErrKindNotExist) Error() string { return fmt.Sprintf("message kind %d does not exist", e.Kind) }

// ErrNotLeader reports that another replica is the leader. Nothing was appended.
type ErrNotLeader struct {
	// Leader is the name of the leader.
	Leader string
	// Address is the gRPC address of the leader.
	Address netip.AddrPort
}

// Error returns the message of the error.
func (e ErrNotLeader) Error() string {
	return fmt.Sprintf("this replica is not the leader; %s at %s is", e.Leader, e.Address)
}

// IsErrNotLeader reports whether err is an ErrNotLeader.
func IsErrNotLeader(err error) bool {
	var target ErrNotLeader
	return errors.As(err, &target)
}

// ErrOutcomeUnknown reports a command that may be committed already, may be committed later, or
// may be lost.
type ErrOutcomeUnknown struct {
	Reason string
}

// Error returns the message of the error.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("the command may or may not be committed: %s", e.Reason)
}

// IsErrOutcomeUnknown reports whether err is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	var target ErrOutcomeUnknown
	return errors.As(err, &target)
}

// ErrNoQuorum reports that no leader with a majority of the voters is available. Nothing was
// appended.
type ErrNoQuorum struct {
	Reason string
}

// Error returns the message of the error.
func (e ErrNoQuorum) Error() string {
	return fmt.Sprintf("no majority of control replicas: %s", e.Reason)
}

// IsErrNoQuorum reports whether err is an ErrNoQuorum.
func IsErrNoQuorum(err error) bool {
	var target ErrNoQuorum
	return errors.As(err, &target)
}

// ErrOverloaded reports that too many commands are pending. Nothing was appended.
type ErrOverloaded struct {
	// Waiting is the number of pending commands.
	Waiting int
}

// Error returns the message of the error.
func (e ErrOverloaded) Error() string { return fmt.Sprintf("%d commands already wait", e.Waiting) }

// IsErrOverloaded reports whether err is an ErrOverloaded.
func IsErrOverloaded(err error) bool {
	var target ErrOverloaded
	return errors.As(err, &target)
}

// ErrReplicaNotExist reports that no member has the given name.
type ErrReplicaNotExist struct {
	Name string
}

// Error returns the message of the error.
func (e ErrReplicaNotExist) Error() string {
	return fmt.Sprintf("control replica %q does not exist", e.Name)
}

// IsErrReplicaNotExist reports whether err is an ErrReplicaNotExist.
func IsErrReplicaNotExist(err error) bool {
	var target ErrReplicaNotExist
	return errors.As(err, &target)
}

// ErrRemoveLeader reports an attempt to remove the leader. Another replica must become the
// leader first, for example by a restart of the current one.
type ErrRemoveLeader struct {
	Name string
}

// Error returns the message of the error.
func (e ErrRemoveLeader) Error() string {
	return fmt.Sprintf("control replica %q is the leader and cannot be removed", e.Name)
}

// IsErrRemoveLeader reports whether err is an ErrRemoveLeader.
func IsErrRemoveLeader(err error) bool {
	var target ErrRemoveLeader
	return errors.As(err, &target)
}
