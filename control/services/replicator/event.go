package replicator

import (
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// Input is implemented by the input types of the Machine.
type Input interface{ isInput() }

type sealedInput struct{}

func (sealedInput) isInput() {}

// Tick reports the current time, so that the Machine can act on its timeouts.
type Tick struct {
	sealedInput
	Now time.Time
}

// Receive delivers a message from another replica.
type Receive struct {
	sealedInput
	Now      time.Time
	Envelope Envelope
}

// Propose asks for a command to be committed. The Machine answers with exactly one Accepted or
// Refused. An accepted command ends with Apply or OutcomeUnknown.
type Propose struct {
	sealedInput
	Now     time.Time
	ID      uint64
	Command []byte
}

// Read asks for the log index that must be applied before a linearizable read is served. The
// Machine answers with exactly one ReadReady or Refused.
type Read struct {
	sealedInput
	Now time.Time
	ID  uint64
}

// Remove asks for the removal of all replicas with the given name. The Machine answers with
// exactly one Accepted or Refused.
type Remove struct {
	sealedInput
	Now  time.Time
	ID   uint64
	Name string
}

// Resign prepares a planned stop. A leader transfers its leadership to another replica: pending
// proposals are finished, new ones are refused. In an open membership, a voter then lets another
// replica vote in its place, and a replica that stands by gets no vote. It holds for one election timeout and is to be
// repeated until the process ends, which should wait while Status.IsHandoverDue is set.
type Resign struct {
	sealedInput
	Now time.Time
}

// SetJoinPolicy sets the names of the replicas that may join although the settings do not list
// them.
type SetJoinPolicy struct {
	sealedInput
	Names []string
	// Exclusive reports that no other name may join, except to replace a member of the same name.
	Exclusive bool
}

// SetPeers replaces Settings.Peers, the replicas to which this replica sends its requests to
// join.
type SetPeers struct {
	sealedInput
	Peers []Peer
}

// SetVoterLimits replaces Settings.MinVoters and Settings.MaxVoters. The leader then promotes or demotes replicas, one at
// a time.
type SetVoterLimits struct {
	sealedInput
	MinVoters, MaxVoters int
}

// SnapshotTaken is the result of TakeSnapshot.
type SnapshotTaken struct {
	sealedInput
	Now   time.Time
	Index uint64
	Data  []byte
	// Err is the error if the snapshot could not be taken. The Machine asks for another one
	// later.
	Err error
}

// Saved reports that the output of the oldest steps with Save outputs is durable.
type Saved struct {
	sealedInput
	Now time.Time
	// Steps is the number of those steps.
	Steps int
}

// Output is implemented by the output types of the Machine. They are executed in order, each once all Save outputs of
// its step and of earlier steps are durable, but for those that MayPrecedeSaves: these are executed at once, in order
// among themselves. Further steps may be taken meanwhile; Saved must report each step with Save outputs.
type Output interface{ isOutput() }

type sealedOutput struct{}

func (sealedOutput) isOutput() {}

// SaveVote stores the term and vote.
type SaveVote struct {
	sealedOutput
	Vote storer.Vote
}

// SaveEntries stores entries. All stored entries from the index of the first one on are deleted
// before.
type SaveEntries struct {
	sealedOutput
	Entries []storer.Entry
}

// SaveSnapshot stores a snapshot and deletes the entries below CompactBefore. With Reset it
// deletes all entries.
type SaveSnapshot struct {
	sealedOutput
	Snapshot      *storer.Snapshot
	Reset         bool
	CompactBefore uint64
}

// Send sends a message to the address of a member. Delivery is not guaranteed.
type Send struct {
	sealedOutput
	To       storer.Member
	Envelope Envelope
	// MayPrecedeSaves reports that the message promises nothing that is not durable yet. A slow disk then delays no
	// heartbeat.
	MayPrecedeSaves bool
}

// MayPrecedeSaves reports whether an output promises nothing that is not durable yet, so that it does not wait for the
// disk. Only messages may promise that: snapshots and committed entries are emitted once they are durable here.
func MayPrecedeSaves(o Output) bool {
	if send, ok := o.(Send); ok {
		return send.MayPrecedeSaves
	}
	return !IsSave(o)
}

// IsSave reports whether an output must be durable before later ones are executed.
func IsSave(o Output) bool {
	switch o.(type) {
	case SaveVote, SaveEntries, SaveSnapshot:
		return true
	}
	return false
}

// Apply passes committed entries to the Applier in log order.
type Apply struct {
	sealedOutput
	Entries []storer.Entry
}

// Restore replaces the state of the Applier with that of a snapshot.
type Restore struct {
	sealedOutput
	Snapshot *storer.Snapshot
}

// TakeSnapshot asks for a snapshot of the Applier once it has applied all entries up to
// Index.
type TakeSnapshot struct {
	sealedOutput
	Index uint64
}

// Accepted reports that a proposal was appended to the leader's log at Index in Term.
type Accepted struct {
	sealedOutput
	ID    uint64
	Index uint64
	Term  uint64
}

// Refused reports that a proposal, removal or read was not accepted and has no effect.
type Refused struct {
	sealedOutput
	ID  uint64
	Err error
}

// OutcomeUnknown reports that this replica no longer leads and will not learn the outcome of an
// accepted proposal in time.
type OutcomeUnknown struct {
	sealedOutput
	ID uint64
}

// ReadReady reports that a read may be answered once Index is applied.
type ReadReady struct {
	sealedOutput
	ID    uint64
	Index uint64
}
