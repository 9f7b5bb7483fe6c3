package placer

import (
	"time"

	"github.com/redwingledge/redwingledge/entry/services/tabler"
)

// exception is a flow that a digest names: it stays on another target than the one
// in the table.
type exception struct {
	target uint32
	seen   uint32
	// round is the number of the round in which it was listed last.
	round uint32
	isUDP bool
	// isCommon is set if all entries of the domain have it, so that it need not be
	// listed again.
	isCommon bool
}

// exceptionKey returns the bits of a flow hash that digests carry: 32 bits of
// fingerprint and 12 of bucket.
func exceptionKey(flow uint64) uint64 { return flow & ownerMask }

// findException returns the exception for the flow of a packet, if its target can
// take the packet or has been taken out.
func (m *Machine) findException(svc *service, packet Packet) (exception, bool) {
	if len(svc.exceptions) == 0 {
		return exception{}, false
	}
	key := exceptionKey(packet.Flow)
	e, ok := svc.exceptions[key]
	if !ok || !m.backends[e.target].isPresent || m.backends[e.target].service != svc.index {
		return exception{}, false
	}
	if e.seen != m.sec {
		e.seen = m.sec
		svc.exceptions[key] = e
	}
	return e, true
}

// addException takes over a line of a digest.
func (m *Machine) addException(svc *service, line digestLine, round uint32) {
	e, ok := svc.exceptions[line.key]
	if !ok || e.isCommon && e.target != line.target {
		e = exception{target: line.target, isUDP: line.isUDP}
	}
	e.seen, e.round = m.sec, round
	e.isCommon = svc.buckets[tabler.Bucket(line.key)].state == settled
	svc.exceptions[line.key] = e
}

// exceptionSweep is the period at which idle exceptions are looked for.
const exceptionSweep = 30 * time.Second

func (m *Machine) expireExceptions() {
	if m.now.Sub(m.exceptionsAt) < exceptionSweep {
		return
	}
	m.exceptionsAt = m.now
	for _, svc := range m.services {
		for key, e := range svc.exceptions {
			limit := m.config.Timeouts.TCP
			if e.isUDP {
				limit = m.config.Timeouts.UDP
			}
			if m.sec-e.seen > limit || !m.backends[e.target].isPresent {
				delete(svc.exceptions, key)
			}
		}
	}
}
