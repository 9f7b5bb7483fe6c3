package balancer

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingledge/redwingledge/entry/services/hedger"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// maxAcknowledgedStep bounds how far the acknowledgements of two packets of a flow lie apart that
// reach an entry one after the other: a few large answers may have passed through other entries.
const maxAcknowledgedStep = 1 << 20

// maxSequenceStep bounds how far the caller's packets of a flow are from the start of the flow, if that is not known.
const maxSequenceStep = 1 << 20

// flowKey identifies a flow by its source and destination addresses.
type flowKey struct {
	source, destination netip.AddrPort
}

func keyOf(p Packet) flowKey { return flowKey{source: p.Source, destination: p.Destination} }

// hashFraction maps the flow to [0, 1) by a hash that is equal on all entries.
func (k flowKey) hashFraction() float64 {
	var buf [64]byte
	b := k.source.AppendTo(buf[:0])
	b = k.destination.AppendTo(append(b, ' '))
	return float64(xxhash.Sum64(b)>>11) / (1 << 53)
}

// flow is the state that an entry keeps of a flow whose packets it carries. The answers of backend
// servers bypass the entries, so that an answer is detected by the caller's acknowledgement.
type flow struct {
	token           director.Token
	retransmissions uint32
	// openedAt is when this entry first saw the flow.
	openedAt, lastPacketAt time.Time
	// linkWait is how long the opening packet waited for the link of the entry.
	linkWait time.Duration
	// opening is the sequence at which the flow starts, if this entry has sent its opening packet.
	opening    uint32
	hasOpening bool
	// position is the sequence of the caller's latest packet.
	position uint32
	// isClosed is set once the caller has closed the flow. It is no load from then on, and is remembered because
	// the caller still acknowledges what it receives.
	isClosed bool
	// isEstablished is set once the caller has acknowledged the answer to its opening packet.
	isEstablished bool
	// isRequestPending is set while the caller has sent a request, up to sequence, and has
	// acknowledged nothing since.
	isRequestPending bool
	// isRequestRepeated is set once the caller has retransmitted the pending request.
	isRequestRepeated      bool
	sequence, acknowledged uint32
	// ticket identifies the opening packet if it may be sent to a second backend server.
	ticket hedger.Ticket
	// requestedAt is when the pending request began.
	requestedAt time.Time
	// isRequestExpired is set once the pending request no longer counts as load.
	isRequestExpired bool
	// hasRequested is set once the caller has sent a request.
	hasRequested bool
	// isAnswered is set once a request of the flow has been answered, and isReused once another one has followed.
	isAnswered, isReused bool
	// progress counts the request in progress since progressSince; nil if there is none.
	progress      *groupLoad
	progressSince time.Time
	// isAmbiguous is set if another backend server may have got an opening packet of the flow, too, so that the
	// caller may return its token.
	isAmbiguous bool
	// isPublished is set once other entries are told which backend server holds the flow, or will be.
	isPublished bool
	// isForgotten is set once the flow is no longer tracked.
	isForgotten bool
	// second is set from the second opening until the caller has acknowledged an answer or sent a copy. token
	// is then the second backend server.
	second *second
}

// needsOtherServer reports whether an opening packet of the flow shows that its backend server has not
// answered in time.
func (f *flow) needsOtherServer(p Packet, now time.Time) bool {
	return !f.isEstablished && p.Retransmissions > f.retransmissions && now.Sub(f.lastPacketAt) >= minRetransmissionDelay
}

// isFirstRequest reports whether a packet belongs to the first request of the flow.
func (f *flow) isFirstRequest(p Packet) bool {
	return !f.isClosed && !f.isReused && (!f.isAnswered || !p.HasData)
}

// isOpenedBy reports whether an opening packet belongs to the flow, and not to a later one from the same address.
func (f *flow) isOpenedBy(p Packet) bool {
	if f.hasOpening {
		return p.Sequence == f.opening
	}
	distance := int32(f.position - p.Sequence)
	return distance >= 0 && distance <= maxSequenceStep
}

// isContinuedBy reports whether a packet of an open flow belongs to the flow, and not to a later one from the same
// address.
func (f *flow) isContinuedBy(p Packet) bool { return isNear(f.acknowledged, p.Acknowledged) }

func isNear(acknowledged, other uint32) bool {
	distance := int32(other - acknowledged)
	return distance <= maxAcknowledgedStep && distance >= -maxAcknowledgedStep
}

func (b *Balancer) track(key flowKey, f flow) *flow {
	if len(b.flows) >= b.settings.MaxFlows {
		return nil
	}
	b.flows[key] = &f
	b.selector.addFlow(f.token, 1, f.lastPacketAt)
	return &f
}

func (b *Balancer) untrack(key flowKey, now time.Time) {
	f, ok := b.flows[key]
	if !ok {
		return
	}
	b.endLoad(f, now)
	f.isForgotten = true
	delete(b.flows, key)
}

// endLoad takes a flow off the load of its backend server.
func (b *Balancer) endLoad(f *flow, now time.Time) {
	if f.isClosed {
		return
	}
	b.selector.addFlow(f.token, -1, now)
	f.endProgress()
	b.releaseRequest(f, now)
	b.cancelSecondOpening(f)
}

