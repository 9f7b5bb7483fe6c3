package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/hedger"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/gateway/services/scheduler"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// errLost is the cause with which the attempt is cancelled that did not win.
var errLost = errors.New("another attempt of the request has won")

// cancellationTime is how long the slot of a cancelled attempt stays in use. The cancellation and
// the next request use different connections. In the simulation, where their delays differ by up
// to 0.2 ms, a backend server with 2 slots got 3 requests when the slot was returned at once.
const cancellationTime = 10 * time.Millisecond

// streamAfter is the time since its header after which a response that is not complete is passed on
// as it arrives. A caller of a long stream waits no longer than this for its start.
const streamAfter = 100 * time.Millisecond

// racer is one of two attempts of a request that run at the same time.
type racer struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newRacer(ctx context.Context) racer {
	ctx, cancel := context.WithCancelCause(ctx)
	return racer{ctx: ctx, cancel: cancel}
}

// sendHedged sends the request on a slot. If no response header has arrived when a second
// attempt is due, it sends the request to another backend server as well and returns the attempt
// whose response is complete first.
func (d *Dispatcher) sendHedged(ctx context.Context, req Request, slot leaseholder.Slot) attempt {
	delay, isKnown := d.hedger.Delay(req.Service)
	if !isKnown {
		return d.sendObserved(ctx, req, slot)
	}
	due := d.clock.Subscribe("second-send", delay)
	defer due.Cancel()
	racers := [2]racer{newRacer(ctx), newRacer(ctx)}
	header := make(chan attempt, 1)
	go func() { header <- d.sendObserved(racers[0].ctx, req, slot) }()
	select {
	case a := <-header:
		racers[1].cancel(errLost)
		return a
	case <-due.C:
	}
	if !d.hedger.TryStart() {
		d.withhold(hedger.ReasonShareUsed)
		racers[1].cancel(errLost)
		return <-header
	}
	finishes := make(chan attempt, len(racers))
	go func() { finishes <- d.awaitBody(racers[0].ctx, <-header) }()
	go func() { finishes <- d.awaitBody(racers[1].ctx, d.sendSecond(racers[1].ctx, req, slot.ID)) }()
	a := d.chooseWinner(racers, finishes)
	a.hadSecond = true
	return a
}

// sendObserved sends a first attempt and records its response time.
func (d *Dispatcher) sendObserved(ctx context.Context, req Request, slot leaseholder.Slot) attempt {
	started := d.clock.Now()
	a := d.send(ctx, req, slot)
	if !a.slotExpired {
		d.hedger.Observe(req.Service, d.clock.Now().Sub(started), a.hasAnswer())
	}
	return a
}

// sendSecond sends the second attempt if a slot of another backend server is free. An attempt
// that was not sent is returned as one whose slot has expired.
func (d *Dispatcher) sendSecond(ctx context.Context, req Request, first announcer.ID) attempt {
	slot, err := d.slots.AcquireSecond(ctx, first)
	if err != nil {
		d.hedger.Refund()
		withheld := scheduler.ErrWithheld{Reason: hedger.ReasonRequestEnded}
		_ = errors.As(err, &withheld)
		d.withhold(withheld.Reason)
		return attempt{slotExpired: true}
	}
	if ctx.Err() != nil {
		d.hedger.Refund()
		d.withhold(hedger.ReasonRequestEnded)
		d.slots.Return(slot, leaseholder.ResultUnused, 0)
		return attempt{slotExpired: true}
	}
	req.isSecond = true
	a := d.send(ctx, req, slot)
	if a.slotExpired {
		d.hedger.Refund()
		d.withhold(hedger.ReasonSlotExpired)
	}
	return a
}

