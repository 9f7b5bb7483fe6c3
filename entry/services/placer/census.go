package placer

import (
	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// FlowCount is the number of flows that an entry owns on a backend server.
type FlowCount struct {
	Record announcer.Record
	// Flows counts the established flows of which this entry is the owner, so
	// that the sum over the entries of a domain counts each flow once.
	Flows int64
}

// CountFlows returns the owned flows of each backend server that has a record. It
// takes time in proportion to the size of the flow cache.
func (m *Machine) CountFlows() []FlowCount {
	flows := make([]int64, len(m.backends))
	m.cache.Each(m.sec, func(line *tracker.Line) {
		if line.Flags&(tracker.FlagClosed|tracker.FlagOnlySYN) != 0 {
			return
		}
		service := m.backends[line.Target].service
		if int(service) < len(m.services) && m.owner(m.services[service], line.Fingerprint) == self {
			flows[line.Target]++
		}
	})
	var counts []FlowCount
	for i := range m.backends {
		if m.backends[i].isPresent {
			counts = append(counts, FlowCount{Record: m.backends[i].record, Flows: flows[i]})
		}
	}
	return counts
}
