package transporter

import (
	"context"
	"expvar"

	"google.golang.org/grpc/stats"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

// frameOverhead is what HTTP/2 and gRPC add to each message and header in bytes: a
// frame header of 9 (RFC 9113), and 5 in front of a message.
const frameOverhead = 14

// Traffic counts the bytes of calls between the processes of the system, without TLS
// and TCP.
type Traffic struct {
	sent, received *expvar.Int
}

// NewTraffic returns a Traffic that counts as control_bytes_sent and
// control_bytes_received.
func NewTraffic(counters *reporter.Counters) *Traffic {
	return &Traffic{sent: counters.Int("control_bytes_sent"), received: counters.Int("control_bytes_received")}
}

// CountTraffic lets a pool count its calls.
func CountTraffic(t *Traffic) PoolOption { return func(p *Pool) { p.traffic = t } }

var _ stats.Handler = (*Traffic)(nil)

// TagRPC returns ctx.
func (*Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC counts the messages and headers of a call.
func (t *Traffic) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch e := event.(type) {
	case *stats.InHeader:
		t.received.Add(int64(e.WireLength) + frameOverhead)
	case *stats.InPayload:
		t.received.Add(int64(e.WireLength) + frameOverhead)
	case *stats.InTrailer:
		t.received.Add(int64(e.WireLength) + frameOverhead)
	case *stats.OutHeader:
		t.sent.Add(frameOverhead)
	case *stats.OutPayload:
		t.sent.Add(int64(e.WireLength) + frameOverhead)
	case *stats.OutTrailer:
		t.sent.Add(frameOverhead)
	}
}

// TagConn returns ctx.
func (*Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (*Traffic) HandleConn(context.Context, stats.ConnStats) {}
