package admitter

import "time"

// linkWindowCounts holds what was counted in one window.
type linkWindowCounts struct {
	startedAt time.Time
	// bytes are all that were sent, and chargedBytes those not covered by the charge for a new flow.
	bytes, chargedBytes int
	// admitted counts new flows, and fitted and unfitted those that fitted the link and those that did not, without
	// copies.
	admitted, fitted, unfitted int
	// openings counts the opening packets that are not copies, and copies the others.
	openings, copies int
	// opened counts the flows that were opened, and openingTime is the sum of the times that it took.
	opened      int
	openingTime time.Duration
}

// fittingShare returns the share of the new flows that fitted the link.
func (w linkWindowCounts) fittingShare() float64 {
	if w.unfitted == 0 {
		return 1
	}
	return float64(w.fitted) / float64(w.fitted+w.unfitted)
}

// losesPackets reports whether callers had to send many opening packets again.
func (w linkWindowCounts) losesPackets() bool {
	return w.copies >= minCopies && float64(w.copies) > maxCopies*float64(w.openings+w.copies)
}

// queueing returns by how much opening a flow took longer than the baseline, on average.
func (w linkWindowCounts) queueing(baseline time.Duration) time.Duration {
	if w.opened == 0 {
		return 0
	}
	return w.openingTime/time.Duration(w.opened) - baseline
}

// baseline is the shortest opening time of the last one to two intervals of baselineMemory.
type baseline struct {
	startedAt         time.Time
	current, previous time.Duration
}

func (b *baseline) record(d time.Duration, now time.Time) {
	if now.Sub(b.startedAt) >= baselineMemory {
		*b = baseline{startedAt: now, current: d, previous: b.current}
	}
	b.current = min(b.current, d)
}

func (b *baseline) get() time.Duration {
	if b.previous == 0 {
		return b.current
	}
	return min(b.current, b.previous)
}
