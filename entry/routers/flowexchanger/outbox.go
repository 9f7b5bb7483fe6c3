package flowexchanger

import (
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
)

// maxOutbox bounds the flows of an outbox, published ones included. The oldest are forgotten first. It holds all that
// an entry has when it leaves the rotation.
const maxOutbox = 4096

// outbox holds the flows of this entry, so that those that a replica has forgotten can be published again. It is safe
// for concurrent use.
type outbox struct {
	mu    sync.Mutex
	epoch uint64
	items []outboxItem
	// published is the number of items, from the first on, that the replica of the epoch has.
	published int
}

type outboxItem struct {
	flow    flowsharer.HeldFlow
	addedAt time.Time
}

func (o *outbox) add(flows []flowsharer.HeldFlow, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, f := range flows {
		o.items = append(o.items, outboxItem{flow: f, addedAt: now})
	}
	forgotten := max(len(o.items)-maxOutbox, 0)
	for forgotten < len(o.items) && now.Sub(o.items[forgotten].addedAt) > flowsharer.MaxAge {
		forgotten++
	}
	o.items, o.published = o.items[forgotten:], max(o.published-forgotten, 0)
}

// next returns the flows to publish, at most flowsharer.MaxFlows.
func (o *outbox) next() []flowsharer.HeldFlow {
	o.mu.Lock()
	defer o.mu.Unlock()
	var flows []flowsharer.HeldFlow
	for _, item := range o.items[o.published:min(o.published+flowsharer.MaxFlows, len(o.items))] {
		flows = append(flows, item.flow)
	}
	return flows
}

// recordPublished records that the replica of an epoch has got the next flows, count of them.
func (o *outbox) recordPublished(count int, epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.epoch != epoch {
		// The replica has only what it has just got.
		isFirst := o.published == 0
		o.epoch, o.published = epoch, 0
		if !isFirst {
			return
		}
	}
	o.published = min(o.published+count, len(o.items))
}

// recordEpoch records the replica that the entry follows. It reports whether there are flows that it lacks.
func (o *outbox) recordEpoch(epoch uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.epoch != epoch {
		o.epoch, o.published = epoch, 0
	}
	return o.published < len(o.items)
}
