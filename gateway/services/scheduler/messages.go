// Package scheduler starts waiting requests on leased slots. Its Machine
// combines the queues of the services, the leases of this gateway and the grants
// of the backend servers that this gateway owns.
package scheduler

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/leaser"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Input is an event for the Machine.
type Input interface{ isInput() }

// ViewChanged brings a new view.
type ViewChanged struct{ View viewer.View }

// RequestQueued adds a request that waits for a slot.
type RequestQueued struct {
	Service string
	Item    queuer.Item
	// Retry puts the request before the others of its member.
	Retry bool
}

// RequestCancelled removes a request whose caller has gone. A request that has
// started is not affected.
type RequestCancelled struct {
	Service string
	Request uint64
}

// SlotReturned gives back a slot.
type SlotReturned struct {
	Slot    leaser.Slot
	Result  leaser.Result
	Latency time.Duration
}

// GrantAsked is a request of another gateway for slots.
type GrantAsked struct {
	Call    uint64
	Request messenger.GrantRequest
}

// GrantAnswered is an owner's answer.
type GrantAnswered struct {
	From     string
	Sequence uint64
	Answer   messenger.GrantAnswer
}

// GrantFailed is a request to an owner that got no answer.
type GrantFailed struct {
	From     string
	Sequence uint64
	IDs      []announcer.ID
}

// Leave makes this gateway grant nothing more, before a stop.
type Leave struct{}

// Tick is due every 10 ms.
type Tick struct{}

func (ViewChanged) isInput()      {}
func (RequestQueued) isInput()    {}
func (RequestCancelled) isInput() {}
func (SlotReturned) isInput()     {}
func (GrantAsked) isInput()       {}
func (GrantAnswered) isInput()    {}
func (GrantFailed) isInput()      {}
func (Leave) isInput()            {}
func (Tick) isInput()             {}

// Output is an action that the Machine asks for.
type Output interface{ isOutput() }

// Start runs a request on a slot, which must be returned.
type Start struct {
	Request uint64
	Slot    leaser.Slot
}

// Refuse ends a request that was not run.
type Refuse struct {
	Request    uint64
	Reason     recorder.Reason
	RetryAfter time.Duration
}

// SendGrantRequest asks another gateway for slots.
type SendGrantRequest struct {
	To      string
	Request messenger.GrantRequest
}

// AnswerGrant answers a GrantAsked.
type AnswerGrant struct {
	Call   uint64
	Answer messenger.GrantAnswer
}

func (Start) isOutput()            {}
func (Refuse) isOutput()           {}
func (SendGrantRequest) isOutput() {}
func (AnswerGrant) isOutput()      {}
