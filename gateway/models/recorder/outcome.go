// Package recorder defines the outcomes of requests and the problem documents
// that report them to callers.
package recorder

import (
	"net/http"
	"time"
)

// Reason is a machine-readable cause of an outcome.
type Reason string

// Reasons of outcomes that are not Completed, and ReasonNotKept of a completed
// request whose response was too large to store.
const (
	ReasonQueueFull       Reason = "queue-full"
	ReasonDeadline        Reason = "deadline"
	ReasonNoBackend       Reason = "no-backend-server"
	ReasonNoMajority      Reason = "no-claim-majority"
	ReasonClaimsFull      Reason = "claims-full"
	ReasonKeyReused       Reason = "key-reused"
	ReasonInProgress      Reason = "in-progress"
	ReasonEarlierAttempt  Reason = "earlier-attempt"
	ReasonStopping        Reason = "stopping"
	ReasonBadRequest      Reason = "bad-request"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonConnectFailed   Reason = "connect-failed"
	ReasonShed            Reason = "shed"
	ReasonUpstreamFailed  Reason = "upstream-failed"
	ReasonUpstreamTimeout Reason = "upstream-timeout"
	ReasonCallerGone      Reason = "caller-gone"
	ReasonNotKept         Reason = "response-not-kept"
)

// Outcome is the result of one request: Completed, RefusedNotRun,
// FailedMayHaveRun or Cancelled.
type Outcome interface{ isOutcome() }

// Completed is the outcome of a request whose complete response is known.
type Completed struct {
	Response Response
}

// RefusedNotRun is the outcome of a request of which no byte can have reached a
// backend server, or that the backend server itself reported as not run.
type RefusedNotRun struct {
	Reason Reason
	// RetryAfter is the estimate of when the request could run; 0 means unknown.
	RetryAfter time.Duration
}

// FailedMayHaveRun is the outcome of a request that may have been run.
type FailedMayHaveRun struct {
	Reason Reason
}

// Cancelled is the outcome of a request that its caller cancelled.
type Cancelled struct {
	// MayHaveRun is set if the request was dispatched.
	MayHaveRun bool
}

// MayHaveRun reports whether the request with this outcome may have reached a backend server.
func MayHaveRun(outcome Outcome) bool {
	switch o := outcome.(type) {
	case RefusedNotRun:
		return false
	case Cancelled:
		return o.MayHaveRun
	default:
		return true
	}
}

// Join returns the outcome of a request whose attempts had the outcomes earlier, which may be nil,
// and later. If either attempt may have run, so may the request.
func Join(earlier, later Outcome) Outcome {
	if earlier == nil || !MayHaveRun(earlier) || MayHaveRun(later) {
		return later
	}
	if _, ok := later.(Cancelled); ok {
		return Cancelled{MayHaveRun: true}
	}
	return earlier
}

func (Completed) isOutcome()        {}
func (RefusedNotRun) isOutcome()    {}
func (FailedMayHaveRun) isOutcome() {}
func (Cancelled) isOutcome()        {}

// Response is the response of a backend server as stored for resends.
type Response struct {
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
	// NotKept is set if the body was too large to store.
	NotKept bool `cbor:"not_kept,omitempty"`
}

// StoredOutcome is the form in which outcomes are recorded at the claim group. Only
// outcomes of dispatched requests are recorded.
type StoredOutcome struct {
	Completed *Response `cbor:"completed,omitempty"`
	// MayHaveRun is the reason of a FailedMayHaveRun or Cancelled outcome.
	MayHaveRun Reason `cbor:"may_have_run,omitempty"`
}

// NewStoredOutcome converts the outcome of a dispatched request. It returns false for
// a request that was not run, whose claim is released instead.
func NewStoredOutcome(outcome Outcome) (StoredOutcome, bool) {
	switch o := outcome.(type) {
	case Completed:
		return StoredOutcome{Completed: &o.Response}, true
	case FailedMayHaveRun:
		return StoredOutcome{MayHaveRun: o.Reason}, true
	case Cancelled:
		return StoredOutcome{MayHaveRun: ReasonCallerGone}, o.MayHaveRun
	case RefusedNotRun:
		return StoredOutcome{}, false
	default:
		return StoredOutcome{MayHaveRun: ReasonUpstreamFailed}, true
	}
}

// Outcome returns the outcome with which a resend is answered.
func (s StoredOutcome) Outcome() Outcome {
	if s.Completed != nil {
		return Completed{Response: *s.Completed}
	}
	return FailedMayHaveRun{Reason: s.MayHaveRun}
}

// Size returns the approximate memory size of the stored outcome, in bytes.
func (s StoredOutcome) Size() int {
	size := 64
	if s.Completed == nil {
		return size
	}
	size += len(s.Completed.Body)
	for name, values := range s.Completed.Header {
		for _, v := range values {
			size += len(name) + len(v) + 32
		}
	}
	return size
}

// WithoutBody returns a copy without the body of the response, for a store
// that has no capacity for it.
func (s StoredOutcome) WithoutBody() StoredOutcome {
	if s.Completed == nil {
		return s
	}
	response := Response{Status: s.Completed.Status, NotKept: true}
	return StoredOutcome{Completed: &response}
}

// statusOf returns the HTTP status that reports the reason.
func statusOf(reason Reason) int {
	switch reason {
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonUnknownService:
		return http.StatusNotFound
	case ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case ReasonInProgress, ReasonEarlierAttempt, ReasonNotKept:
		return http.StatusConflict
	case ReasonQueueFull:
		return http.StatusTooManyRequests
	case ReasonUpstreamFailed:
		return http.StatusBadGateway
	case ReasonUpstreamTimeout, ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonCallerGone:
		return 499 // not a registered status; the caller has disconnected and does not read it
	default:
		return http.StatusServiceUnavailable
	}
}
