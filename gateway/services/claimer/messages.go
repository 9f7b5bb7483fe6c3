// Package claimer makes sure that a non-idempotent request is dispatched at
// most once. A gateway that wants to dispatch a request claims its key at a
// majority of the key's claim group. Members of a group keep claims and
// outcomes in memory and copy them from each other after a restart.
package claimer

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

// Input is an event for the Machine.
type Input interface{ isInput() }

// ListChanged brings the gateway list of a new configuration.
type ListChanged struct{ Gateways []viewer.Gateway }

// ClaimWanted asks for the claim on a key for a request of a caller.
type ClaimWanted struct {
	Request     uint64
	Key         messenger.Key
	Fingerprint [32]byte
	Deadline    time.Time
}

// OutcomeKnown ends a request whose claim was held. The claim is released if the
// request was not run and never will be.
type OutcomeKnown struct {
	Request uint64
	Outcome recorder.Outcome
}

// CallerGone ends a request that does not hold its claim yet.
type CallerGone struct{ Request uint64 }

// ClaimAsked is another gateway's request for a claim.
type ClaimAsked struct {
	Call    uint64
	Request messenger.ClaimRequest
}

// ClaimAnswered is a member's answer. Answers to former attempts are ignored.
type ClaimAnswered struct {
	From    string
	Request uint64
	Attempt messenger.Attempt
	Answer  messenger.ClaimAnswer
}

// RecordAsked records an outcome or a release at this member.
type RecordAsked struct{ Request messenger.RecordRequest }

// RecordAnswered acknowledges a record.
type RecordAnswered struct {
	From   string
	Record uint64
}

// HandOverAsked is a peer's push of keys or request for a copy.
type HandOverAsked struct {
	Call    uint64
	Request messenger.HandOverRequest
}

// HandOverAnswered is a page of a peer's keys.
type HandOverAnswered struct {
	From   string
	Cursor uint64
	Answer messenger.HandOverAnswer
}

// Stopping pushes all keys to the peers.
type Stopping struct{}

// Tick is due every 50 ms.
type Tick struct{}

func (ListChanged) isInput()      {}
func (ClaimWanted) isInput()      {}
func (OutcomeKnown) isInput()     {}
func (CallerGone) isInput()       {}
func (ClaimAsked) isInput()       {}
func (ClaimAnswered) isInput()    {}
func (RecordAsked) isInput()      {}
func (RecordAnswered) isInput()   {}
func (HandOverAsked) isInput()    {}
func (HandOverAnswered) isInput() {}
func (Stopping) isInput()         {}
func (Tick) isInput()             {}

// Output is an action that the Machine asks for.
type Output interface{ isOutput() }

// Held means that the request may be dispatched until its deadline.
type Held struct{ Request uint64 }

// Decided ends a request without dispatching it.
type Decided struct {
	Request uint64
	Outcome recorder.Outcome
}

// SendClaim asks a member for a claim.
type SendClaim struct {
	To      viewer.Gateway
	Request uint64
	Claim   messenger.ClaimRequest
}

// SendRecord records an outcome at a member.
type SendRecord struct {
	To      viewer.Gateway
	Record  uint64
	Request messenger.RecordRequest
}

// SendHandOver pushes keys or asks for a copy.
type SendHandOver struct {
	To      viewer.Gateway
	Request messenger.HandOverRequest
}

// AnswerClaim answers a ClaimAsked.
type AnswerClaim struct {
	Call   uint64
	Answer messenger.ClaimAnswer
}

// AnswerHandOver answers a HandOverAsked.
type AnswerHandOver struct {
	Call   uint64
	Answer messenger.HandOverAnswer
}

func (Held) isOutput()           {}
func (Decided) isOutput()        {}
func (SendClaim) isOutput()      {}
func (SendRecord) isOutput()     {}
func (SendHandOver) isOutput()   {}
func (AnswerClaim) isOutput()    {}
func (AnswerHandOver) isOutput() {}
