// Package leaseholder is the holder side of slot leases. It keeps the slots that this gateway
// may use, picks one for each request, and asks the owners of the backend servers for slots as
// demand requires.
package leaseholder

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
	// idleTimeout is how long a slot may be unused before it is given back.
	idleTimeout = 20 * time.Millisecond
	// retryInterval is the minimum time between two requests for more slots of one backend
	// server after a refusal. Up to as much jitter is added.
	retryInterval = 20 * time.Millisecond
	// answerTimeout is the time after which an answer of an owner is ignored.
	answerTimeout = time.Second
	// renewalInterval is the time after which this gateway requests a held slot again, so that
	// the owner can pass it on to a gateway that waits. Leases shorter than four times this are
	// renewed after a quarter of their duration.
	renewalInterval = 250 * time.Millisecond
	// contentionTime is how long an owner's answer that another gateway waits for a slot counts. An
	// owner counts a gateway as waiting for 60 ms, and one that is refused asks again after at most
	// 40 ms.
	contentionTime = 100 * time.Millisecond
)

// Slot is the permission to run one request on a backend server.
type Slot struct {
	ID          announcer.ID
	Address     netip.AddrPort
	Incarnation uint64
	// Until is when the lease expires. No request may be dispatched from then on.
	Until time.Time
}

// Result tells how the use of a slot ended.
type Result uint8

// Results of a slot.
const (
	// ResultAnswered means that the backend server answered and did not shed the request.
	ResultAnswered Result = iota + 1
	// ResultShed means that the backend server answered with status 503.
	ResultShed
	// ResultFailed means that the connection failed.
	ResultFailed
	// ResultOvertaken means that the request was cancelled because its second attempt was answered
	// first.
	ResultOvertaken
	// ResultUnused means that the slot was not used, or that the caller cancelled the request.
	ResultUnused
)

// Leases are the slot leases that one gateway holds. They are not safe for concurrent use.
type Leases struct {
	self    string
	lease   time.Duration
	rng     *rand.Rand
	servers map[announcer.ID]*server
	// byService has the backend servers of each service, sorted by host name.
	byService map[string][]*server
	nextIndex map[string]int
	// contendedUntil is the time until which slots of a service count as wanted by other
	// gateways.
	contendedUntil map[string]time.Time
	owners         map[string]*owner
	// epoch distinguishes the requests of this process from those of its predecessors, and
	// sequence numbers the requests of this process.
	epoch    uint64
	sequence uint64
}

// server is a backend server of the view.
type server struct {
	record      announcer.Record
	accepts     bool
	local       bool
	owner       string
	leased      int
	leasedUntil time.Time
	renewed     time.Time
	inUse       int
	idleSince   time.Time
	nextRequest time.Time
	wantsMore   bool
	// wantsSpare is set if the slot that wantsMore asks for is for a second attempt.
	wantsSpare bool
	report     messenger.Report
	// isUrgent is set if a shed or failed request must be reported to the owner at once.
	isUrgent   bool
	lastChoice uint64
	// reportedHeld is the number of held slots in the last request. ownerCount is the number of
	// slots that the owner counts for this gateway until ownerCountUntil.
	reportedHeld    int
	ownerCount      int
	ownerCountUntil time.Time
}

// owner is the state of the last slot request to an owner gateway.
type owner struct {
	outstanding bool
	sequence    uint64
	sentAt      time.Time
}

// New returns Leases without slots.
func New(self string, lease time.Duration, rng *rand.Rand) *Leases {
	return &Leases{
		self: self, lease: lease, rng: rng, epoch: rng.Uint64(),
		servers: make(map[announcer.ID]*server), byService: make(map[string][]*server),
		nextIndex: make(map[string]int), contendedUntil: make(map[string]time.Time), owners: make(map[string]*owner),
	}
}

