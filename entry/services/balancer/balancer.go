package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/entry/services/detector"
	"github.com/redwingledge/redwingledge/entry/services/hedger"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// maxFreshViewAge is the age up to which the view is reliable enough to refuse an unknown
	// address. It covers two polls of the control cluster.
	maxFreshViewAge = 3 * time.Second
	// maxOpeningWait is the time in the socket up to which a first opening packet may be answered with a reset.
	// Callers send a copy after 200 ms, which another entry may have forwarded by the time the first is read.
	maxOpeningWait = 100 * time.Millisecond
	// defaultIdleTimeout applies until a configuration sets another one.
	defaultIdleTimeout = 15 * time.Second
)

// Settings are the parameters of a Balancer.
type Settings struct {
	// Name and DataCentre are those of the entry.
	Name, DataCentre string
	// MaxFlows limits the flows that are tracked to estimate the load. Others are routed all the
	// same.
	MaxFlows int
	// LinkRate is the rate of the entry's link in bytes per second, or 0 if it is not known.
	LinkRate float64
	// ObserveResponseTime, if set, is called with the time from each request to the caller's first
	// acknowledgement of its answer.
	ObserveResponseTime func(time.Duration)
	// Clock, if set, also counts the time in which the VM was suspended. It is read at each update
	// of the view, and before an unknown address is refused.
	Clock timer.Service
	// Overload, if set, limits new flows above capacity, and places them by the load through all entries as
	// far as SetSharedLoad tells it. It must be valid.
	Overload *admitter.Settings
	// Hedger, if set, decides which opening packets are sent to a second backend server.
	Hedger *hedger.Hedger
}

// Balancer decides where packets go. It is safe for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	settings  Settings
	rng       *rand.Rand
	directory *director.Directory
	index     uint64
	updatedAt time.Time
	// confirmedAt is when the control cluster last confirmed the view, by Settings.Clock.
	confirmedAt time.Time
	selector    *selector
	flows       map[flowKey]*flow
	// admitter and refusedOpenings are nil if new flows are not limited.
	admitter        *admitter.Admitter
	refusedOpenings *refusedOpenings
	detector        detector.Detector
	held            *heldFlows
	heldPublisher   *heldFlowPublisher
}

// New returns a Balancer without a view.
func New(settings Settings, rng *rand.Rand) *Balancer {
	b := &Balancer{
		settings: settings, rng: rng, directory: director.NewDirectory(),
		selector: newSelector(settings.Name, settings.DataCentre, rng), flows: make(map[flowKey]*flow),
		held: newHeldFlows(), heldPublisher: newHeldFlowPublisher(settings.LinkRate),
	}
	if settings.Overload != nil {
		b.admitter = admitter.New(*settings.Overload)
		b.refusedOpenings = newRefusedOpenings()
	}
	return b
}

// Update applies changes that lead to index. If complete is set, they replace the whole view. An
// update with an index below the current one is ignored.
func (b *Balancer) Update(index uint64, changes []director.Change, complete bool, now time.Time) {
	var full *director.Directory
	if complete {
		// Built without the lock, so that packets need not wait.
		full = director.NewDirectory()
		for _, change := range changes {
			full.Apply(change)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if index < b.index {
		return
	}
	if complete {
		b.directory = full
	} else {
		for _, change := range changes {
			b.directory.Apply(change)
		}
	}
	b.detectSuspension(now)
	b.index, b.updatedAt = index, now
	b.detector.RecordChanges(changes, complete, now)
	if b.settings.Clock != nil {
		b.confirmedAt = b.settings.Clock.Now()
	}
	if complete {
		b.selector.rebuild(b.directory, now)
	} else {
		b.selector.update(b.directory, changes, now)
	}
}

// HasView reports whether a configuration has been received.
func (b *Balancer) HasView() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.directory.Version > 0
}

// LeaveRotation withholds second openings and resets of copies, and publishes all holders of flows that wait, before
// the routers send the flows of this entry through others.
func (b *Balancer) LeaveRotation(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detector.Stop()
	b.heldPublisher.isLeaving = true
	b.heldPublisher.release(now)
}

// Status describes the view for counters.
type Status struct {
	Index   uint64 `json:"index"`
	Version uint64 `json:"version"`
	// AgeMilliseconds is the time since the control cluster last confirmed the view.
	AgeMilliseconds int64 `json:"age_ms"`
	Flows           int   `json:"flows"`
}

// Status returns the state of the view.
func (b *Balancer) Status(now time.Time) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{Index: b.index, Version: b.directory.Version, AgeMilliseconds: now.Sub(b.updatedAt).Milliseconds(), Flows: len(b.flows)}
}

