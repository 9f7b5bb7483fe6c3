package scheduler

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/services/hedger"
)

// secondSlotTimeout is how long a second attempt waits for the answers of owners whether they have
// a free slot. It is more than two round trips between data centres.
const secondSlotTimeout = 20 * time.Millisecond

// pendingSecondAttempt is a second attempt that has no slot yet.
type pendingSecondAttempt struct {
	SecondSlotRequested
	// expiry is zero until owners have been asked. They are asked at the next tick at the latest, which
	// is later than secondSlotTimeout after a pause of the process.
	expiry time.Time
}

// startSecondAttempts assigns free slots to second attempts, and withholds those that get none in time.
// Requests that wait, here or at another gateway, come first.
func (m *Machine) startSecondAttempts(now time.Time) []Output {
	var out []Output
	m.secondAttempts = slices.DeleteFunc(m.secondAttempts, func(p pendingSecondAttempt) bool {
		output, isDecided := m.decideSecondAttempt(now, p)
		if isDecided {
			out = append(out, output)
		}
		return isDecided
	})
	return out
}

func (m *Machine) decideSecondAttempt(now time.Time, p pendingSecondAttempt) (Output, bool) {
	service := p.First.Service
	if m.Waiting(service) > 0 || m.leases.IsContended(now, service) {
		return Withhold{Request: p.Request, Reason: hedger.ReasonRequestsWait}, true
	}
	if slot, ok := m.leases.TakeOther(now, service, p.First); ok {
		return Start{Request: p.Request, Slot: slot}, true
	}
	if p.expiry.IsZero() || now.Before(p.expiry) {
		return nil, false
	}
	return Withhold{Request: p.Request, Reason: hedger.ReasonNoFreeSlot}, true
}

// startSecondTimeouts starts the timeout of the second attempts for which owners have just been asked
// for the first time.
func (m *Machine) startSecondTimeouts(now time.Time) {
	for i := range m.secondAttempts {
		if m.secondAttempts[i].expiry.IsZero() {
			m.secondAttempts[i].expiry = now.Add(secondSlotTimeout)
		}
	}
}

// cancelSecondAttempt removes a second attempt that is no longer needed.
func (m *Machine) cancelSecondAttempt(request uint64) {
	m.secondAttempts = slices.DeleteFunc(m.secondAttempts, func(p pendingSecondAttempt) bool { return p.Request == request })
}

// countSecondAttempts returns the number of second attempts of each service that have no slot yet.
func (m *Machine) countSecondAttempts() map[string]int {
	if len(m.secondAttempts) == 0 {
		return nil
	}
	counts := make(map[string]int)
	for _, p := range m.secondAttempts {
		counts[p.First.Service]++
	}
	return counts
}
