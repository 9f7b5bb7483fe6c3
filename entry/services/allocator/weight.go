package allocator

import (
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Candidate is the record of a backend server, with its state in the configuration.
type Candidate struct {
	Index  uint32
	Hash   uint64
	Record announcer.Record
	// IsExcluded is set if operators have drained the backend server or taken out its data centre.
	IsExcluded bool
}

// fullWeight is the weight of one slot at the last ramp step.
const fullWeight = 1 << announcer.RampSteps

// Weight returns the weight of a backend server for new flows, in eighths of a slot: its slots
// times 1/8, 1/4, 1/2 or 1, depending on the ramp step.
func Weight(c Candidate) uint64 {
	if c.IsExcluded || !c.Record.AcceptsNewFlows() {
		return 0
	}
	step := min(c.Record.RampStep, announcer.RampSteps)
	return uint64(max(c.Record.Slots, 0)) * fullWeight >> (announcer.RampSteps - step)
}

// WeighRegion returns the weighted backend servers for a table that spans a region.
func WeighRegion(candidates []Candidate) []Backend {
	backends := make([]Backend, len(candidates))
	for i, c := range candidates {
		backends[i] = Backend{Index: c.Index, Hash: c.Hash, Weight: Weight(c)}
	}
	return backends
}

// WeighDataCentre returns the weighted backend servers for the table of one data centre. The
// fraction of the announced local weight that is not ready overflows to the other data centres in
// proportion to their weights.
func WeighDataCentre(candidates []Candidate, local string) []Backend {
	var ready, announced, remote uint64
	backends := WeighRegion(candidates)
	for i, c := range candidates {
		if c.Record.DataCentre != local {
			remote += backends[i].Weight
			continue
		}
		ready += backends[i].Weight
		announced += uint64(max(c.Record.Slots, 0)) * fullWeight
	}
	if announced == 0 || remote == 0 {
		return backends
	}
	for i, c := range candidates {
		if c.Record.DataCentre == local {
			backends[i].Weight *= remote
		} else {
			backends[i].Weight *= announced - ready
		}
	}
	return backends
}
