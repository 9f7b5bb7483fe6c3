package placer

import (
	"time"

	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
)

// Observe records a packet from a backend server to a caller. It does not allocate.
func (m *Machine) Observe(now time.Time, reply Reply) {
	m.advanceClock(now)
	if int(reply.Backend) >= len(m.backends) || !m.backends[reply.Backend].isPresent {
		return
	}
	b := &m.backends[reply.Backend]
	isClosing := reply.Protocol == ProtocolTCP && reply.Flags&(FlagFIN|FlagRST) != 0
	cached := m.cache.Lookup(reply.Flow, m.sec)
	switch {
	case cached == nil:
		m.learnFromReply(reply, b, isClosing)
	case cached.Target == reply.Backend:
		cached.LastSeen = m.sec
		if isClosing {
			cached.Flags |= tracker.FlagClosed
		}
	}
}

// learnFromReply caches a flow of an unsettled bucket when a response shows which backend server it
// is on, which saves relaying a packet. In a settled bucket this gains nothing, and a late response
// could do harm by bringing a closed flow back into the cache.
func (m *Machine) learnFromReply(reply Reply, b *backend, isClosing bool) {
	svc := m.services[b.service]
	if isClosing || svc.buckets[allocator.Bucket(reply.Flow)].state == settled || m.mode == modeStarting {
		return
	}
	cached := tracker.Flow{
		Fingerprint: reply.Flow, Target: reply.Backend,
		LastSeen: m.sec, Flags: tracker.FlagCopied,
	}
	if reply.Protocol == ProtocolUDP {
		cached.Flags |= tracker.FlagUDP
	}
	m.cache.Insert(cached)
}
