package balancer

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// outageThreshold is the number of consecutive timeouts of opening packets at different backend
	// servers, without any answer in between, after which their data centre is avoided.
	outageThreshold = 2
	// minRetransmissionDelay is the least time between a packet and its copy for the copy to count
	// as a timeout. Copies that this process reads sooner have waited in its socket.
	minRetransmissionDelay = 100 * time.Millisecond
)

// dataCentreHealth detects that a whole data centre does not answer: it has lost power, or cannot
// be reached from this entry. Otherwise callers would try its backend servers one by one, 200 ms
// each, until their leases expire. The state affects only the placement of new flows: silence proves
// nothing about the backend server of an open one. An answer of any backend server clears it.
type dataCentreHealth struct {
	// unansweredServers counts the backend servers that left an opening packet unanswered since the
	// last answer, and lastUnanswered is the newest of them. Only opening packets count: a backend
	// server answers them however many requests are queued, so that an unanswered request may only
	// mean load.
	unansweredServers int
	lastUnanswered    director.Token
	// retryAt is when one new flow may try the data centre again.
	retryAt      time.Time
	backoffLevel int
}

// recordTimeout records an opening packet that a backend server has not answered in time.
func (h *dataCentreHealth) recordTimeout(token director.Token, now time.Time) {
	if token != h.lastUnanswered {
		h.unansweredServers++
		h.lastUnanswered = token
	}
	if h.unansweredServers >= outageThreshold {
		h.backoffLevel++
		h.retryAt = now.Add(backoff(h.backoffLevel))
	}
}

func (h *dataCentreHealth) recordAnswer() { *h = dataCentreHealth{} }

// recordStart records that a backend server of the data centre has started, or has renewed its
// lease after it had expired. The next new flow may then try the data centre.
func (h *dataCentreHealth) recordStart(now time.Time) {
	if h.unansweredServers >= outageThreshold {
		h.retryAt, h.backoffLevel = now, 1
	}
}

// isAvoided reports whether a new flow should go to another data centre. A retransmitted opening
// packet avoids it after the first unanswered backend server, since callers retransmit only a few
// times.
func (h *dataCentreHealth) isAvoided(isRetransmission bool, now time.Time) bool {
	return isRetransmission && h.unansweredServers > 0 || now.Before(h.retryAt)
}

// isDown reports whether the data centre does not answer and its next probe is not due.
func (h *dataCentreHealth) isDown(now time.Time) bool {
	return h.unansweredServers >= outageThreshold && now.Before(h.retryAt)
}

// recordChoice records that a new flow goes to the data centre. While the data centre seems to be
// down, this flow is the probe, and others avoid it for the backoff.
func (h *dataCentreHealth) recordChoice(now time.Time) {
	if h.unansweredServers >= outageThreshold && !now.Before(h.retryAt) {
		h.retryAt = now.Add(backoff(h.backoffLevel))
	}
}