// SetView applies a new view.
func (l *Leases) SetView(view viewer.View) {
	self, _ := view.GetGateway(l.self)
	seen := make(map[announcer.ID]bool, len(view.Backends))
	l.byService = make(map[string][]*server)
	for _, r := range view.Backends {
		seen[r.ID] = true
		srv := l.servers[r.ID]
		if srv == nil {
			srv = &server{}
			l.servers[r.ID] = srv
		}
		if srv.record.Incarnation != r.Incarnation {
			// After a restart a backend server starts with one slot.
			srv.leased = min(srv.leased, 1)
		}
		if srv.record.Address != r.Address {
			srv.leased = 0
		}
		srv.record, srv.accepts = r, view.Accepts(r)
		srv.owner = granter.Owner(view, r)
		srv.local = r.DataCentre == self.DataCentre
		l.byService[r.Service] = append(l.byService[r.Service], srv)
	}
	for id := range l.servers {
		if !seen[id] {
			delete(l.servers, id)
		}
	}
	for _, servers := range l.byService {
		slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.record.Host, b.record.Host) })
	}
}

// Epoch returns the number that identifies this process in requests to owners.
func (l *Leases) Epoch() uint64 { return l.epoch }

// Take takes a free slot of the service. It prefers backend servers in the own data centre, and
// among those the one chosen least recently.
func (l *Leases) Take(now time.Time, service string) (Slot, bool) {
	return l.TakeOther(now, service, announcer.ID{})
}

// TakeOther is like Take, but does not take a slot of the given backend server.
func (l *Leases) TakeOther(now time.Time, service string, excluded announcer.ID) (Slot, bool) {
	var best *server
	for _, srv := range l.byService[service] {
		if srv.record.ID == excluded || !srv.accepts || srv.inUse >= srv.leased || !now.Before(srv.leasedUntil) {
			continue
		}
		if best == nil || (srv.local && !best.local) || (srv.local == best.local && srv.lastChoice < best.lastChoice) {
			best = srv
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.inUse++
	l.sequence++
	best.lastChoice = l.sequence
	return Slot{ID: best.record.ID, Address: best.record.Address, Incarnation: best.record.Incarnation, Until: best.leasedUntil}, true
}

// IsContended reports whether an owner has lately told that another gateway waits for a slot of
// the service.
func (l *Leases) IsContended(now time.Time, service string) bool {
	return now.Before(l.contendedUntil[service])
}

// Return releases a slot and records its result. The latency counts for answered and overtaken
// requests only.
func (l *Leases) Return(now time.Time, slot Slot, result Result, latency time.Duration) {
	srv := l.servers[slot.ID]
	if srv == nil {
		return
	}
	srv.inUse = max(0, srv.inUse-1)
	srv.idleSince = now
	if srv.record.Incarnation != slot.Incarnation {
		return
	}
	switch result {
	case ResultAnswered:
		srv.report.Answers++
		srv.report.Latency += latency
	case ResultShed:
		srv.report.Sheds++
	case ResultFailed:
		srv.report.Failures++
	case ResultOvertaken:
		srv.report.Latency += latency
	case ResultUnused:
	}
	if result == ResultShed || result == ResultFailed {
		srv.isUrgent = true
		srv.leased = min(srv.leased, max(srv.inUse, srv.leased/2))
		srv.nextRequest = now.Add(l.retryDelay())
	}
}

// HasServers reports whether the service has a backend server that accepts requests and has an
// owner.
func (l *Leases) HasServers(service string) bool {
	return slices.ContainsFunc(l.byService[service], func(srv *server) bool { return srv.accepts && srv.owner != "" })
}

func (l *Leases) retryDelay() time.Duration {
	return retryInterval + time.Duration(l.rng.Int64N(int64(retryInterval)))
}

// InUse returns the number of slots in use, for counters and tests.
func (l *Leases) InUse(id announcer.ID) int {
	if srv := l.servers[id]; srv != nil {
		return srv.inUse
	}
	return 0
}

// Usable returns the number of slots of a backend server whose lease has not expired.
func (l *Leases) Usable(now time.Time, id announcer.ID) int {
	if srv := l.servers[id]; srv != nil && now.Before(srv.leasedUntil) {
		return srv.leased
	}
	return 0
}
