// Package leaser is the holder side of slot leases: it keeps the slots that
// this gateway may use, picks one for each request, and asks the owners of the
// backend servers for slots by demand.
package leaser

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

const (
	// idleReturn is how long a slot may be unused before it is given back.
	idleReturn = 100 * time.Millisecond
	// askPause is the least time between two requests for more slots of one
	// backend server after a refusal; up to as much jitter is added.
	askPause = 20 * time.Millisecond
	// answerTimeout is the time after which an answer of an owner is ignored.
	answerTimeout = time.Second
	// holdRenewal is the time between requests for a slot in use, so that the
	// owner can pass it on to a gateway that waits.
	holdRenewal = 250 * time.Millisecond
)

// Slot is the permission to run one request.
type Slot struct {
	ID          announcer.ID
	Address     netip.AddrPort
	Incarnation uint64
	// Until is when the lease ends; nothing may be dispatched then.
	Until time.Time
}

// Result is how the use of a slot ended.
type Result uint8

// Results of a slot.
const (
	// ResultAnswered is any answer but a shed request.
	ResultAnswered Result = iota + 1
	// ResultShed is an answer with status 503.
	ResultShed
	// ResultFailed is a connection that failed.
	ResultFailed
	// ResultUnused is a slot that was not used, or whose caller gave up.
	ResultUnused
)

// Leases are the slots of one gateway. Not safe for concurrent use.
type Leases struct {
	self  string
	lease time.Duration
	rng   *rand.Rand
	hosts map[announcer.ID]*host
	// order has the hosts of each service, by name.
	order  map[string][]*host
	next   map[string]int
	owners map[string]*owner
	// epoch tells owners a restarted gateway's requests from old ones, and
	// sequence numbers the requests of this process.
	epoch    uint64
	sequence uint64
}

type host struct {
	record     announcer.Record
	accepts    bool
	local      bool
	owner      string
	granted    int
	until      time.Time
	renewed    time.Time
	inUse      int
	idleSince  time.Time
	nextAsk    time.Time
	wantMore   bool
	report     messenger.Report
	urgent     bool
	lastChoice uint64
	// account is what the owner counts for this gateway until accountUntil.
	asked        int
	account      int
	accountUntil time.Time
}

type owner struct {
	outstanding bool
	sequence    uint64
	sentAt      time.Time
}

// New returns Leases without slots.
func New(self string, lease time.Duration, rng *rand.Rand) *Leases {
	return &Leases{
		self: self, lease: lease, rng: rng, epoch: rng.Uint64(),
		hosts: make(map[announcer.ID]*host), order: make(map[string][]*host),
		next: make(map[string]int), owners: make(map[string]*owner),
	}
}

// SetView takes a new view into account.
func (l *Leases) SetView(view viewer.View) {
	self, _ := view.GetGateway(l.self)
	seen := make(map[announcer.ID]bool, len(view.Backends))
	l.order = make(map[string][]*host)
	for _, r := range view.Backends {
		seen[r.ID] = true
		h := l.hosts[r.ID]
		if h == nil {
			h = &host{}
			l.hosts[r.ID] = h
		}
		if h.record.Incarnation != r.Incarnation {
			// A restarted backend server starts at one slot.
			h.granted = min(h.granted, 1)
		}
		if h.record.Address != r.Address {
			h.granted = 0
		}
		h.record, h.accepts = r, view.Accepts(r)
		h.owner = granter.Owner(view, r)
		h.local = r.DataCentre == self.DataCentre
		l.order[r.Service] = append(l.order[r.Service], h)
	}
	for id := range l.hosts {
		if !seen[id] {
			delete(l.hosts, id)
		}
	}
	for _, hosts := range l.order {
		slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.record.Host, b.record.Host) })
	}
}

// Epoch identifies this process in requests to owners.
func (l *Leases) Epoch() uint64 { return l.epoch }

// Take takes a free slot of the service, first of backend servers in the own
// data centre, then of the one that was not chosen for longest.
func (l *Leases) Take(now time.Time, service string) (Slot, bool) {
	var best *host
	for _, h := range l.order[service] {
		if !h.accepts || h.inUse >= h.granted || !now.Before(h.until) {
			continue
		}
		if best == nil || (h.local && !best.local) || (h.local == best.local && h.lastChoice < best.lastChoice) {
			best = h
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.inUse++
	l.sequence++
	best.lastChoice = l.sequence
	return Slot{ID: best.record.ID, Address: best.record.Address, Incarnation: best.record.Incarnation, Until: best.until}, true
}

// Return gives back a slot with its result. The latency counts for answers.
func (l *Leases) Return(now time.Time, slot Slot, result Result, latency time.Duration) {
	h := l.hosts[slot.ID]
	if h == nil {
		return
	}
	h.inUse = max(0, h.inUse-1)
	h.idleSince = now
	if h.record.Incarnation != slot.Incarnation {
		return
	}
	switch result {
	case ResultAnswered:
		h.report.Answers++
		h.report.Latency += latency
	case ResultShed:
		h.report.Sheds++
	case ResultFailed:
		h.report.Failures++
	case ResultUnused:
	}
	if result == ResultShed || result == ResultFailed {
		h.urgent = true
		h.granted = min(h.granted, max(h.inUse, h.granted/2))
		h.nextAsk = now.Add(l.pause())
	}
}

// HasHosts reports whether any backend server of the service accepts requests.
func (l *Leases) HasHosts(service string) bool {
	return slices.ContainsFunc(l.order[service], func(h *host) bool { return h.accepts && h.owner != "" })
}

func (l *Leases) pause() time.Duration {
	return askPause + time.Duration(l.rng.Int64N(int64(askPause)))
}

// InUse returns the slots in use, for counters and tests.
func (l *Leases) InUse(id announcer.ID) int {
	if h := l.hosts[id]; h != nil {
		return h.inUse
	}
	return 0
}

// Usable returns the slots whose lease has not ended.
func (l *Leases) Usable(now time.Time, id announcer.ID) int {
	if h := l.hosts[id]; h != nil && now.Before(h.until) {
		return h.granted
	}
	return 0
}
