package announcer

import "cmp"

// Record is an announcement with what the entries have decided about it. It
// spreads by gossip. Records of one ID form a total order; the greater wins.
type Record struct {
	Announcement
	// Holder is the entry that times the lease.
	Holder string `cbor:"holder"`
	// Epoch grows with each decision of a holder about one announcement.
	Epoch uint64 `cbor:"epoch"`
	// Lapsed is set when the lease ended without a renewal.
	Lapsed bool `cbor:"lapsed,omitempty"`
	// RampStep counts the steps that the load limit has risen since the start,
	// from 0 to RampSteps.
	RampStep uint8 `cbor:"ramp_step"`
}

// RampSteps is the ramp step at which a backend server gets its full weight.
const RampSteps = 3

// Compare orders records by incarnation, sequence, epoch and holder.
func (r Record) Compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.Epoch, other.Epoch),
		cmp.Compare(r.Holder, other.Holder),
	)
}

// AcceptsNewFlows reports whether the record itself allows new flows.
func (r Record) AcceptsNewFlows() bool { return r.State == StateReady && !r.Lapsed }

// WithLapsed returns the record with a changed lease state and the next epoch.
func (r Record) WithLapsed(lapsed bool) Record {
	r.Lapsed = lapsed
	r.Epoch++
	return r
}

// WithRampStep returns the record at another ramp step and the next epoch.
func (r Record) WithRampStep(step uint8) Record {
	r.RampStep = min(step, RampSteps)
	r.Epoch++
	return r
}

// WithHolder returns the record under another holder and the next epoch.
func (r Record) WithHolder(holder string) Record {
	r.Holder = holder
	r.Epoch++
	return r
}
