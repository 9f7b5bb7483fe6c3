package scheduler

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// baseline is a gateway that does not coordinate with others. It sends each request to the next
// backend server in turn, or to the one with the fewest of its own requests, up to the
// announced slots, and does not consider cold starts. It has the same queues as Machine.
type baseline struct {
	leastConnections bool
	queue            *queuer.Queue
	servers          []announcer.Record
	open             map[announcer.ID]int
	next             int
}

func newBaseline(leastConnections bool) policy {
	return func(s *simulation, _ string) stepper {
		return &baseline{
			leastConnections: leastConnections, queue: queuer.New(queuer.Settings{PerClientAccount: 100, Total: 1000}),
			open: make(map[announcer.ID]int), next: s.rng.IntN(100),
		}
	}
}

func (b *baseline) Step(now time.Time, input Input) []Output {
	var out []Output
	switch in := input.(type) {
	case ViewChanged:
		b.servers = in.View.Backends
	case RequestQueued:
		if in.Retry {
			b.queue.PushFront(in.Item)
		} else if reason, ok := b.queue.Push(now, in.Item); !ok {
			return []Output{Refuse{Request: in.Item.Request, Reason: reason}}
		}
	case SlotReturned:
		b.open[in.Slot.ID]--
	case Tick:
		out = refuseAll(b.queue, b.queue.Expire(now))
	default:
	}
	for b.queue.Len() > 0 {
		server, ok := b.choose()
		if !ok {
			return out
		}
		item, expired, ok := b.queue.Pop(now)
		out = append(out, refuseAll(b.queue, expired)...)
		if !ok {
			return out
		}
		b.open[server.ID]++
		out = append(out, Start{Request: item.Request, Slot: leaseholder.Slot{ID: server.ID, Until: now.Add(time.Hour)}})
	}
	return out
}

func (b *baseline) choose() (announcer.Record, bool) {
	best := -1
	for i := range b.servers {
		at := (b.next + i) % len(b.servers)
		open := b.open[b.servers[at].ID]
		if open >= b.servers[at].Slots {
			continue
		}
		if best < 0 || (b.leastConnections && open < b.open[b.servers[best].ID]) {
			best = at
		}
		if !b.leastConnections {
			break
		}
	}
	if best < 0 {
		return announcer.Record{}, false
	}
	b.next = best + 1
	return b.servers[best], true
}