// Decide returns what to do with a packet.
func (b *Balancer) Decide(p Packet, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detector.RecordPacket(now)
	if p.IsOpening {
		b.forgetEarlierFlow(p, now)
	}
	f := b.flows[keyOf(p)]
	isFirstRequest := f != nil && f.isFirstRequest(p)
	verdict := b.decide(p, now)
	b.recordRefusal(p, verdict, now)
	if b.admitter != nil {
		verdict = b.limitRefusal(p, verdict, now)
		b.recordSent(p, verdict, f != nil, isFirstRequest, now)
	}
	if !b.updatedAt.IsZero() {
		verdict.View = View{Index: b.index, Version: b.directory.Version, Age: now.Sub(b.updatedAt)}
	}
	return verdict
}

func (b *Balancer) decide(p Packet, now time.Time) Verdict {
	if b.directory.Version == 0 {
		return b.refuse(p, ActionDrop, ReasonNoView)
	}
	route, ok := b.directory.Route(p.Destination)
	if !ok {
		return b.refuseUnknownAddress(p, now)
	}
	if p.IsOpening {
		return b.openFlow(p, route, now)
	}
	key := keyOf(p)
	f := b.flows[key]
	server, ok := b.directory.Server(p.Token)
	verdict := Verdict{Action: ActionForward}
	if f != nil && f.second != nil {
		if holder, isLikely := b.likelyHolder(f, p, now); isLikely {
			server, ok, verdict.IsKept = holder, true, true
		}
	}
	if f != nil && f.isEstablished && f.token != p.Token {
		if holder, isKept := b.holderOf(f, p, route); isKept {
			server, ok, verdict.IsKept = holder, true, true
		} else if !f.isClosed {
			verdict.MovedFrom = f.token
		}
	}
	if f == nil || !f.isEstablished || !f.isContinuedBy(p) {
		if holder, isPublished := b.publishedHolder(p, route); isPublished {
			server, ok, verdict.IsKept, verdict.IsPublished = holder, true, true, true
		}
	}
	switch {
	case !ok:
		return b.refuse(p, ActionDrop, ReasonUnknownToken)
	case !route.Allows(server.Service):
		return b.refuse(p, ActionDrop, ReasonOtherService)
	case server.State == director.StateGone:
		refusal := b.refuse(p, ActionReset, ReasonServerGone)
		b.untrack(key, now)
		return refusal
	}
	verdict.Server = server
	verdict.Overtaken = b.recordOpened(p, f, server.Token, now)
	b.trackPacket(p, key, f, server, now)
	return verdict
}

// refuse returns the verdict on a packet that is not forwarded. A reset is never answered with
// another one.
func (b *Balancer) refuse(p Packet, action Action, reason Reason) Verdict {
	if p.IsReset {
		action = ActionDrop
	}
	server, _ := b.directory.Server(p.Token)
	f, ok := b.flows[keyOf(p)]
	return Verdict{Action: action, Reason: reason, Server: server, IsTracked: ok && f.isEstablished}
}

// refuseUnknownAddress refuses a packet to an address without a route. It resets the flow only if no
// entry that knows of a newer configuration can have opened it, and the view is not out of date.
func (b *Balancer) refuseUnknownAddress(p Packet, now time.Time) Verdict {
	switch {
	case b.isViewOld(now):
		return b.refuse(p, ActionDrop, ReasonStaleView)
	case p.IsOpening:
		return b.refuseOpening(p, ReasonNoRoute, now)
	case b.hasLostRoute(p):
		return b.refuse(p, ActionReset, ReasonNoRoute)
	default:
		return b.refuse(p, ActionDrop, ReasonNoRoute)
	}
}