// forgetEarlierFlow forgets a flow that has ended, or was given up, if an opening packet is that of a later one from
// the same address. Callers behind an address translation use their ports again.
func (b *Balancer) forgetEarlierFlow(p Packet, now time.Time) {
	if f := b.flows[keyOf(p)]; f != nil && (f.isClosed || !f.isOpenedBy(p)) {
		b.untrack(keyOf(p), now)
	}
}

// releaseRequest takes the pending request of a flow, if any, off the load of its backend server.
func (b *Balancer) releaseRequest(f *flow, now time.Time) {
	if f.isRequestPending && !f.isRequestExpired {
		f.isRequestExpired = true
		b.selector.addRequest(f.token, -1, now)
	}
}

// holderOf returns the backend server that holds the established flow f of a packet whose token names
// another one, and false if the token is not known to be wrong. Two backend servers may have answered
// the opening packet; the caller acknowledges data of the one that holds the flow, and each starts its
// sequence anywhere.
func (b *Balancer) holderOf(f *flow, p Packet, route director.Route) (director.Server, bool) {
	return b.holder(f.token, f.acknowledged, p, route)
}

// holder returns the backend server of a token if it holds the flow of a packet: the caller goes on acknowledging its
// data, of which acknowledged is an earlier position.
func (b *Balancer) holder(token director.Token, acknowledged uint32, p Packet, route director.Route) (director.Server, bool) {
	if !isNear(acknowledged, p.Acknowledged) {
		return director.Server{}, false
	}
	holder, ok := b.directory.Server(token)
	return holder, ok && holder.State != director.StateGone && route.Allows(holder.Service)
}

// trackPacket records a packet that goes to an established flow at a backend server. f is the flow as it
// was tracked before, or nil.
func (b *Balancer) trackPacket(p Packet, key flowKey, f *flow, server director.Server, now time.Time) {
	if p.IsReset {
		b.untrack(key, now)
		return
	}
	if f == nil || f.token != server.Token || f.isClosed && !f.isContinuedBy(p) {
		// Another entry carried the flow before, so its state is unknown.
		taken := flow{token: server.Token, isEstablished: true, isAnswered: true, isReused: true, acknowledged: p.Acknowledged, openedAt: now, lastPacketAt: now}
		if f != nil && !f.isEstablished {
			// It has opened at another backend server than the one to which this entry has sent the opening packet.
			taken.opening, taken.hasOpening, taken.isAmbiguous = f.opening, f.hasOpening, true
		}
		b.untrack(key, now)
		if f = b.track(key, taken); f == nil {
			return
		}
	}
	f.lastPacketAt, f.position = now, p.Sequence
	if p.IsFinal {
		b.endLoad(f, now)
		f.isClosed = true
	}
	if f.isClosed {
		return
	}
	b.recordAnswer(f, p, now)
	// A packet with another token shows that several backend servers have got the opening packet.
	if !f.isPublished && (f.isAmbiguous || p.Token != f.token) {
		f.isPublished = true
		b.heldPublisher.publish(key, f, now)
	}
	if p.HasData {
		b.recordRequest(key, f, p, server, now)
	}
}

// recordAnswer records an acknowledgement of the caller. A new one shows that the backend server
// answers.
func (b *Balancer) recordAnswer(f *flow, p Packet, now time.Time) {
	if f.isEstablished && p.Acknowledged == f.acknowledged {
		return
	}
	if b.admitter != nil && !f.isEstablished && f.retransmissions == 0 {
		b.admitter.RecordOpened(now.Sub(f.openedAt)-f.linkWait, now)
	}
	f.isEstablished, f.acknowledged = true, p.Acknowledged
	b.selector.recordAnswer(f.token, now)
	if f.isRequestPending {
		b.releaseRequest(f, now)
		f.isRequestPending, f.isRequestRepeated, f.isAnswered = false, false, true
		if b.settings.ObserveResponseTime != nil {
			b.settings.ObserveResponseTime(now.Sub(f.requestedAt))
		}
		b.endRequest(f, now)
	}
}

// recordRequest records data from the caller. Data that is retransmitted was not answered in time.
func (b *Balancer) recordRequest(key flowKey, f *flow, p Packet, server director.Server, now time.Time) {
	if !f.isRequestPending {
		f.isReused = f.isReused || f.isAnswered
		f.isRequestPending, f.isRequestExpired, f.sequence, f.requestedAt = true, false, p.Sequence, now
		b.selector.addRequest(f.token, 1, now)
		b.beginRequest(key, f, server, now)
		f.hasRequested = true
		return
	}
	if int32(p.Sequence-f.sequence) > 0 {
		f.sequence = p.Sequence
		return
	}
	if !f.isRequestRepeated && now.Sub(f.requestedAt) >= minRetransmissionDelay {
		f.isRequestRepeated = true
		b.selector.recordTimeout(f.token, false, now)
	}
}

// Sweep removes flows that have been idle for longer than the idle timeout, and requests that no longer count.
func (b *Balancer) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.selector.loads.services {
		b.expireRequests(s, now)
	}
	timeout := b.directory.IdleTimeout
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	b.held.forget(now)
	b.heldPublisher.release(now)
	for key, f := range b.flows {
		if now.Sub(f.lastPacketAt) > timeout {
			b.untrack(key, now)
		}
	}
}
