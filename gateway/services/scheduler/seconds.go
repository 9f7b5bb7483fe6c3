package scheduler

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/services/hedger"
)

// secondSlotTimeout is how long a second attempt waits for the answers of owners whether they have
// a free slot. It is more than two round trips between data centres.
const secondSlotTimeout = 20 * time.Millisecond

// pendingSecond is a second attempt that has no slot yet.
type pendingSecond struct {
	SecondSlotRequested
	// expiry is zero until owners have been asked. They are asked at the next tick at the latest, which
	// is later than secondSlotTimeout after a pause of the process.
	expiry time.Time
}

// startSeconds assigns free slots to second attempts, and withholds those that get none in time.
// Requests that wait, here or at another gateway, come first.
func (m *Machine) startSeconds(now time.Time) []Output {
	var out []Output
	m.seconds = slices.DeleteFunc(m.seconds, func(p pendingSecond) bool {
		output, isDecided := m.decideSecond(now, p)
		if isDecided {
			out = append(out, output)
		}
		return isDecided
	})
	return out
}

func (m *Machine) decideSecond(now time.Time, p pendingSecond) (Output, bool) {
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
	for i := range m.seconds {
		if m.seconds[i].expiry.IsZero() {
			m.seconds[i].expiry = now.Add(secondSlotTimeout)
		}
	}
}

// cancelSecond removes a second attempt that is no longer needed.
func (m *Machine) cancelSecond(request uint64) {
	m.seconds = slices.DeleteFunc(m.seconds, func(p pendingSecond) bool { return p.Request == request })
}

// countSeconds returns the number of second attempts of each service that have no slot yet.
func (m *Machine) countSeconds() map[string]int {
	if len(m.seconds) == 0 {
		return nil
	}
	counts := make(map[string]int)
	for _, p := range m.seconds {
		counts[p.First.Service]++
	}
	return counts
}
