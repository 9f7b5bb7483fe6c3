package balancer

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
)

// maxHeldFlows limits the flows of other entries that are remembered, which take 1 MB. The oldest are forgotten first.
const maxHeldFlows = 8192

// heldFlows are flows of other entries whose token may name a backend server that does not hold them, because several
// have got the opening packet and the caller returns the token that arrived last.
type heldFlows struct {
	latest map[flowKey]receivedFlow
	// order has the flows in the order in which they were received, also those that were received again since.
	order []receivedKey
}

type receivedFlow struct {
	token        director.Token
	acknowledged uint32
	receivedAt   time.Time
}

type receivedKey struct {
	key        flowKey
	receivedAt time.Time
}

func newHeldFlows() *heldFlows { return &heldFlows{latest: make(map[flowKey]receivedFlow)} }

func (h *heldFlows) add(key flowKey, f receivedFlow) {
	h.latest[key] = f
	h.order = append(h.order, receivedKey{key: key, receivedAt: f.receivedAt})
}

// forget removes the flows that are too old or too many.
func (h *heldFlows) forget(now time.Time) {
	count := max(len(h.order)-maxHeldFlows, 0)
	for count < len(h.order) && now.Sub(h.order[count].receivedAt) > flowsharer.MaxAge {
		count++
	}
	for _, received := range h.order[:count] {
		if h.latest[received.key].receivedAt.Equal(received.receivedAt) {
			delete(h.latest, received.key)
		}
	}
	h.order = h.order[count:]
}

// AddHeldFlows records the backend servers that hold flows of other entries. If there are too many, the oldest are
// forgotten.
func (b *Balancer) AddHeldFlows(flows []flowsharer.HeldFlow, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range flows {
		b.held.add(flowKey{source: f.Source, destination: f.Destination}, receivedFlow{token: f.Token, acknowledged: f.Acknowledged, receivedAt: now})
	}
	b.held.forget(now)
}

// publishedHolder returns the backend server that holds the flow of a packet according to the entry that carried it
// before, and false if none has published it or the token of the packet names the holder.
func (b *Balancer) publishedHolder(p Packet, route director.Route) (director.Server, bool) {
	held, ok := b.held.latest[keyOf(p)]
	if !ok || held.token == p.Token {
		return director.Server{}, false
	}
	return b.holder(held.token, held.acknowledged, p, route)
}
