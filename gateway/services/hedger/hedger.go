// Package hedger decides when a request gets a second attempt at another backend server: it
// estimates how long responses of each service take, and limits second attempts to a share of
// the requests. See docs/design/second-sends.md.
package hedger

import (
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/gateway/services/budgeter"
)

// MaxShare is the highest share of requests that may get a second attempt.
const MaxShare = 0.1

// Reason is the cause for which a second attempt that was due is not sent.
type Reason string

// Reasons to withhold a second attempt.
const (
	// ReasonShareUsed means that second attempts have used up their share of the requests.
	ReasonShareUsed Reason = "share_used"
	// ReasonRequestsWait means that requests wait for slots of the service.
	ReasonRequestsWait Reason = "requests_wait"
	// ReasonNoFreeSlot means that this gateway holds no free slot at another backend server.
	ReasonNoFreeSlot Reason = "no_free_slot"
	// ReasonSlotExpired means that the lease of the slot ended before anything was sent.
	ReasonSlotExpired Reason = "slot_expired"
	// ReasonRequestEnded means that the request ended before the second attempt had a slot: the
	// first attempt was answered, the caller left or the deadline passed.
	ReasonRequestEnded Reason = "request_ended"
)

// Hedger decides when second attempts are due and whether their share allows one. It is safe
// for concurrent use.
type Hedger struct {
	budget *budgeter.Budget

	mu       sync.Mutex
	services map[string]*window
}

// New returns a Hedger that allows one second attempt for each 1/share requests. It returns nil
// if the share is 0, which switches second attempts off.
func New(share float64) *Hedger {
	if share <= 0 {
		return nil
	}
	return &Hedger{budget: budgeter.New(share), services: make(map[string]*window)}
}

// AddRequest adds the share of one request to the limit on second attempts.
func (h *Hedger) AddRequest() { h.budget.Deposit() }

// TryStart takes a second attempt from the limit. It returns false if the limit is used up.
func (h *Hedger) TryStart() bool { return h.budget.TryWithdraw() }

// Refund puts back a second attempt that was not sent.
func (h *Hedger) Refund() { h.budget.Refund() }

// Delay returns the time after which a second attempt is due if no response header has arrived.
// It returns false while too few response times of the service are known.
func (h *Hedger) Delay(service string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.services[service]
	if w == nil || w.delay == 0 {
		return 0, false
	}
	return w.delay, true
}

// Observe records the outcome of a first attempt: the time until its response header arrived,
// or, if none arrived, the time until the attempt ended. Attempts without a response count only
// if they took at least the delay. Otherwise a second attempt that wins would remove a slow
// response from the estimate, and the delay would fall with each one.
func (h *Hedger) Observe(service string, elapsed time.Duration, hasResponse bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.services[service]
	if w == nil {
		w = &window{}
		h.services[service] = w
	}
	if hasResponse || (w.delay > 0 && elapsed >= w.delay) {
		w.add(elapsed)
	}
}
