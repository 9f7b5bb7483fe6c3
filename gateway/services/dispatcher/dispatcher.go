// Package dispatcher runs requests on backend servers: it claims keys, waits
// for slots, sends the request, and passes the response on.
package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/leaser"
	"github.com/redwingledge/redwingledge/gateway/services/scheduler"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// maxTries bounds the tries of one request; the budget bounds all retries.
	maxTries = 3
	// retryPause is the mean pause before the first retry; it doubles.
	retryPause = 20 * time.Millisecond
	// HeaderTimeout carries the time left for a request, in seconds.
	HeaderTimeout = "Request-Timeout"
)

// Slots gives out the slots of backend servers.
type Slots interface {
	Acquire(ctx context.Context, service, member string, arrived, deadline time.Time, retry bool) (leaser.Slot, error)
	Return(slot leaser.Slot, result leaser.Result, latency time.Duration)
}

var _ Slots = (*scheduler.Service)(nil)

// Request is a request of a caller whose body has been read.
type Request struct {
	Service string
	Member  string
	Method  string
	// Path is the escaped path at the backend server, with the query.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived and Deadline are times of the timer service.
	Arrived  time.Time
	Deadline time.Time
	// Repeatable is set if a second run does no harm.
	Repeatable bool
	// Once is set if the request must not be tried again, even if it is known
	// not to have run.
	Once bool
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	slots    Slots
	pool     *Pool
	budget   *Budget
	clock    timer.Service
	counters *reporter.Counters
}

// New returns a Dispatcher. retryShare is the number of retries for each
// request.
func New(slots Slots, clock timer.Service, counters *reporter.Counters, retryShare float64) *Dispatcher {
	return &Dispatcher{slots: slots, pool: NewPool(), budget: NewBudget(retryShare), clock: clock, counters: counters}
}

// Close closes the idle connections to backend servers.
func (d *Dispatcher) Close() { d.pool.Close() }

// try is the result of one try.
type try struct {
	response *http.Response
	slot     leaser.Slot
	started  time.Time
	// outcome is set if there is no response to pass on.
	outcome recorder.Outcome
	// again is set if another try is safe.
	again bool
	// unused is set if the slot ended before anything was sent.
	unused bool
}

// Run runs the request and passes the response to w. It returns the outcome,
// and the response as kept for resends if keep is above 0 bytes. Unless
// the outcome is Completed, nothing was written to w; if a response that has
// been started cannot be completed, Run panics with http.ErrAbortHandler after
// it has called onAbort.
func (d *Dispatcher) Run(ctx context.Context, w http.ResponseWriter, req Request, keep int, onAbort func(recorder.Outcome)) recorder.Outcome {
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(d.clock.Now()))
	defer cancel()
	d.budget.Earn()
	var last recorder.Outcome
	for tries := 1; ; tries++ {
		t, err := d.tryOnce(ctx, req, tries > 1)
		if err != nil {
			return refusal(err, last)
		}
		if t.response != nil {
			return d.pass(ctx, w, t, keep, onAbort)
		}
		last = t.outcome
		if !t.again || req.Once || tries >= maxTries || !d.budget.Spend() {
			return last
		}
		d.counters.Int("retries").Add(1)
		pause := time.Duration(rand.Int64N(int64(2 * retryPause << (tries - 1))))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return last
		}
	}
}

