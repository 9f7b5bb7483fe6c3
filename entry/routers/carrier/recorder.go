package carrier

import (
	"context"
	"log/slog"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/steerer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
)

const (
	// placementLines is the number of lines a second about new flows, the usual
	// case; refusalLines that for each reason of a refusal, which callers ask about.
	// All kinds at once write below 30 KB/s.
	placementLines = 2
	refusalLines   = 10
	// repeatLines is the number of lines a second about flows that were placed anew
	// because a backend server did not answer.
	repeatLines = 10
)

// recorder writes the decisions about flows to the log, at a bounded rate for each
// kind. Packets of open flows that go on as before are only counted.
type recorder struct {
	logger     *slog.Logger
	placements *log.Gate
	repeats    *log.Gate
	refusals   map[steerer.Reason]*log.Gate
}

func newRecorder(logger *slog.Logger) *recorder {
	r := &recorder{
		logger: logger, placements: log.NewGate(placementLines), repeats: log.NewGate(repeatLines),
		refusals: make(map[steerer.Reason]*log.Gate),
	}
	for _, reason := range steerer.Reasons() {
		r.refusals[reason] = log.NewGate(refusalLines)
	}
	return r
}

func (r *recorder) record(p steerer.Packet, v steerer.Verdict, now time.Time) {
	switch {
	case v.Reason != steerer.ReasonNone:
		r.recordRefusal(p, v, now)
	case v.Placement.IsNew:
		r.recordPlacement(p, v, now)
	}
}

func (r *recorder) recordRefusal(p steerer.Packet, v steerer.Verdict, now time.Time) {
	leftOut, ok := r.refusals[v.Reason].Pass(now)
	if !ok {
		return
	}
	outcome := "dropped"
	if v.Action == steerer.ActionReset {
		outcome = "reset"
	}
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, "packet not forwarded",
		slog.String(log.FieldCaller, p.Source.String()), slog.String(log.FieldRoute, p.Destination.String()),
		slog.Uint64(log.FieldToken, uint64(p.Token)), slog.Bool("opening", p.IsOpening),
		slog.String(log.FieldReason, v.Reason.String()), slog.String(log.FieldOutcome, outcome),
		slog.Uint64(log.FieldIndex, v.View.Index), slog.Uint64(log.FieldVersion, v.View.Version),
		slog.Duration(log.FieldAge, v.View.Age), slog.Int(log.FieldLeftOut, leftOut))
}

func (r *recorder) recordPlacement(p steerer.Packet, v steerer.Verdict, now time.Time) {
	gate := r.placements
	if v.Placement.Tried != 0 {
		gate = r.repeats
	}
	leftOut, ok := gate.Pass(now)
	if !ok {
		return
	}
	r.logger.LogAttrs(context.Background(), slog.LevelInfo, "flow placed",
		slog.String(log.FieldCaller, p.Source.String()), slog.String(log.FieldRoute, p.Destination.String()),
		slog.Uint64(log.FieldToken, uint64(v.Server.Token)), slog.String(log.FieldHost, v.Server.Host),
		slog.String(log.FieldService, v.Server.Service), slog.String(log.FieldDataCentre, v.Server.DataCentre),
		slog.Int("open", v.Placement.Open), slog.Int("flows", v.Placement.Flows), slog.Int("requests", v.Placement.Requests),
		slog.Bool("home", v.Placement.IsHome), slog.Bool("silent", v.Placement.IsSilent),
		slog.Uint64("tried", uint64(v.Placement.Tried)), slog.Uint64("copy", uint64(p.Copy)),
		slog.Uint64(log.FieldIndex, v.View.Index), slog.Uint64(log.FieldVersion, v.View.Version),
		slog.Duration(log.FieldAge, v.View.Age), slog.Int(log.FieldLeftOut, leftOut))
}
