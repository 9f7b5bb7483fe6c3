package balancer

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// maxAcknowledgedStep bounds how far the acknowledgements of two packets of a flow lie apart that
// reach an entry one after the other: a few large answers may have passed through other entries.
const maxAcknowledgedStep = 1 << 20

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
	lastPacketAt    time.Time
	// isEstablished is set once the caller has acknowledged the answer to its opening packet.
	isEstablished bool
	// isRequestPending is set while the caller has sent a request, up to sequence, and has
	// acknowledged nothing since.
	isRequestPending       bool
	sequence, acknowledged uint32
	// requestedAt is when the pending request began.
	requestedAt time.Time
	// isRequestRepeated is set once the caller has retransmitted the pending request.
	isRequestRepeated bool
}

// needsOtherServer reports whether an opening packet of the flow shows that its backend server has not
// answered in time.
func (f *flow) needsOtherServer(p Packet, now time.Time) bool {
	return !f.isEstablished && p.Retransmissions > f.retransmissions && now.Sub(f.lastPacketAt) >= minRetransmissionDelay
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
	b.selector.addFlow(f.token, -1, now)
	if f.isRequestPending {
		b.selector.addRequest(f.token, -1, now)
	}
	delete(b.flows, key)
}

// holderOf returns the backend server that holds the established flow f of a packet whose token names
// another one, and false if the token is not known to be wrong. Two backend servers may have answered
// the opening packet; the caller acknowledges data of the one that holds the flow, and each starts its
// sequence anywhere.
func (b *Balancer) holderOf(f *flow, p Packet, route director.Route) (director.Server, bool) {
	distance := int32(p.Acknowledged - f.acknowledged)
	if distance > maxAcknowledgedStep || distance < -maxAcknowledgedStep {
		return director.Server{}, false
	}
	holder, ok := b.directory.Server(f.token)
	return holder, ok && holder.State != director.StateGone && route.Allows(holder.Service)
}

// trackPacket records a packet that goes to an established flow at a backend server. f is the flow as it
// was tracked before, or nil.
func (b *Balancer) trackPacket(p Packet, key flowKey, f *flow, server director.Server, now time.Time) {
	if p.IsReset || p.IsFinal {
		b.untrack(key, now)
		return
	}
	if f == nil || f.token != server.Token {
		b.untrack(key, now)
		// Another entry carried the flow before, so its state is unknown.
		if f = b.track(key, flow{token: server.Token, isEstablished: true, acknowledged: p.Acknowledged, lastPacketAt: now}); f == nil {
			return
		}
	}
	f.lastPacketAt = now
	b.recordAnswer(f, p, now)
	if p.HasData {
		b.recordRequest(f, p, now)
	}
}

// recordAnswer records an acknowledgement of the caller. A new one shows that the backend server
// answers.
func (b *Balancer) recordAnswer(f *flow, p Packet, now time.Time) {
	if f.isEstablished && p.Acknowledged == f.acknowledged {
		return
	}
	f.isEstablished, f.acknowledged = true, p.Acknowledged
	b.selector.recordAnswer(f.token, now)
	if f.isRequestPending {
		f.isRequestPending, f.isRequestRepeated = false, false
		if b.settings.ObserveResponseTime != nil {
			b.settings.ObserveResponseTime(now.Sub(f.requestedAt))
		}
		b.selector.addRequest(f.token, -1, now)
	}
}

// recordRequest records data from the caller. Data that is retransmitted was not answered in time.
func (b *Balancer) recordRequest(f *flow, p Packet, now time.Time) {
	if !f.isRequestPending {
		f.isRequestPending, f.sequence, f.requestedAt = true, p.Sequence, now
		b.selector.addRequest(f.token, 1, now)
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

// Sweep removes flows that have been idle for longer than the idle timeout.
func (b *Balancer) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	timeout := b.directory.IdleTimeout
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	for key, f := range b.flows {
		if now.Sub(f.lastPacketAt) > timeout {
			b.untrack(key, now)
		}
	}
}
