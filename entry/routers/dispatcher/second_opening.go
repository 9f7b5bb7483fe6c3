package dispatcher

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/entry/services/hedger"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

const (
	// secondOpeningPeriod is the interval between checks for late openings, while openings are pending.
	secondOpeningPeriod = 10 * time.Millisecond
	// maxKeptPacket is the maximum size in bytes of an opening packet that is kept to be sent again. Larger
	// ones are sent once. All kept packets take 64 KB.
	maxKeptPacket = 256
)

// secondOpenings holds the opening packets that may be sent to a second backend server.
type secondOpenings struct {
	sent, won *expvar.Int
	withheld  *expvar.Map
	// pending has room for one item: that openings are pending while no check is active.
	pending chan struct{}

	// mu is held while an opening packet is decided on and kept, so that its decision about a second one
	// finds it. It is taken before the lock of the balancer.
	mu sync.Mutex
	// isActive is set while checks for late openings are made.
	isActive bool
	packets  [hedger.Capacity]keptPacket
	// decisions and out are reused.
	decisions []balancer.SecondOpening
	out       []byte
}

// keptPacket is an opening packet as the caller sent it.
type keptPacket struct {
	ticket hedger.Ticket
	length int
	bytes  [maxKeptPacket]byte
}

// newSecondOpenings returns nil if second openings are switched off.
func newSecondOpenings(b *balancer.Balancer, counters *reporter.Counters) *secondOpenings {
	if !b.SendsSecondOpenings() {
		return nil
	}
	counters.Func("second_opening_delay_ms", func() any { return b.SecondOpeningDelay().Milliseconds() })
	return &secondOpenings{
		sent: counters.Int("second_openings"), won: counters.Int("second_openings_won"), withheld: counters.Map("second_openings_withheld"),
		pending: make(chan struct{}, 1), out: make([]byte, 0, maxKeptPacket+maxPrefix),
	}
}

// keep stores a packet. It requires mu.
func (s *secondOpenings) keep(ticket hedger.Ticket, datagram []byte) {
	kept := &s.packets[ticket%hedger.Capacity]
	kept.ticket, kept.length = ticket, copy(kept.bytes[:], datagram)
	if !s.isActive {
		s.isActive = true
		s.pending <- struct{}{}
	}
}

// decide returns the verdict on a packet, and keeps it if it may be sent again.
func (d *Dispatcher) decide(p balancer.Packet, datagram []byte, now time.Time) balancer.Verdict {
	s := d.secondOpenings
	if s == nil || !p.IsOpening || len(datagram) > maxKeptPacket {
		return d.balancer.Decide(p, now)
	}
	p.MayRepeat = true
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := d.balancer.Decide(p, now)
	if verdict.Ticket != 0 {
		s.keep(verdict.Ticket, datagram)
	}
	return verdict
}

// sendSecondOpenings checks for late openings until ctx ends. It wakes up only while openings are pending.
func (d *Dispatcher) sendSecondOpenings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.secondOpenings.pending:
			d.checkWhilePending(ctx)
		}
	}
}

func (d *Dispatcher) checkWhilePending(ctx context.Context) {
	ticks := d.clock.Subscribe("second openings", secondOpeningPeriod)
	defer ticks.Cancel()
	for d.sendLate() {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// sendLate decides on the openings that have become late, and reports whether others are pending. A panic
// ends the checks until the next opening packet, not the process.
func (d *Dispatcher) sendLate() (isPending bool) {
	s := d.secondOpenings
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() {
		if value := recover(); value != nil {
			d.panicked.Add(1)
			d.logger.Error("second openings dropped; the entry goes on", log.FieldError, fmt.Sprintf("panic: %v", value), "stack", string(debug.Stack()))
			isPending = false
		}
		s.isActive = isPending
	}()
	now := d.clock.Now()
	s.decisions, isPending = d.balancer.SecondOpenings(s.decisions[:0], now)
	for _, decision := range s.decisions {
		d.sendSecond(decision, now)
	}
	return isPending
}

// sendSecond sends the second packet of a late opening, unless it is withheld.
func (d *Dispatcher) sendSecond(decision balancer.SecondOpening, now time.Time) {
	s := d.secondOpenings
	d.recorder.recordSecondOpening(decision, now)
	if decision.Withheld != hedger.ReasonNone {
		s.withheld.Add(decision.Withheld.String(), 1)
		return
	}
	kept := &s.packets[decision.Ticket%hedger.Capacity]
	if kept.ticket != decision.Ticket {
		d.sendErrors.Add(1)
		return
	}
	bytes, err := d.codec.Forward(s.out[:0], kept.bytes[:kept.length], decision.Server)
	if err != nil {
		d.sendErrors.Add(1)
		return
	}
	d.send(bytes, decision.Server.Address, s.sent)
}

// recordSecondOpening logs the decision on an opening whose answer is late.
func (r *recorder) recordSecondOpening(decision balancer.SecondOpening, now time.Time) {
	suppressed, ok := r.secondOpenings[decision.Withheld].Allow(now)
	if !ok {
		return
	}
	outcome := "sent"
	if decision.Withheld != hedger.ReasonNone {
		outcome = "withheld"
	}
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, "opening late",
		slog.String(log.FieldCaller, decision.Source.String()), slog.String(log.FieldRoute, decision.Destination.String()),
		slog.Duration("waited", now.Sub(decision.OpenedAt)), slog.Uint64("tried", uint64(decision.First)),
		slog.Uint64(log.FieldToken, uint64(decision.Server.Token)), slog.String(log.FieldHost, decision.Server.Host),
		slog.String(log.FieldDataCentre, decision.Server.DataCentre),
		slog.String(log.FieldReason, decision.Withheld.String()), slog.String(log.FieldOutcome, outcome),
		slog.Uint64(log.FieldIndex, decision.View.Index), slog.Uint64(log.FieldVersion, decision.View.Version),
		slog.Duration(log.FieldAge, decision.View.Age), slog.Int(log.FieldLeftOut, suppressed))
}

// recordSecondOpeningWon logs a flow that the second backend server has opened.
func (r *recorder) recordSecondOpeningWon(p balancer.Packet, v balancer.Verdict, now time.Time) {
	suppressed, ok := r.secondOpeningsWon.Allow(now)
	if !ok {
		return
	}
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, "flow opened by second opening",
		slog.String(log.FieldCaller, p.Source.String()), slog.String(log.FieldRoute, p.Destination.String()),
		slog.Uint64("tried", uint64(v.Overtaken)), slog.Uint64(log.FieldToken, uint64(v.Server.Token)),
		slog.String(log.FieldHost, v.Server.Host), slog.String(log.FieldDataCentre, v.Server.DataCentre),
		slog.Uint64(log.FieldIndex, v.View.Index), slog.Uint64(log.FieldVersion, v.View.Version),
		slog.Int(log.FieldLeftOut, suppressed))
}
