package balancer

import (
	"time"

	"github.com/redwingledge/redwingledge/entry/services/hedger"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// copyDelay is the time after which callers send the first copy of a packet without an answer.
	copyDelay = 200 * time.Millisecond
	// maxCopyJitter is by how much a copy may come later: a round trip and its variation.
	maxCopyJitter = 100 * time.Millisecond
)

// second is the state of a flow whose opening packet has been sent to two backend servers.
type second struct {
	// first is the one that got it first, at openedAt.
	first    director.Token
	openedAt time.Time
}

// SecondOpening is the decision on an opening packet whose answer is late.
type SecondOpening struct {
	hedger.Opening
	// Withheld is why no second packet is sent, or hedger.ReasonNone.
	Withheld hedger.Reason
	// First is the backend server that got the opening packet.
	First director.Token
	// Server is the destination of the second packet.
	Server director.Server
	// View identifies the view that the decision is based on.
	View View
}

// SendsSecondOpenings reports whether opening packets may be sent to a second backend server at all.
func (b *Balancer) SendsSecondOpenings() bool { return b.settings.Hedger != nil }

// SecondOpeningDelay returns the time after which an opening is late at present, or 0 if second openings are
// switched off.
func (b *Balancer) SecondOpeningDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.settings.Hedger == nil {
		return 0
	}
	return b.settings.Hedger.Delay()
}

// SecondOpenings appends the decisions on the opening packets whose answers have become late, and reports
// whether others are pending. It is to be called about every 10 ms while they are, because a longer gap is
// taken for a pause of the process.
func (b *Balancer) SecondOpenings(decisions []SecondOpening, now time.Time) ([]SecondOpening, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.settings.Hedger
	if h == nil {
		return decisions, false
	}
	if h.Check(now) {
		for opening, ok := h.NextLate(now); ok; opening, ok = h.NextLate(now) {
			f := b.flows[flowKey{source: opening.Source, destination: opening.Destination}]
			if f != nil && f.ticket == opening.Ticket && !f.isEstablished {
				decisions = append(decisions, b.openSecond(opening, f, now))
			}
		}
	}
	return decisions, h.HasPending()
}

// openSecond moves the flow f, which is not open, to a second backend server, unless there is a reason not to.
func (b *Balancer) openSecond(opening hedger.Opening, f *flow, now time.Time) SecondOpening {
	h := b.settings.Hedger
	decision := SecondOpening{
		Opening: opening, First: f.token, View: View{Index: b.index, Version: b.directory.Version, Age: now.Sub(b.updatedAt)},
	}
	if decision.Withheld = h.Withhold(opening, b.detector.IsChanging(now), now); decision.Withheld != hedger.ReasonNone {
		return decision
	}
	if decision.View.Age > maxFreshViewAge {
		decision.Withheld = hedger.ReasonStaleView
		return decision
	}
	other := b.findSecond(opening.Flow, f.token, now)
	if other == nil {
		decision.Withheld = hedger.ReasonNoServer
		return decision
	}
	h.Spend()
	decision.Server = other.server
	f.second, f.isAmbiguous = &second{first: f.token, openedAt: opening.OpenedAt}, true
	b.moveFlow(f, other.choose(now), now)
	// It stands in for the caller's first copy, so that this copy goes to the same backend server.
	f.retransmissions++
	f.lastPacketAt = now
	return decision
}

// findSecond returns the backend server for the second opening packet of a flow, or nil. One that is full,
// or has left packets unanswered itself, is unlikely to answer sooner than the caller sends a copy.
func (b *Balancer) findSecond(flow hedger.Flow, first director.Token, now time.Time) *backend {
	route, ok := b.directory.Route(flow.Destination)
	server, isKnown := b.directory.Server(first)
	if !ok || !isKnown || !isRepeatable(route) || !route.Allows(server.Service) {
		return nil
	}
	service := route.PickService(flowKey{source: flow.Source, destination: flow.Destination}.hashFraction())
	other := b.selector.findBest(b.selector.groups(service), attempt{tried: b.selector.backends[first], now: now})
	if other == nil || other.isFull() || other.isUnresponsive(now) {
		return nil
	}
	return other
}

// moveFlow changes the backend server of a flow without a pending request.
func (b *Balancer) moveFlow(f *flow, token director.Token, now time.Time) {
	b.selector.addFlow(f.token, -1, now)
	f.token = token
	b.selector.addFlow(f.token, 1, now)
}

