package replicator

import (
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// Input is one of the input types of the Machine.
type Input interface{ isInput() }

type sealedInput struct{}

func (sealedInput) isInput() {}

// Tick reports the passage of time.
type Tick struct {
	sealedInput
	Now time.Time
}

// Receive is a message from another replica.
type Receive struct {
	sealedInput
	Now      time.Time
	Envelope Envelope
}

// Propose asks for a command to be committed. It is answered by exactly one of
// Accepted and Refused; an accepted command is completed by Apply or Lost.
type Propose struct {
	sealedInput
	Now     time.Time
	ID      uint64
	Command []byte
}

// Read asks for a point in the log that a linearizable read must wait for. It is
// answered by exactly one of ReadReady and Refused.
type Read struct {
	sealedInput
	Now time.Time
	ID  uint64
}

// Remove asks for the removal of all replicas with a name. It is answered by
// exactly one of Accepted and Refused.
type Remove struct {
	sealedInput
	Now  time.Time
	ID   uint64
	Name string
}

// Resign asks a leader to let another replica lead, before a planned stop. Open
// proposals are finished, new ones are refused.
type Resign struct {
	sealedInput
	Now time.Time
}

// Admit names the replicas that may join although they are not in the settings.
type Admit struct {
	sealedInput
	Names []string
	// Only tells that no other name may join, except in the place of a member.
	Only bool
}

// Seed replaces the replicas of the settings, which this replica asks when it
// must join.
type Seed struct {
	sealedInput
	Peers []Peer
}

// SnapshotTaken answers TakeSnapshot.
type SnapshotTaken struct {
	sealedInput
	Now   time.Time
	Index uint64
	Data  []byte
	// Err reports that the snapshot could not be taken; another is asked for
	// later.
	Err error
}

// Output is one of the output types of the Machine. All Save outputs of a step
// must be durable before any other output of the step is carried out.
type Output interface{ isOutput() }

type sealedOutput struct{}

func (sealedOutput) isOutput() {}

// SaveVote stores the term and vote.
type SaveVote struct {
	sealedOutput
	Vote storer.Vote
}

// SaveEntries stores entries. The first deletes all stored ones from its index on.
type SaveEntries struct {
	sealedOutput
	Entries []storer.Entry
}

// SaveSnapshot stores a snapshot and deletes the entries below CompactBefore, or
// all entries with Reset.
type SaveSnapshot struct {
	sealedOutput
	Snapshot      *storer.Snapshot
	Reset         bool
	CompactBefore uint64
}

// Send delivers a message, without guarantee, to the replica at a member's
// address.
type Send struct {
	sealedOutput
	To       storer.Member
	Envelope Envelope
}

// Apply hands committed entries to the Applier in order.
type Apply struct {
	sealedOutput
	Entries []storer.Entry
}

// Restore replaces the state of the Applier.
type Restore struct {
	sealedOutput
	Snapshot *storer.Snapshot
}

// TakeSnapshot asks for the state of the Applier after all entries up to Index.
type TakeSnapshot struct {
	sealedOutput
	Index uint64
}

// Accepted reports that a proposal was appended at Index in Term.
type Accepted struct {
	sealedOutput
	ID    uint64
	Index uint64
	Term  uint64
}

// Refused reports that a proposal or read was not accepted and has no effect.
type Refused struct {
	sealedOutput
	ID  uint64
	Err error
}

// Lost reports that this replica will not learn the outcome of an accepted
// proposal in time.
type Lost struct {
	sealedOutput
	ID uint64
}

// ReadReady reports that a read may be answered once Index is applied.
type ReadReady struct {
	sealedOutput
	ID    uint64
	Index uint64
}
