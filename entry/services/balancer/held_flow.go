package balancer

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
)

const (
	// heldFlowsPerSecond and maxHeldFlowBurst limit the flows that this entry publishes. Each takes 26 bytes on the
	// links of all entries, and under overload most opening packets are answered late. 70 entries then use 1.5% of
	// links of 2 Mbit/s.
	heldFlowsPerSecond = 2
	maxHeldFlowBurst   = 32
	// maxHeldFlows limits the flows of other entries that are remembered, which take 1 MB.
	maxHeldFlows = 8192
)

// heldFlows are flows whose token may name a backend server that does not hold them, because several have got the
// opening packet and the caller returns the token that arrived last.
type heldFlows struct {
	// own are those of this entry that were not taken yet, and added signals new ones.
	own     []flowsharer.HeldFlow
	added   chan struct{}
	limiter *rate.Limiter
	// leftOut counts those that were not published because of the limits.
	leftOut int
	// received are those that any entry has published.
	received map[flowKey]receivedFlow
}

type receivedFlow struct {
	token        director.Token
	acknowledged uint32
	receivedAt   time.Time
}

func newHeldFlows() *heldFlows {
	return &heldFlows{
		added: make(chan struct{}, 1), limiter: rate.NewLimiter(heldFlowsPerSecond, maxHeldFlowBurst), received: make(map[flowKey]receivedFlow),
	}
}

// publish hands on the holder of a flow of this entry.
func (h *heldFlows) publish(key flowKey, f *flow, now time.Time) {
	if len(h.own) >= flowsharer.MaxFlows || !h.limiter.AllowN(now, 1) {
		h.leftOut++
		return
	}
	h.own = append(h.own, flowsharer.HeldFlow{Source: key.source, Destination: key.destination, Token: f.token, Acknowledged: f.acknowledged})
	select {
	case h.added <- struct{}{}:
	default:
	}
}

// forget removes the flows of other entries that are too old.
func (h *heldFlows) forget(now time.Time) {
	for key, f := range h.received {
		if now.Sub(f.receivedAt) > flowsharer.MaxAge {
			delete(h.received, key)
		}
	}
}

// HeldFlowsAdded delivers a value when there are flows for TakeHeldFlows.
func (b *Balancer) HeldFlowsAdded() <-chan struct{} { return b.held.added }

// TakeHeldFlows returns the flows of this entry whose token may name a backend server that does not hold them. Each is
// returned once.
func (b *Balancer) TakeHeldFlows() []flowsharer.HeldFlow {
	b.mu.Lock()
	defer b.mu.Unlock()
	flows := b.held.own
	b.held.own = nil
	return flows
}

// HeldFlowsLeftOut returns how many flows were not published because of the limits.
func (b *Balancer) HeldFlowsLeftOut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held.leftOut
}

// AddHeldFlows records the backend servers that hold flows of other entries. If there are too many, further ones are
// not recorded.
func (b *Balancer) AddHeldFlows(flows []flowsharer.HeldFlow, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range flows {
		key := flowKey{source: f.Source, destination: f.Destination}
		if _, ok := b.held.received[key]; ok || len(b.held.received) < maxHeldFlows {
			b.held.received[key] = receivedFlow{token: f.Token, acknowledged: f.Acknowledged, receivedAt: now}
		}
	}
}

// publishedHolder returns the backend server that holds the flow of a packet according to the entry that carried it
// before, and false if none has published it or the token of the packet names the holder.
func (b *Balancer) publishedHolder(p Packet, route director.Route) (director.Server, bool) {
	held, ok := b.held.received[keyOf(p)]
	if !ok || held.token == p.Token {
		return director.Server{}, false
	}
	return b.holder(held.token, held.acknowledged, p, route)
}
