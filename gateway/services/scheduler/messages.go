// Package scheduler assigns waiting requests to leased slots of backend servers. Its Machine
// combines the request queues of the services, the slot leases that this gateway holds, and the
// leases that it grants for the backend servers that it owns.
package scheduler

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/hedger"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Input is an event for the Machine.
type Input interface{ isInput() }

// ViewChanged delivers a new view.
type ViewChanged struct{ View viewer.View }

// RequestQueued adds a request that waits for a slot.
type RequestQueued struct {
	Service string
	Item    queuer.Item
	// Retry puts the request before the others of its client account.
	Retry bool
}

// SecondSlotRequested asks for a slot for the second attempt of a request, at another backend
// server than the first. It is answered with Start or Withhold within secondSlotTimeout.
type SecondSlotRequested struct {
	Request uint64
	// First is the backend server of the first attempt.
	First announcer.ID
}

// RequestCancelled removes a waiting request, or the second attempt of one, whose caller no longer
// waits. It has no effect on one that has started.
type RequestCancelled struct {
	Service string
	Request uint64
}

// SlotReturned releases a slot and reports how the request on it ended.
type SlotReturned struct {
	Slot    leaseholder.Slot
	Result  leaseholder.Result
	Latency time.Duration
}

// GrantRequested is a slot request or a probe from another gateway.
type GrantRequested struct {
	Call    uint64
	Request messenger.GrantRequest
}

// GrantAnswered is another gateway's answer to a slot request or a probe.
type GrantAnswered struct {
	From     string
	Sequence uint64
	Answer   messenger.GrantAnswer
}

// GrantFailed reports that a slot request or a probe to another gateway was not answered.
type GrantFailed struct {
	From     string
	Sequence uint64
	IDs      []announcer.ID
}

// Leave makes this gateway stop granting slots, before a planned stop.
type Leave struct{}

// Tick is the periodic input, due every TickPeriod.
type Tick struct{}

func (ViewChanged) isInput()         {}
func (RequestQueued) isInput()       {}
func (SecondSlotRequested) isInput() {}
func (RequestCancelled) isInput()    {}
func (SlotReturned) isInput()        {}
func (GrantRequested) isInput()      {}
func (GrantAnswered) isInput()       {}
func (GrantFailed) isInput()         {}
func (Leave) isInput()               {}
func (Tick) isInput()                {}

// Output is an action that the Machine requests.
type Output interface{ isOutput() }

// Start dispatches a request on a slot. The slot must be returned with SlotReturned.
type Start struct {
	Request uint64
	Slot    leaseholder.Slot
}

// Refuse ends a request that was not dispatched.
type Refuse struct {
	Request    uint64
	Reason     recorder.Reason
	RetryAfter time.Duration
}

// Withhold ends a second attempt that was not sent.
type Withhold struct {
	Request uint64
	Reason  hedger.Reason
}

// SendGrantRequest sends a slot request or a probe to another gateway.
type SendGrantRequest struct {
	To      string
	Request messenger.GrantRequest
}

// AnswerGrant is the answer to a GrantRequested.
type AnswerGrant struct {
	Call   uint64
	Answer messenger.GrantAnswer
}

func (Start) isOutput()            {}
func (Refuse) isOutput()           {}
func (Withhold) isOutput()         {}
func (SendGrantRequest) isOutput() {}
func (AnswerGrant) isOutput()      {}
