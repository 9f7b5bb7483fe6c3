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
	// lostSignAge is how old the newest sign of another backend server may be for a data
	// centre to count as lost. A data centre that is back has none, as callers do not meet
	// its silence any more.
	lostSignAge = 2 * time.Second
)

// reach notices that a data centre does not answer as a whole: it has lost power, or
// cannot be reached from here. It answers the load of callers that would otherwise try its
// backend servers one by one, 200 ms each, until their leases expire. Open flows are not
// affected, and an answer of any backend server ends it.
type reach struct {
	// signs counts the backend servers that left an opening packet unanswered since the last
	// answer, and last is the newest of them. They answer one however many requests wait, so
	// that requests without an answer in time show load and not silence.
	signs int
	last  director.Token
	// newest are the newest signs of two backend servers, of requests too.
	newest [2]sign
	// until is when one new flow may try the data centre again.
	until time.Time
	holds int
}

// sign is a packet that a backend server has not answered in time.
type sign struct {
	token director.Token
	at    time.Time
}

func (r *reach) noteSilence(token director.Token, isOpening bool, now time.Time) {
	if token != r.newest[0].token {
		r.newest[1] = r.newest[0]
	}
	r.newest[0] = sign{token: token, at: now}
	if !isOpening {
		return
	}
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

// isLost reports whether the data centre does not answer at all, judging by other backend
// servers than the one with the token: some have left opening packets unanswered, another
// one has just been silent, and none has answered since.
func (r *reach) isLost(token director.Token, now time.Time) bool {
	for _, s := range r.newest {
		if s.token != 0 && s.token != token && now.Sub(s.at) <= lostSignAge {
			return r.signs >= reachSigns
		}
	}
	return false
}

// noteChoice notes that a new flow goes to the data centre. While it looks silent, others
// wait for what becomes of this one.
func (r *reach) noteChoice(now time.Time) {
	if r.signs >= reachSigns && !now.Before(r.until) {
		r.until = now.Add(holdAfter(r.holds))
	}
}