// refusal converts an error of Acquire. An earlier try that may have run weighs
// more than the refusal of a later one.
func refusal(err error, last recorder.Outcome) recorder.Outcome {
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

// tryOnce waits for a slot and sends the request. A slot whose lease ended in
// the meantime, such as during a freeze of the process, is given back unused.
func (d *Dispatcher) tryOnce(ctx context.Context, req Request, retry bool) (try, error) {
	for {
		slot, err := d.slots.Acquire(ctx, req.Service, req.Member, req.Arrived, req.Deadline, retry)
		if err != nil {
			return try{}, err
		}
		t := d.send(ctx, req, slot)
		if !t.unused {
			return t, nil
		}
		d.counters.Int("slots_expired").Add(1)
		retry = true
	}
}

func (d *Dispatcher) send(ctx context.Context, req Request, slot leaser.Slot) try {
	now := d.clock.Now()
	out := newUpstreamRequest(req, slot, req.Deadline.Sub(now))
	bound := newBinding(d.pool.get(now, slot.Address), out.Header)
	out = out.WithContext(httptrace.WithClientTrace(ctx, bound.trace()))
	now = d.clock.Now()
	if !now.Before(slot.Until) {
		d.slots.Return(slot, leaser.ResultUnused, 0)
		return try{unused: true}
	}
	if !now.Before(req.Deadline) {
		d.slots.Return(slot, leaser.ResultUnused, 0)
		return try{outcome: recorder.RefusedNotRun{Reason: recorder.ReasonDeadline}}
	}
	d.counters.Int("dispatches").Add(1)
	resp, err := bound.transport().RoundTrip(out)
	if err != nil {
		return d.failed(ctx, req, slot, bound.isConnected.Load())
	}
	if !bound.accept(resp) {
		d.counters.Int("answers_of_other_requests").Add(1)
		_ = resp.Body.Close()
		return d.failed(ctx, req, slot, true)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return d.shed(req, slot, resp, now)
	}
	return try{response: resp, slot: slot, started: now}
}

func (d *Dispatcher) failed(ctx context.Context, req Request, slot leaser.Slot, connected bool) try {
	d.pool.Retire(slot.Address)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		d.slots.Return(slot, leaser.ResultUnused, 0)
		return try{outcome: recorder.Cancelled{MayHaveRun: connected}}
	case !connected:
		d.slots.Return(slot, leaser.ResultFailed, 0)
		return try{outcome: recorder.RefusedNotRun{Reason: recorder.ReasonConnectFailed, RetryAfter: time.Second}, again: true}
	case ctx.Err() != nil:
		d.slots.Return(slot, leaser.ResultFailed, 0)
		return try{outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamTimeout}}
	default:
		d.slots.Return(slot, leaser.ResultFailed, 0)
		return try{outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed}, again: req.Repeatable}
	}
}

// shed handles a 503. One that does not say "not run" is an ordinary response.
func (d *Dispatcher) shed(req Request, slot leaser.Slot, resp *http.Response, started time.Time) try {
	d.counters.Int("sheds").Add(1)
	if resp.Header.Get(recorder.HeaderOutcome) != recorder.ValueNotRun {
		return try{response: resp, slot: slot, started: started}
	}
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	_ = resp.Body.Close()
	d.slots.Return(slot, leaser.ResultShed, 0)
	after, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	outcome := recorder.RefusedNotRun{Reason: recorder.ReasonShed, RetryAfter: time.Duration(max(1, after)) * time.Second}
	return try{outcome: outcome, again: !req.Once}
}

// upstreamBody hides the type of the reader. A request with such a body and
// without GetBody is never repeated by http.Transport, which otherwise repeats
// requests with an Idempotency-Key on a connection failure.
type upstreamBody struct{ io.Reader }

// Close does nothing.
func (upstreamBody) Close() error { return nil }

func newUpstreamRequest(req Request, slot leaser.Slot, left time.Duration) *http.Request {
	header := req.Header.Clone()
	removeHopByHop(header)
	header.Set(HeaderTimeout, strconv.FormatFloat(max(0, left.Seconds()), 'f', 3, 64))
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	path, query, _ := cutQuery(req.Path)
	target := &url.URL{Scheme: "http", Host: slot.Address.String(), RawQuery: query}
	if unescaped, err := url.PathUnescape(path); err == nil {
		target.Path, target.RawPath = unescaped, path
	}
	return &http.Request{
		Method: req.Method, URL: target, Host: req.Host, Header: header,
		Body: upstreamBody{bytes.NewReader(req.Body)}, ContentLength: int64(len(req.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}