// likelyHolder returns the first backend server of a flow with a second one if it is likely to hold it, although the packet has
// the token of the second. The caller then had the first answer, its acknowledgement was lost, and the answer
// of the second brought the other token. What distinguishes this is when the first packet of the open flow
// arrives here.
func (b *Balancer) likelyHolder(f *flow, p Packet, now time.Time) (director.Server, bool) {
	if p.Token != f.token {
		return director.Server{}, false
	}
	first := b.selector.backends[f.second.first]
	holder, ok := b.directory.Server(f.second.first)
	if first == nil || !ok || holder.State == director.StateGone {
		return director.Server{}, false
	}
	sinceSecond := now.Sub(f.lastPacketAt)
	switch {
	case now.Sub(f.second.openedAt) < copyDelay:
		// A copy of a lost packet would come later, so this one acknowledges the answer of the second.
		return holder, false
	case sinceSecond < copyDelay:
		// Without an answer the caller would have sent a copy of its opening packet. So this is a copy of what
		// it sent after an answer, at least copyDelay ago, which the second had not given then.
		return holder, true
	case sinceSecond < copyDelay+maxCopyJitter:
		// This is when a copy comes that follows the answer of the second.
		return holder, false
	default:
		// The caller was idle after it had opened the flow. A late answer or one lost packet explains that it is
		// at the first, and only two faults that it is at the second, unless the first is silent to others, too.
		return holder, !first.isUnresponsive(now)
	}
}

// isRepeatable reports whether the route allows a second opening of its flows.
func isRepeatable(route director.Route) bool {
	return route.Kind == director.KindSafe || route.Kind == director.KindDownload
}

// offerSecondOpening records a new flow, and returns the ticket of its opening packet if it may be sent a
// second time. A flow that is not tracked gets none, because later packets could not be kept at its holder.
func (b *Balancer) offerSecondOpening(p Packet, f *flow, route director.Route, tried director.Token, now time.Time) hedger.Ticket {
	if b.settings.Hedger == nil || f == nil || p.Retransmissions > 0 || tried != 0 {
		return 0
	}
	flow := hedger.Flow{Source: p.Source, Destination: p.Destination}
	f.ticket = b.settings.Hedger.Open(flow, p.MayRepeat && isRepeatable(route), now)
	return f.ticket
}

func (b *Balancer) cancelSecondOpening(f *flow) {
	if b.settings.Hedger != nil {
		b.settings.Hedger.Cancel(f.ticket)
	}
}

// recordOpened records that a packet has opened its flow f at a backend server. It returns the first one if
// the second has answered before. The first has then been silent for the delay and a round trip, which
// counts as an opening packet without an answer: no copy of the caller follows that would show it.
func (b *Balancer) recordOpened(p Packet, f *flow, holder director.Token, now time.Time) director.Token {
	h := b.settings.Hedger
	if f == nil && p.HasData && !p.IsReset {
		b.detector.RecordForeignFlow(now)
	}
	switch {
	case h == nil || f == nil || p.IsReset || f.isEstablished:
		return 0
	case f.second == nil:
		if holder == f.token && f.retransmissions == 0 {
			h.RecordAnswer(f.ticket, now.Sub(f.lastPacketAt), now)
		}
		return 0
	}
	first := f.second.first
	f.second = nil
	if holder != f.token {
		if holder == first {
			b.moveFlow(f, first, now)
		}
		return 0
	}
	b.selector.recordTimeout(first, true, now)
	return first
}

// endSecondOpening records that the caller has sent a copy of an opening packet although it was sent to a
// second backend server. The copy goes there, too, unless that one has left other packets unanswered.
func (b *Balancer) endSecondOpening(f *flow, p Packet, now time.Time) {
	if f.second == nil || p.Retransmissions == 0 {
		return
	}
	b.selector.recordTimeout(f.second.first, true, now)
	f.second = nil
	if other := b.selector.backends[f.token]; other == nil || other.isUnresponsive(now) {
		f.retransmissions = 0
	}
}

// recordRefusal records a new flow that was refused because of load.
func (b *Balancer) recordRefusal(p Packet, v Verdict, now time.Time) {
	if b.settings.Hedger != nil && p.IsOpening && isLoadReason(v.Reason) {
		b.settings.Hedger.RecordRefusal(now)
	}
}

// isLoadReason reports whether a new flow is refused because of load. A backend server in its cold start
// that may take no other flow now also leads to ReasonNoServer.
func isLoadReason(reason Reason) bool {
	return reason == ReasonNoServer || reason == ReasonOverCapacity || reason == ReasonLinkFull
}
