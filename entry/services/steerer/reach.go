package steerer

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// reachSigns is the number of backend servers of a data centre that must be silent in
	// a row, without an answer of any other, before the data centre is avoided.
	reachSigns = 2
	// evidenceAge is the least time between a packet and its copy that speaks for silence.
	// Copies that this process reads sooner have waited in its socket.
	evidenceAge = 100 * time.Millisecond
)

// reach notices that a data centre does not answer as a whole: it has lost power, or
// cannot be reached from here. It answers the load of callers that would otherwise try its
// backend servers one by one, 200 ms each, until their leases expire. Open flows are not
// affected, and an answer of any backend server ends it.
type reach struct {
	// signs counts the backend servers that were silent since the last answer, and last
	// is the newest of them.
	signs int
	last  director.Token
	// until is when one new flow may try the data centre again.
	until time.Time
	holds int
}

func (r *reach) noteSilence(token director.Token, now time.Time) {
	if token != r.last {
		r.signs++
		r.last = token
	}
	if r.signs >= reachSigns {
		r.holds++
		r.until = now.Add(holdAfter(r.holds))
	}
}

func (r *reach) noteAnswer() { *r = reach{} }

// noteStart notes that a backend server of the data centre has started or has renewed its
// lease after it had expired, so that the next new flow may try the data centre.
func (r *reach) noteStart(now time.Time) {
	if r.signs >= reachSigns {
		r.until, r.holds = now, 1
	}
}

// isAvoided reports whether a new flow should go to another data centre. The copy of an
// opening packet should after the first sign, as the caller will not send many.
func (r *reach) isAvoided(isCopy bool, now time.Time) bool {
	return isCopy && r.signs > 0 || now.Before(r.until)
}

// noteChoice notes that a new flow goes to the data centre. While it looks silent, others
// wait for what becomes of this one.
func (r *reach) noteChoice(now time.Time) {
	if r.signs >= reachSigns && !now.Before(r.until) {
		r.until = now.Add(holdAfter(r.holds))
	}
}
