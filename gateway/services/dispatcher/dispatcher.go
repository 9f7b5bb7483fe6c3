// Package dispatcher runs requests on backend servers: it waits for slots, sends the requests,
// retries them within a budget, and passes the responses on.
package dispatcher

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/budgeter"
	"github.com/redwingledge/redwingledge/gateway/services/hedger"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/gateway/services/scheduler"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// maxAttempts is the maximum number of attempts for one request. The retry budget limits
	// the retries of all requests together.
	maxAttempts = 3
	// retryBackoff is the mean wait before the first retry. It doubles with each further retry.
	retryBackoff = 20 * time.Millisecond
	// HeaderTimeout carries the time left for a request, in seconds.
	HeaderTimeout = "Request-Timeout"
)

// Slots acquires and returns slots of backend servers.
type Slots interface {
	Acquire(ctx context.Context, service, clientAccount string, arrived, deadline time.Time, retry bool) (leaseholder.Slot, error)
	// AcquireSecond returns a free slot of another backend server than the given one, or an error
	// at once.
	AcquireSecond(ctx context.Context, first announcer.ID) (leaseholder.Slot, error)
	Return(slot leaseholder.Slot, result leaseholder.Result, latency time.Duration)
}

var _ Slots = (*scheduler.Service)(nil)

// Request is a request of a caller whose body has been read completely.
type Request struct {
	Service       string
	ClientAccount string
	Method        string
	// Path is the escaped path at the backend server, including the query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived and Deadline are times of the timer service.
	Arrived  time.Time
	Deadline time.Time
	// Repeatable is set if running the request a second time does no harm.
	Repeatable bool
	// NoRetry is set if the request must not be retried, even if it is known not to have run.
	NoRetry bool

	// isSecond is set in the second of two attempts that run at the same time.
	isSecond bool
}

// Settings limit the attempts beyond the first, as shares of the requests.
type Settings struct {
	// RetryShare is the number of retries allowed per request, on average.
	RetryShare float64
	// SecondSendShare is the number of second attempts allowed per request, on average. 0
	// switches them off.
	SecondSendShare float64
}

// preconditionFields are the fields of RFC 9110, section 13.1, that a write can depend on.
var preconditionFields = []string{"If-Match", "If-None-Match", "If-Unmodified-Since"}

// mayRunTwiceAtOnce reports whether a second attempt may run beside the first. It may not for a conditional
// write: if the first attempt has run, the second fails because of it, and its response would say that nothing
// was written.
func (r Request) mayRunTwiceAtOnce() bool {
	isSafe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	return r.Repeatable && (isSafe || !slices.ContainsFunc(preconditionFields, func(name string) bool { return r.Header.Get(name) != "" }))
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	slots    Slots
	pool     *Pool
	budget   *budgeter.Budget
	hedger   *hedger.Hedger // nil if second attempts are off
	clock    timer.Service
	counters *reporter.Counters
	logger   *slog.Logger
	logged   logTimes
}

// New returns a Dispatcher.
func New(slots Slots, settings Settings, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) *Dispatcher {
	return &Dispatcher{
		slots: slots, pool: NewPool(clock), budget: budgeter.New(settings.RetryShare), hedger: hedger.New(settings.SecondSendShare),
		clock: clock, counters: counters, logger: logger,
	}
}

// Close closes the idle connections to backend servers.
func (d *Dispatcher) Close() { d.pool.Close() }

// attempt is the result of one attempt to run a request.
type attempt struct {
	response *http.Response
	slot     leaseholder.Slot
	started  time.Time
	// outcome is set if there is no response to pass on.
	outcome recorder.Outcome
	// retryable is set if another attempt is safe.
	retryable bool
	// slotExpired is set if the lease of the slot expired before anything was sent, or if this
	// process was paused while it connected.
	slotExpired bool
	// body is set if the body of the response is being read already.
	body *bodyReader
	// hadSecond is set if a second attempt was due, sent or not.
	hadSecond bool
	// isSecond is set for a response to a second attempt.
	isSecond bool
}

// Run runs the request, passes the response to w, and returns the outcome. A Completed outcome
// includes the response for resends if its body has at most keepLimit bytes. If the outcome is
// not Completed, nothing has been written to w. If a response that has been started cannot be
// completed, Run calls onAbort and panics with http.ErrAbortHandler.
func (d *Dispatcher) Run(ctx context.Context, w http.ResponseWriter, req Request, keepLimit int, onAbort func(recorder.Outcome)) recorder.Outcome {
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(d.clock.Now()))
	defer cancel()
	d.budget.Deposit()
	if d.hedger != nil {
		d.hedger.AddRequest()
	}
	mayHedge := d.hedger != nil && req.mayRunTwiceAtOnce()
	var last recorder.Outcome
	for attempts := 1; ; attempts++ {
		a, err := d.attemptOnce(ctx, req, attempts > 1, mayHedge)
		if err != nil {
			return toOutcome(err, last)
		}
		if a.response != nil {
			return d.forwardResponse(ctx, w, a, keepLimit, onAbort)
		}
		mayHedge = mayHedge && !a.hadSecond
		last = recorder.Join(last, a.outcome)
		if !a.retryable || req.NoRetry || attempts >= maxAttempts || !d.budget.TryWithdraw() {
			return last
		}
		d.counters.Int("retries").Add(1)
		pause := time.Duration(rand.Int64N(int64(2 * retryBackoff << (attempts - 1))))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return last
		}
	}
}

