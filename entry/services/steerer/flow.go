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

// flow is what an entry knows of a flow whose packets it carries.
type flow struct {
	token  director.Token
	copies uint32
	seenAt time.Time
}

func (s *Steerer) remember(key flowKey, f flow) {
	if len(s.flows) >= s.settings.MaxFlows {
		return
	}
	s.flows[key] = &f
	s.selector.addFlow(f.token, 1)
}

func (s *Steerer) forget(key flowKey) {
	if f, ok := s.flows[key]; ok {
		s.selector.addFlow(f.token, -1)
		delete(s.flows, key)
	}
}

// follow notes a packet of an open flow.
func (s *Steerer) follow(p Packet, server director.Server, now time.Time) {
	key := keyOf(p)
	if p.IsReset || p.IsFinal {
		s.forget(key)
		return
	}
	f, ok := s.flows[key]
	if ok && f.token == server.Token {
		f.seenAt = now
		return
	}
	s.forget(key)
	s.remember(key, flow{token: server.Token, seenAt: now})
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
			s.forget(key)
		}
	}
}
