// Package flowkeeper keeps, at a control replica, which backend servers hold the flows that entries have published.
// It is kept in memory only: a flow is over long before its entry would be read from a disk.
package flowkeeper

import (
	"net/netip"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
)

// maxRecords bounds the memory. The oldest flows are forgotten first.
const maxRecords = 4096

// key identifies a flow by its addresses.
type key struct{ source, destination netip.AddrPort }

func keyOf(f flowsharer.HeldFlow) key { return key{source: f.Source, destination: f.Destination} }

// record is a flow with its position in the sequence.
type record struct {
	flow       flowsharer.HeldFlow
	sequence   uint64
	receivedAt time.Time
	// isPublished is set if an entry has published the flow here, and not only at another replica.
	isPublished bool
}

// Keeper keeps the latest flows in the order in which they came. It is safe for concurrent use.
type Keeper struct {
	// epoch distinguishes the sequence from that of an earlier start of the replica.
	epoch uint64

	mu       sync.Mutex
	sequence uint64
	// records are in the order of their sequence, and latest has the last one of each flow.
	records []record
	latest  map[key]record
	changed chan struct{}
}

// New returns a Keeper without flows. Each start of a replica must have another epoch, which is not 0.
func New(epoch uint64) *Keeper {
	return &Keeper{epoch: epoch, latest: make(map[key]record), changed: make(chan struct{})}
}

// Epoch identifies the start of the replica.
func (k *Keeper) Epoch() uint64 { return k.epoch }

// Len returns the number of flows.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.latest)
}

// Add adds flows that entries have published here, or at another replica. Those that are known are skipped.
func (k *Keeper) Add(flows []flowsharer.HeldFlow, isPublished bool, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forget(now)
	before := k.sequence
	for _, f := range flows {
		known, ok := k.latest[keyOf(f)]
		if ok && known.flow == f && (known.isPublished || !isPublished) {
			continue
		}
		k.sequence++
		r := record{flow: f, sequence: k.sequence, receivedAt: now, isPublished: isPublished}
		k.records = append(k.records, r)
		k.latest[keyOf(f)] = r
	}
	if k.sequence != before {
		close(k.changed)
		k.changed = make(chan struct{})
	}
}

// Since returns the flows that a request asks for, at most flowsharer.MaxFlows, and the position of the last one. The
// channel is closed when there are further flows.
func (k *Keeper) Since(req flowsharer.WatchRequest, now time.Time) (flowsharer.WatchResponse, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forget(now)
	isAsked := func(r record) bool { return r.sequence > req.After.Sequence }
	if req.After.Epoch != k.epoch {
		isAsked = func(r record) bool { return req.Within <= 0 || now.Sub(r.receivedAt) <= req.Within }
	}
	response := flowsharer.WatchResponse{UpTo: flowsharer.Position{Epoch: k.epoch, Sequence: k.sequence}}
	for _, r := range k.records {
		if !isAsked(r) || req.OnlyPublished && !r.isPublished || k.latest[keyOf(r.flow)].sequence != r.sequence {
			continue
		}
		if len(response.Flows) == flowsharer.MaxFlows {
			response.UpTo.Sequence = r.sequence - 1
			break
		}
		response.Flows = append(response.Flows, r.flow)
	}
	return response, k.changed
}

// forget removes the records that are too old or too many.
func (k *Keeper) forget(now time.Time) {
	count := max(len(k.records)-maxRecords, 0)
	for count < len(k.records) && now.Sub(k.records[count].receivedAt) > flowsharer.MaxAge {
		count++
	}
	for _, r := range k.records[:count] {
		if k.latest[keyOf(r.flow)].sequence == r.sequence {
			delete(k.latest, keyOf(r.flow))
		}
	}
	k.records = k.records[count:]
}
