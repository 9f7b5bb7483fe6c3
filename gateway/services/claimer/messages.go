// Package claimer makes sure that a non-idempotent request is dispatched at
// most once. A gateway that wants to dispatch a request first claims its
// idempotency key at a majority of the key's claim group. Group members keep
// claims and outcomes in memory and copy them from each other after a restart.
package claimer

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

// Input is an event for the Machine.
type Input interface{ isInput() }

// ListChanged carries the gateway list of a new configuration.
type ListChanged struct{ Gateways []viewer.Gateway }

// ClaimRequested starts to claim a key for a request that this gateway received.
type ClaimRequested struct {
	Request     uint64
	Key         messenger.Key
	Fingerprint [32]byte
	Deadline    time.Time
}

// OutcomeKnown reports the outcome of a request that holds its claim. The claim
// is released if the request was not run and never will be.
type OutcomeKnown struct {
	Request uint64
	Outcome recorder.Outcome
}

// CallerCancelled cancels a request that does not hold its claim yet, because its
// caller no longer waits.
type CallerCancelled struct{ Request uint64 }

// ClaimReceived is another gateway's request for a claim. Call identifies it in
// AnswerClaim.
type ClaimReceived struct {
	Call    uint64
	Request messenger.ClaimRequest
}

// ClaimAnswered is a group member's answer to SendClaim. Answers to earlier
// attempts are ignored.
type ClaimAnswered struct {
	From    string
	Request uint64
	Attempt messenger.Attempt
	Answer  messenger.ClaimAnswer
}

// RecordReceived is a request to store an outcome or a release at this gateway.
type RecordReceived struct{ Request messenger.RecordRequest }

// RecordAcknowledged is a group member's acknowledgement of SendRecord.
type RecordAcknowledged struct {
	From   string
	Record uint64
}

// HandOverReceived is a peer's push of keys or request for a copy. Call
// identifies it in AnswerHandOver.
type HandOverReceived struct {
	Call    uint64
	Request messenger.HandOverRequest
}

// HandOverAnswered is one page of a peer's keys.
type HandOverAnswered struct {
	From   string
	Cursor uint64
	Answer messenger.HandOverAnswer
}

// Stopping makes the Machine push all keys to the peers before a planned stop.
type Stopping struct{}

// Tick triggers timeouts and retries. It is due every TickPeriod.
type Tick struct{}

func (ListChanged) isInput()        {}
func (ClaimRequested) isInput()     {}
func (OutcomeKnown) isInput()       {}
func (CallerCancelled) isInput()    {}
func (ClaimReceived) isInput()      {}
func (ClaimAnswered) isInput()      {}
func (RecordReceived) isInput()     {}
func (RecordAcknowledged) isInput() {}
func (HandOverReceived) isInput()   {}
func (HandOverAnswered) isInput()   {}
func (Stopping) isInput()           {}
func (Tick) isInput()               {}

// Output is an action that the Machine asks for.
type Output interface{ isOutput() }

// ClaimHeld means that the request holds its claim and may be dispatched until
// its deadline.
type ClaimHeld struct{ Request uint64 }

// RequestDecided ends a request with an outcome, without dispatching it.
type RequestDecided struct {
	Request uint64
	Outcome recorder.Outcome
}

// SendClaim asks a group member for a claim.
type SendClaim struct {
	To      viewer.Gateway
	Request uint64
	Claim   messenger.ClaimRequest
}

// SendRecord sends an outcome or a release to a group member.
type SendRecord struct {
	To      viewer.Gateway
	Record  uint64
	Request messenger.RecordRequest
}

// SendHandOver pushes keys to a peer or asks it for a copy.
type SendHandOver struct {
	To      viewer.Gateway
	Request messenger.HandOverRequest
}

// AnswerClaim answers a ClaimReceived.
type AnswerClaim struct {
	Call   uint64
	Answer messenger.ClaimAnswer
}

// AnswerHandOver answers a HandOverReceived.
type AnswerHandOver struct {
	Call   uint64
	Answer messenger.HandOverAnswer
}

func (ClaimHeld) isOutput()      {}
func (RequestDecided) isOutput() {}
func (SendClaim) isOutput()      {}
func (SendRecord) isOutput()     {}
func (SendHandOver) isOutput()   {}
func (AnswerClaim) isOutput()    {}
func (AnswerHandOver) isOutput() {}