// toOutcome converts an error of Acquire to an outcome. The outcome of an earlier attempt takes
// precedence, because that attempt may have run.
func toOutcome(err error, last recorder.Outcome) recorder.Outcome {
	if last != nil {
		return last
	}
	var refused scheduler.ErrRefused
	if errors.As(err, &refused) {
		return recorder.RefusedNotRun{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return recorder.RefusedNotRun{Reason: recorder.ReasonDeadline, RetryAfter: time.Second}
	}
	return recorder.Cancelled{}
}

// attemptOnce waits for a slot and sends the request. If the lease of the slot has expired in
// the meantime, for example because the process was frozen, or if the process was frozen while it
// connected, it returns the slot unused and waits for another one.
func (d *Dispatcher) attemptOnce(ctx context.Context, req Request, retry, mayHedge bool) (attempt, error) {
	for {
		slot, err := d.slots.Acquire(ctx, req.Service, req.ClientAccount, req.Arrived, req.Deadline, retry)
		if err != nil {
			return attempt{}, err
		}
		send := d.send
		if mayHedge {
			send = d.sendHedged
		}
		a := send(ctx, req, slot)
		if !a.slotExpired {
			return a, nil
		}
		d.counters.Int("slots_expired").Add(1)
		retry = true
	}
}

func (d *Dispatcher) send(ctx context.Context, req Request, slot leaseholder.Slot) attempt {
	now := d.clock.Now()
	out := newUpstreamRequest(req, slot, req.Deadline.Sub(now))
	corr := newCorrelation(d.pool.get(now, slot.Address), out.Header)
	out = out.WithContext(httptrace.WithClientTrace(ctx, corr.trace()))
	now = d.clock.Now()
	if !now.Before(slot.Until) {
		d.slots.Return(slot, leaseholder.ResultUnused, 0)
		return attempt{slotExpired: true}
	}
	if !now.Before(req.Deadline) {
		d.slots.Return(slot, leaseholder.ResultUnused, 0)
		return attempt{outcome: recorder.RefusedNotRun{Reason: recorder.ReasonDeadline}}
	}
	d.counters.Int("dispatches").Add(1)
	if req.isSecond {
		d.counters.Int("second_sends").Add(1)
		d.logSecondSends()
	}
	resp, err := corr.transport().RoundTrip(out)
	if err != nil {
		return d.handleFailure(ctx, req, slot, now, err, corr.isConnected.Load())
	}
	if !corr.acceptResponse(resp) {
		d.counters.Int("answers_of_other_requests").Add(1)
		_ = resp.Body.Close()
		return d.handleFailure(ctx, req, slot, now, nil, true)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return d.handleUnavailable(req, slot, resp, now)
	}
	return attempt{response: resp, slot: slot, started: now, isSecond: req.isSecond}
}

func (d *Dispatcher) handleFailure(ctx context.Context, req Request, slot leaseholder.Slot, started time.Time, err error, connected bool) attempt {
	if isOvertaken(ctx) {
		d.returnOvertaken(slot, req.isSecond, started)
		return attempt{outcome: recorder.Cancelled{MayHaveRun: connected}}
	}
	d.pool.CloseIdle(slot.Address)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		d.slots.Return(slot, leaseholder.ResultUnused, 0)
		return attempt{outcome: recorder.Cancelled{MayHaveRun: connected}}
	case !connected && !errors.Is(err, errDialTimeout) && d.clock.Now().Sub(started) > dialTimeout+maxDialDelay:
		// This process was paused meanwhile, so that the failure does not show that the backend server
		// cannot be reached. errDialTimeout does, because it does not count pauses.
		d.slots.Return(slot, leaseholder.ResultUnused, 0)
		return attempt{slotExpired: true}
	case !connected:
		d.slots.Return(slot, leaseholder.ResultFailed, 0)
		return attempt{outcome: recorder.RefusedNotRun{Reason: recorder.ReasonConnectFailed, RetryAfter: time.Second}, retryable: true}
	case ctx.Err() != nil:
		d.slots.Return(slot, leaseholder.ResultFailed, 0)
		return attempt{outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamTimeout}}
	default:
		d.slots.Return(slot, leaseholder.ResultFailed, 0)
		return attempt{outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed}, retryable: req.Repeatable}
	}
}

// handleUnavailable handles a response with status 503. It is passed on like any response
// unless its outcome header says that the request was not run.
func (d *Dispatcher) handleUnavailable(req Request, slot leaseholder.Slot, resp *http.Response, started time.Time) attempt {
	d.counters.Int("sheds").Add(1)
	if resp.Header.Get(recorder.HeaderOutcome) != recorder.ValueNotRun {
		return attempt{response: resp, slot: slot, started: started, isSecond: req.isSecond}
	}
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
	d.slots.Return(slot, leaseholder.ResultShed, 0)
	after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	outcome := recorder.RefusedNotRun{Reason: recorder.ReasonShed, RetryAfter: time.Duration(max(1, after)) * time.Second}
	return attempt{outcome: outcome, retryable: !req.NoRetry}
}
