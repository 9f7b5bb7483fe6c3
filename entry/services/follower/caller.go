package follower

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

// connectLimit bounds an attempt to connect to a replica: a round trip between data
// centres takes some 10 ms, and an entry on a slow processor a few times that.
const connectLimit = 300 * time.Millisecond

// GRPCCaller polls replicas over gRPC.
type GRPCCaller struct {
	*transporter.Pool
}

// NewGRPCCaller returns a GRPCCaller; a nil config connects without TLS.
func NewGRPCCaller(config *tls.Config, traffic *transporter.Traffic) GRPCCaller {
	return GRPCCaller{Pool: transporter.NewPool(config, transporter.ConnectWithin(connectLimit), transporter.CountTraffic(traffic))}
}

var _ Caller = GRPCCaller{}

// Watch returns the changes after the request's index. Errors carry a gRPC status;
// one of a replica that refuses is an ErrNotCurrent.
func (c GRPCCaller) Watch(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest) (*director.WatchResponse, error) {
	resp, err := transporter.Call[director.WatchRequest, director.WatchResponse](ctx, c.Pool, replica, director.WatchMethod, req)
	if status.Code(err) == codes.FailedPrecondition {
		return nil, fmt.Errorf("%w: %w", ErrNotCurrent, err)
	}
	return resp, err
}