// awaitBody reads the response of an attempt ahead until it is complete. It stops waiting when
// the buffer is full or streamAfter has passed, so that a long or slow response still reaches the
// caller while it arrives. A response that fails before that becomes an attempt without a
// response.
func (d *Dispatcher) awaitBody(ctx context.Context, a attempt) attempt {
	if a.response == nil {
		return a
	}
	a.body = d.startReading(ctx, a)
	late := d.clock.Subscribe("second-send-body", streamAfter)
	defer late.Cancel()
	select {
	case <-a.body.ready:
	case <-late.C:
		return a
	case <-ctx.Done():
		return attempt{outcome: d.bodyFailureOutcome(ctx)}
	}
	if err := a.body.err; err != nil && !errors.Is(err, io.EOF) {
		return attempt{outcome: d.bodyFailureOutcome(ctx)}
	}
	return a
}

// chooseWinner returns the first attempt that has a response without a server error, and cancels
// the other one. While one attempt runs, it waits for that one rather than return a failure.
func (d *Dispatcher) chooseWinner(racers [2]racer, finishes <-chan attempt) attempt {
	best := <-finishes
	if !best.hasAnswer() {
		best = chooseBetter(best, <-finishes)
	}
	loser := racers[1]
	if best.isSecond {
		loser = racers[0]
	}
	loser.cancel(errLost)
	if best.isSecond && best.response != nil {
		d.counters.Int("second_sends_won").Add(1)
	}
	return best
}

// hasAnswer reports whether the attempt has a response without a server error.
func (a attempt) hasAnswer() bool {
	return a.response != nil && a.response.StatusCode < http.StatusInternalServerError
}

// chooseBetter returns one of two attempts, of which the earlier one has no answer. A response
// with a server error ranks above a failure. Of two failures, the result says "not run" only if
// neither attempt can have run.
func chooseBetter(earlier, later attempt) attempt {
	switch {
	case later.hasAnswer() || (later.response != nil && earlier.response == nil):
		return later
	case earlier.response != nil || later.slotExpired:
		return earlier
	case earlier.slotExpired:
		return later
	default:
		later.outcome = recorder.Join(earlier.outcome, later.outcome)
		later.retryable = later.retryable || earlier.retryable
		return later
	}
}

// returnOvertaken returns the slot of an attempt that was cancelled because the other attempt has
// won, once the cancellation has reached the backend server. The time that a first attempt took
// is reported, so that second attempts do not hide a slow backend server. Its idle connections are
// closed as after a failure, since they may have gone silent.
func (d *Dispatcher) returnOvertaken(slot leaseholder.Slot, isSecond bool, started time.Time) {
	result, latency := leaseholder.ResultUnused, time.Duration(0)
	if !isSecond {
		result, latency = leaseholder.ResultOvertaken, d.clock.Now().Sub(started)
		d.pool.CloseIdle(slot.Address)
	}
	arrival := d.clock.Subscribe("cancellation", cancellationTime)
	defer arrival.Cancel()
	<-arrival.C
	d.slots.Return(slot, result, latency)
}

// isOvertaken reports whether an attempt was cancelled because the other attempt has won.
func isOvertaken(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errLost) }

// withhold records that a second attempt was due and not sent.
func (d *Dispatcher) withhold(reason hedger.Reason) {
	d.counters.Int("second_sends_withheld").Add(1)
	d.counters.Map("second_sends_withheld_by").Add(string(reason), 1)
	d.logSecondSends()
}

// secondSendLogInterval is the minimum time between two log lines with the totals.
const secondSendLogInterval = time.Minute

// logTimes remembers when the totals of second attempts were logged last.
type logTimes struct {
	mu   sync.Mutex
	last time.Time
}

// logSecondSends logs the totals of second attempts once per secondSendLogInterval.
func (d *Dispatcher) logSecondSends() {
	now := d.clock.Now()
	d.logged.mu.Lock()
	isDue := now.Sub(d.logged.last) >= secondSendLogInterval
	if isDue {
		d.logged.last = now
	}
	d.logged.mu.Unlock()
	if isDue {
		d.logger.Info("second sends since the start", "requests", d.counters.Int("requests").Value(), "sent", d.counters.Int("second_sends").Value(),
			"won", d.counters.Int("second_sends_won").Value(), "withheld", d.counters.Int("second_sends_withheld").Value())
	}
}
