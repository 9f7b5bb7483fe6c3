package placer

import (
	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// FlowCount is the number of flows on a backend server of which this entry is the owner.
type FlowCount struct {
	Record announcer.Record
	// Flows counts established flows only. Each flow has one owner, so the sum over the entries of
	// a domain counts it once.
	Flows int64
}

// CountFlows returns the number of owned flows for each backend server that has a record. It scans
// the whole flow cache.
func (m *Machine) CountFlows() []FlowCount {
	flows := make([]int64, len(m.backends))
	m.cache.Each(m.sec, func(cached *tracker.Flow) {
		if cached.Flags&(tracker.FlagClosed|tracker.FlagOnlySYN) != 0 {
			return
		}
		service := m.backends[cached.Target].service
		if int(service) < len(m.services) && m.owner(m.services[service], cached.Fingerprint) == self {
			flows[cached.Target]++
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
