package transporter

import (
	"context"
	"expvar"

	"google.golang.org/grpc/stats"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

// frameOverhead is the number of bytes that HTTP/2 and gRPC add to each message and
// header: a frame header of 9 bytes (RFC 9113) and a message prefix of 5 bytes.
const frameOverhead = 14

// Traffic counts the bytes of calls between the processes of the system, without the
// overhead of TLS and TCP.
type Traffic struct {
	sent, received *expvar.Int
}

// NewTraffic returns a Traffic that uses the counters control_bytes_sent and
// control_bytes_received.
func NewTraffic(counters *reporter.Counters) *Traffic {
	return &Traffic{sent: counters.Int("control_bytes_sent"), received: counters.Int("control_bytes_received")}
}

// WithTraffic makes a pool count the bytes of its calls in t.
func WithTraffic(t *Traffic) PoolOption { return func(p *Pool) { p.traffic = t } }

var _ stats.Handler = (*Traffic)(nil)

// TagRPC returns ctx unchanged.
func (*Traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC counts the bytes of a message, header or trailer.
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

// TagConn returns ctx unchanged.
func (*Traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (*Traffic) HandleConn(context.Context, stats.ConnStats) {}
