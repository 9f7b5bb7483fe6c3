package steerer

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// flowKey identifies a flow by both of its addresses.
type flowKey struct {
	source, destination netip.AddrPort
}

func keyOf(p Packet) flowKey { return flowKey{source: p.Source, destination: p.Destination} }

// point returns the position of the flow in [0, 1), equal on all entries.
func (k flowKey) point() float64 {
	var buf [64]byte
	b := k.source.AppendTo(buf[:0])
	b = k.destination.AppendTo(append(b, ' '))
	return float64(xxhash.Sum64(b)>>11) / (1 << 53)
}

// flow is what an entry knows of a flow whose packets it carries. The answers of
// backend servers do not pass entries; what callers acknowledge shows them.
type flow struct {
	token  director.Token
	copies uint32
	seenAt time.Time
	// isOpen tells that the caller has acknowledged the answer to its opening
	// packet.
	isOpen bool
	// isWaiting tells that the caller has sent a request, up to sequence, and
	// acknowledged nothing since.
	isWaiting              bool
	sequence, acknowledged uint32
	// requestedAt is when the request began.
	requestedAt time.Time
	// isOverdue tells that the request was repeated.
	isOverdue bool
}

func (s *Steerer) remember(key flowKey, f flow) *flow {
	if len(s.flows) >= s.settings.MaxFlows {
		return nil
	}
	s.flows[key] = &f
	s.selector.addFlow(f.token, 1, f.seenAt)
	return &f
}

func (s *Steerer) forget(key flowKey, now time.Time) {
	f, ok := s.flows[key]
	if !ok {
		return
	}
	s.selector.addFlow(f.token, -1, now)
	if f.isWaiting {
		s.selector.addRequest(f.token, -1, now)
	}
	delete(s.flows, key)
}

// follow notes a packet of an open flow, and returns the flow unless it has ended or is not
// followed.
func (s *Steerer) follow(p Packet, server director.Server, now time.Time) *flow {
	key := keyOf(p)
	if p.IsReset || p.IsFinal {
		s.forget(key, now)
		return nil
	}
	f, ok := s.flows[key]
	if !ok || f.token != server.Token {
		s.forget(key, now)
		// Another entry carried the flow before, so nothing is known of its state.
		if f = s.remember(key, flow{token: server.Token, isOpen: true, acknowledged: p.Acknowledged, seenAt: now}); f == nil {
			return nil
		}
	}
	f.seenAt = now
	s.noteAnswer(f, p, now)
	if p.HasData {
		s.noteRequest(f, p, now)
	}
	return f
}

// noteAnswer notes what a caller acknowledges, which shows that the backend
// server answers.
func (s *Steerer) noteAnswer(f *flow, p Packet, now time.Time) {
	if f.isOpen && p.Acknowledged == f.acknowledged {
		return
	}
	f.isOpen, f.acknowledged = true, p.Acknowledged
	s.selector.noteAnswer(f.token, now)
	if f.isWaiting {
		f.isWaiting, f.isOverdue = false, false
		if s.settings.ObserveAnswer != nil {
			s.settings.ObserveAnswer(now.Sub(f.requestedAt))
		}
		s.selector.addRequest(f.token, -1, now)
	}
}

// noteRequest notes bytes of a caller. Those that are sent again have not been
// answered in time.
func (s *Steerer) noteRequest(f *flow, p Packet, now time.Time) {
	if !f.isWaiting {
		f.isWaiting, f.sequence, f.requestedAt = true, p.Sequence, now
		s.selector.addRequest(f.token, 1, now)
		return
	}
	if int32(p.Sequence-f.sequence) > 0 {
		f.sequence = p.Sequence
		return
	}
	if !f.isOverdue && now.Sub(f.requestedAt) >= evidenceAge {
		f.isOverdue = true
		s.selector.noteSilence(f.token, false, now)
	}
}

// Sweep forgets flows that have been idle for longer than the idle timeout.
func (s *Steerer) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := s.directory.IdleTimeout
	if timeout <= 0 {
		timeout = defaultIdleTimeout
	}
	for key, f := range s.flows {
		if now.Sub(f.seenAt) > timeout {
			s.forget(key, now)
		}
	}
}
