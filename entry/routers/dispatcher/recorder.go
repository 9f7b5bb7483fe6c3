package dispatcher

import (
	"context"
	"log/slog"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/entry/services/hedger"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
)

const (
	// placementLinesPerSecond limits the log lines about new flows, which is the usual
	// case. refusalLinesPerSecond limits those about refusals, for each reason, because
	// callers ask about refused packets. All kinds together write less than 30 KB/s.
	placementLinesPerSecond = 2
	refusalLinesPerSecond   = 10
	// retryLinesPerSecond limits the log lines about flows that were placed again
	// because a backend server did not answer.
	retryLinesPerSecond = 10
	// moveLinesPerSecond limits the log lines about flows whose packets carry the token of
	// another backend server than the one at which they were established.
	moveLinesPerSecond = 10
	// secondOpeningLinesPerSecond limits the log lines about opening packets whose answers are late, for each
	// outcome.
	secondOpeningLinesPerSecond = 2
)

// recorder logs the decisions about flows, with a rate limit for each kind. Packets of
// open flows whose backend server stays the same are only counted, not logged.
type recorder struct {
	logger     *slog.Logger
	placements *log.RateLimiter
	retries    *log.RateLimiter
	moves      *log.RateLimiter
	refusals   map[balancer.Reason]*log.RateLimiter
	// secondOpenings limits the lines about late openings by the reason for withholding a second one;
	// secondOpeningsWon those about flows that were opened by one.
	secondOpenings    map[hedger.Reason]*log.RateLimiter
	secondOpeningsWon *log.RateLimiter
}

func newRecorder(logger *slog.Logger) *recorder {
	r := &recorder{
		logger: logger, placements: log.NewRateLimiter(placementLinesPerSecond), retries: log.NewRateLimiter(retryLinesPerSecond),
		moves: log.NewRateLimiter(moveLinesPerSecond), refusals: make(map[balancer.Reason]*log.RateLimiter),
		secondOpenings: make(map[hedger.Reason]*log.RateLimiter), secondOpeningsWon: log.NewRateLimiter(secondOpeningLinesPerSecond),
	}
	for _, reason := range balancer.Reasons() {
		r.refusals[reason] = log.NewRateLimiter(refusalLinesPerSecond)
	}
	for _, reason := range append(hedger.Reasons(), hedger.ReasonNone) {
		r.secondOpenings[reason] = log.NewRateLimiter(secondOpeningLinesPerSecond)
	}
	return r
}

func (r *recorder) record(p balancer.Packet, v balancer.Verdict, now time.Time) {
	switch {
	case v.MovedFrom != 0:
		r.recordMove("flow moved", v.MovedFrom, p, v, now)
	case v.IsKept:
		r.recordMove("flow kept", p.Token, p, v, now)
	case v.Overtaken != 0:
		r.recordSecondOpeningWon(p, v, now)
	}
	switch {
	case v.Reason != balancer.ReasonNone:
		r.recordRefusal(p, v, now)
	case v.Placement.IsNew:
		r.recordPlacement(p, v, now)
	}
}

func (r *recorder) recordRefusal(p balancer.Packet, v balancer.Verdict, now time.Time) {
	suppressed, ok := r.refusals[v.Reason].Allow(now)
	if !ok {
		return
	}
	outcome := "dropped"
	if v.Action == balancer.ActionReset {
		outcome = "reset"
	}
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, "packet not forwarded",
		slog.String(log.FieldCaller, p.Source.String()), slog.String(log.FieldRoute, p.Destination.String()),
		slog.Uint64(log.FieldToken, uint64(p.Token)), slog.String(log.FieldHost, v.Server.Host), slog.String(log.FieldDataCentre, v.Server.DataCentre),
		slog.Bool("opening", p.IsOpening), slog.Uint64("copy", uint64(copyNumber(p))), slog.Bool("late", v.IsLate), slog.Bool("tracked", v.IsTracked),
		slog.String(log.FieldReason, v.Reason.String()), slog.String(log.FieldOutcome, outcome),
		slog.Uint64(log.FieldIndex, v.View.Index), slog.Uint64(log.FieldVersion, v.View.Version),
		slog.Duration(log.FieldAge, v.View.Age), slog.Int(log.FieldLeftOut, suppressed))
}

// copyNumber returns how many copies of an opening packet were sent before, and 0 for other packets.
func copyNumber(p balancer.Packet) uint32 {
	if !p.IsOpening {
		return 0
	}
	return p.Retransmissions
}

// recordMove logs a packet whose token names another backend server than the one at which its flow was
// established. other is the one to which the packet does not go.
func (r *recorder) recordMove(message string, other director.Token, p balancer.Packet, v balancer.Verdict, now time.Time) {
	suppressed, ok := r.moves.Allow(now)
	if !ok {
		return
	}
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, message,
		slog.String(log.FieldCaller, p.Source.String()), slog.String(log.FieldRoute, p.Destination.String()),
		slog.Uint64(log.FieldToken, uint64(v.Server.Token)), slog.String(log.FieldHost, v.Server.Host), slog.String(log.FieldDataCentre, v.Server.DataCentre),
		slog.Uint64("other_token", uint64(other)), slog.Uint64("acknowledged", uint64(p.Acknowledged)), slog.Bool("published", v.IsPublished),
		slog.Uint64(log.FieldIndex, v.View.Index), slog.Uint64(log.FieldVersion, v.View.Version),
		slog.Duration(log.FieldAge, v.View.Age), slog.Int(log.FieldLeftOut, suppressed))
}

func (r *recorder) recordPlacement(p balancer.Packet, v balancer.Verdict, now time.Time) {
	limiter := r.placements
	if v.Placement.Tried != 0 {
		limiter = r.retries
	}
	suppressed, ok := limiter.Allow(now)
	if !ok {
		return
	}
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, "flow placed",
		slog.String(log.FieldCaller, p.Source.String()), slog.String(log.FieldRoute, p.Destination.String()),
		slog.Uint64(log.FieldToken, uint64(v.Server.Token)), slog.String(log.FieldHost, v.Server.Host),
		slog.String(log.FieldService, v.Server.Service), slog.String(log.FieldDataCentre, v.Server.DataCentre),
		slog.Int("open", v.Placement.Candidates), slog.Int("flows", v.Placement.Flows), slog.Int("requests", v.Placement.Requests),
		slog.Bool("home", v.Placement.IsLocal), slog.Bool("silent", v.Placement.IsUnresponsive),
		slog.Uint64("tried", uint64(v.Placement.Tried)), slog.Uint64("copy", uint64(p.Retransmissions)),
		slog.Uint64(log.FieldIndex, v.View.Index), slog.Uint64(log.FieldVersion, v.View.Version),
		slog.Duration(log.FieldAge, v.View.Age), slog.Int(log.FieldLeftOut, suppressed))
}
