package announcer

import "cmp"

// Record is an announcement together with what the entries have decided about
// it. Entries exchange records by gossip. The records of one ID are totally
// ordered by Compare, and a merge keeps the greater one.
type Record struct {
	Announcement
	// Holder is the name of the entry that decides whether the lease has expired.
	Holder string `cbor:"holder"`
	// Epoch increases with each decision of a holder about one announcement.
	Epoch uint64 `cbor:"epoch"`
	// Lapsed is set when the lease expired without a renewal.
	Lapsed bool `cbor:"lapsed,omitempty"`
	// RampStep is the slow-start step, from 0 at the start of the backend server
	// to RampSteps. Each step raises the load limit.
	RampStep uint8 `cbor:"ramp_step"`
	// Claim counts the backend servers that have had the address. It tells which one came last.
	Claim uint64 `cbor:"claim,omitempty"`
	// Term counts how often the entries have gone back to an earlier announcement, because its sender went on
	// while that of the later one fell silent. Backend servers do not announce it.
	Term uint64 `cbor:"term,omitempty"`
}

// RampSteps is the slow-start step at which a backend server has its full weight.
const RampSteps = 3

// Compare orders records by term, incarnation, sequence, epoch, holder and claim.
func (r Record) Compare(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Term, other.Term),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Sequence, other.Sequence),
		cmp.Compare(r.Epoch, other.Epoch),
		cmp.Compare(r.Holder, other.Holder),
		cmp.Compare(r.Claim, other.Claim),
	)
}

// AcceptsNewFlows reports whether the state and the lease allow new flows. It
// does not consider what operators have drained or taken out.
func (r Record) AcceptsNewFlows() bool { return r.State == StateReady && !r.Lapsed }

// HasAddress reports whether the backend server keeps others from its address: its lease is in force
// and it is not leaving.
func (r Record) HasAddress() bool { return !r.Lapsed && r.State != StateLeaving }

// CompareOwnership orders the records of one address. The address belongs to the greatest one: the one
// with the highest claim, then one that has it before one that has lapsed or is leaving, then the one
// with the lower ID.
func (r Record) CompareOwnership(other Record) int {
	return cmp.Or(
		cmp.Compare(r.Claim, other.Claim),
		compareBool(r.HasAddress(), other.HasAddress()),
		cmp.Compare(other.ID.String(), r.ID.String()),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// WithLapsed returns a copy with the given lease state and the next epoch.
func (r Record) WithLapsed(lapsed bool) Record {
	r.Lapsed = lapsed
	r.Epoch++
	return r
}

// WithClaim returns a copy with another claim to its address and the next epoch.
func (r Record) WithClaim(claim uint64) Record {
	r.Claim = claim
	r.Epoch++
	return r
}

// WithRampStep returns a copy with the given slow-start step, at most RampSteps,
// and the next epoch.
func (r Record) WithRampStep(step uint8) Record {
	r.RampStep = min(step, RampSteps)
	r.Epoch++
	return r
}

// WithHolder returns a copy with another lease holder and the next epoch.
func (r Record) WithHolder(holder string) Record {
	r.Holder = holder
	r.Epoch++
	return r
}
