package balancer

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
)

const (
	// heldFlowLinkShare is the share of the link of an entry that the flows of publishingEntries entries may take.
	// Under overload most opening packets are answered late.
	heldFlowLinkShare = 0.015
	publishingEntries = 70
	// minHeldFlowRate and maxHeldFlowRate limit the flows that this entry publishes in a second. A control replica
	// keeps 4096 flows of all entries, and above the maximum eight entries would fill it within 16 s.
	minHeldFlowRate, maxHeldFlowRate = 2, 32
	// heldFlowBurstTime is the time whose flows may be published at once.
	heldFlowBurstTime = 16 * time.Second
	// maxWaitingFlows limits the flows that wait to be published. The oldest are left out first.
	maxWaitingFlows = 4096
)

// heldFlowPublisher hands on which backend servers hold flows of this entry whose token may name another one, within
// the limits of the links. Flows beyond them wait, and are handed on at the latest when this entry leaves the
// rotation. The newest go first: the token of a flow is right once its ends have exchanged a further packet each.
type heldFlowPublisher struct {
	limiter *rate.Limiter
	// isLeaving is set once the routers are about to send the flows through other entries.
	isLeaving bool
	waiting   []waitingFlow
	ready     []flowsharer.HeldFlow
	// added signals new flows that are ready.
	added   chan struct{}
	leftOut int
}

type waitingFlow struct {
	key  flowKey
	flow *flow
}

// newHeldFlowPublisher returns a publisher for a link with a rate in bytes per second, or 0 if it is not known.
func newHeldFlowPublisher(linkRate float64) *heldFlowPublisher {
	perSecond := min(max(linkRate*heldFlowLinkShare/publishingEntries/flowsharer.FlowSize, minHeldFlowRate), maxHeldFlowRate)
	return &heldFlowPublisher{
		limiter: rate.NewLimiter(rate.Limit(perSecond), int(perSecond*heldFlowBurstTime.Seconds())), added: make(chan struct{}, 1),
	}
}

// publish hands on the backend server that holds a flow of this entry as soon as the limits allow it.
func (h *heldFlowPublisher) publish(key flowKey, f *flow, now time.Time) {
	h.waiting = append(h.waiting, waitingFlow{key: key, flow: f})
	if len(h.waiting)+len(h.ready) > maxWaitingFlows {
		h.dropEnded()
	}
	if excess := len(h.waiting) + len(h.ready) - maxWaitingFlows; excess > 0 {
		excess = min(excess, len(h.waiting))
		h.waiting = h.waiting[excess:]
		h.leftOut += excess
	}
	h.release(now)
}

// dropEnded removes the flows that have ended while they waited, as they need no holder.
func (h *heldFlowPublisher) dropEnded() {
	h.waiting = slices.DeleteFunc(h.waiting, func(w waitingFlow) bool { return w.flow.isClosed || w.flow.isForgotten })
}

// release makes flows ready that have waited, as far as the limits allow it.
func (h *heldFlowPublisher) release(now time.Time) {
	if len(h.waiting) == 0 || !h.isLeaving && h.limiter.TokensAt(now) < 1 {
		return
	}
	h.dropEnded()
	for len(h.waiting) > 0 && (h.isLeaving || h.limiter.AllowN(now, 1)) {
		last := len(h.waiting) - 1
		next := h.waiting[last]
		h.waiting = h.waiting[:last]
		h.ready = append(h.ready, flowsharer.HeldFlow{
			Source: next.key.source, Destination: next.key.destination, Token: next.flow.token, Acknowledged: next.flow.acknowledged,
		})
	}
	if len(h.ready) == 0 {
		return
	}
	select {
	case h.added <- struct{}{}:
	default:
	}
}

// HeldFlowsAdded delivers a value when there are flows for TakeHeldFlows.
func (b *Balancer) HeldFlowsAdded() <-chan struct{} { return b.heldPublisher.added }

// TakeHeldFlows returns the flows of this entry whose token may name a backend server that does not hold them, as far
// as the limits of the links allow it. Each is returned once.
func (b *Balancer) TakeHeldFlows() []flowsharer.HeldFlow {
	b.mu.Lock()
	defer b.mu.Unlock()
	flows := b.heldPublisher.ready
	b.heldPublisher.ready = nil
	return flows
}

// HeldFlowsLeftOut returns how many flows will not be published because too many were waiting.
func (b *Balancer) HeldFlowsLeftOut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heldPublisher.leftOut
}

// HeldFlowsWaiting returns how many flows wait to be published because of the limits of the links.
func (b *Balancer) HeldFlowsWaiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.heldPublisher.waiting)
}