// hasLostRoute reports whether a configuration has removed the route of the flow of a packet to an
// address without a route. That is certain if this entry has carried the flow: it had the route then.
// Otherwise the route may be new, or have been removed before the flow and be back.
func (b *Balancer) hasLostRoute(p Packet) bool {
	f, ok := b.flows[keyOf(p)]
	return ok && f.token == p.Token
}

// mayTakeNewFlows reports whether a backend server may get new flows of a route now.
func (b *Balancer) mayTakeNewFlows(route director.Route, server director.Server) bool {
	return server.AcceptsNewFlows() && !b.selector.takenOut[server.DataCentre] && route.HasWeight(server.Service)
}

// openFlow places a new flow. A retransmitted opening packet goes to another backend server if the
// first one has not answered in time. It is not reset if there is no other one: the flow may still
// open at the first, which may have been chosen by another entry.
func (b *Balancer) openFlow(p Packet, route director.Route, now time.Time) Verdict {
	key := keyOf(p)
	tried := director.Token(0)
	known, isKnown := b.flows[key]
	if isKnown {
		b.endSecondOpening(known, p, now)
		server, ok := b.directory.Server(known.token)
		switch {
		case ok && b.mayTakeNewFlows(route, server) && !known.needsOtherServer(p, now):
			return Verdict{Action: ActionForward, Server: server}
		case ok && server.State != director.StateGone && known.isEstablished:
			return b.refuse(p, ActionDrop, ReasonLateCopy)
		}
		if tried = known.token; known.needsOtherServer(p, now) {
			b.selector.recordTimeout(tried, true, now)
		}
	}
	service := route.PickService(key.hashFraction())
	if b.admitter != nil && !isKnown {
		var reason Reason
		admitTo := func(service string) (bool, Reason) { return b.admitTo(route, service, p.Retransmissions > 0, now) }
		if service, reason = admit(route, service, admitTo); reason != ReasonNone {
			return b.refuseOpening(p, reason, now)
		}
	}
	token := b.pick(route, service, tried, now)
	server, ok := b.directory.Server(token)
	if !ok {
		if isKnown {
			return b.refuse(p, ActionDrop, ReasonNoServer)
		}
		return b.refuseOpening(p, ReasonNoServer, now)
	}
	isAmbiguous := b.mayOpenElsewhere(p, known, token)
	b.untrack(key, now)
	if b.refusedOpenings != nil {
		b.refusedOpenings.recordForwarded(p, now)
	}
	placement := b.selector.describe(server, tried, now)
	f := b.track(key, flow{
		token: token, opening: p.Sequence, hasOpening: true, retransmissions: p.Retransmissions, openedAt: now, lastPacketAt: now,
		linkWait: b.linkWait(now), isAmbiguous: isAmbiguous,
	})
	return Verdict{Action: ActionForward, Server: server, Placement: placement, Ticket: b.offerSecondOpening(p, f, route, tried, now)}
}

// mayOpenElsewhere reports whether a flow that is placed at the backend server of token may open at another one: this
// entry has sent the opening packet there before, or another entry may have. known is nil if it has sent none.
func (b *Balancer) mayOpenElsewhere(p Packet, known *flow, token director.Token) bool {
	if known != nil {
		return known.isAmbiguous || known.token != token
	}
	return p.Retransmissions > 0 && (b.refusedOpenings == nil || !b.refusedOpenings.hasAllBefore(p))
}

// pick returns the token of the backend server for a new flow, or 0. If the chosen service has no
// backend server available, another service of the route with a weight is used.
func (b *Balancer) pick(route director.Route, chosen string, tried director.Token, now time.Time) director.Token {
	for service := range servicesOf(route, chosen) {
		if token := b.selector.pick(service, tried, now); token != 0 {
			return token
		}
	}
	return 0
}
