package subscriber

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// connectTimeout bounds an attempt to connect to a replica. A round trip between data
// centres takes some 10 ms; an entry on a slow processor needs a few times that.
const connectTimeout = 300 * time.Millisecond

// GRPCCaller polls replicas over gRPC.
type GRPCCaller struct {
	*transporter.Pool
}

// NewGRPCCaller returns a GRPCCaller; a nil config connects without TLS.
func NewGRPCCaller(config *tls.Config, traffic *transporter.Traffic) GRPCCaller {
	return GRPCCaller{Pool: transporter.NewPool(config, transporter.WithConnectTimeout(connectTimeout), transporter.WithTraffic(traffic))}
}

var _ Caller = GRPCCaller{}

// Watch returns the changes after the request's index. Errors carry a gRPC status; if
// the replica refuses because it is not current, the error wraps ErrNotCurrent.
func (c GRPCCaller) Watch(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest) (*director.WatchResponse, error) {
	resp, err := transporter.Call[director.WatchRequest, director.WatchResponse](ctx, c.Pool, replica, director.WatchMethod, req)
	if status.Code(err) == codes.FailedPrecondition {
		return nil, fmt.Errorf("%w: %w", ErrNotCurrent, err)
	}
	return resp, err
}
