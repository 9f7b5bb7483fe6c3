package placer

import (
	"time"

	"github.com/redwingledge/redwingledge/entry/services/allocator"
)

// exception is a flow that a digest has listed because its target differs from the one in the
// table.
type exception struct {
	target uint32
	// lastSeen is the time of the latest packet of the flow or of its latest listing, in seconds of
	// the clock of the cache.
	lastSeen uint32
	// round is the number of the latest round that listed the exception.
	round uint32
	isUDP bool
	// isReplicated is set if all entries of the domain have the exception. It is not listed again
	// then.
	isReplicated bool
}

// exceptionKey returns the bits of a flow hash that digests carry: 32 bits of fingerprint and 12
// bits of bucket.
func exceptionKey(flow uint64) uint64 { return flow & flowKeyMask }

// findException returns the exception for the flow of a packet, if its target has a record and
// serves the service of the packet. The target may be taken out.
func (m *Machine) findException(svc *service, packet Packet) (exception, bool) {
	if len(svc.exceptions) == 0 {
		return exception{}, false
	}
	key := exceptionKey(packet.Flow)
	e, ok := svc.exceptions[key]
	if !ok || !m.backends[e.target].isPresent || m.backends[e.target].service != svc.index {
		return exception{}, false
	}
	if e.lastSeen != m.sec {
		e.lastSeen = m.sec
		svc.exceptions[key] = e
	}
	return e, true
}

// addException records a flow listed in a digest.
func (m *Machine) addException(svc *service, item digestItem, round uint32) {
	e, ok := svc.exceptions[item.key]
	if !ok || e.isReplicated && e.target != item.target {
		e = exception{target: item.target, isUDP: item.isUDP}
	}
	e.lastSeen, e.round = m.sec, round
	e.isReplicated = svc.buckets[allocator.Bucket(item.key)].state == settled
	svc.exceptions[item.key] = e
}

// exceptionSweepInterval is the interval at which idle exceptions are removed.
const exceptionSweepInterval = 30 * time.Second

func (m *Machine) expireExceptions() {
	if m.now.Sub(m.exceptionsSweptAt) < exceptionSweepInterval {
		return
	}
	m.exceptionsSweptAt = m.now
	for _, svc := range m.services {
		for key, e := range svc.exceptions {
			limit := m.config.Timeouts.TCP
			if e.isUDP {
				limit = m.config.Timeouts.UDP
			}
			if m.sec-e.lastSeen > limit || !m.backends[e.target].isPresent {
				delete(svc.exceptions, key)
			}
		}
	}
}
