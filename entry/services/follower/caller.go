package follower

import (
	"context"
	"net/netip"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// GRPCCaller polls replicas over gRPC.
type GRPCCaller struct {
	*transporter.Pool
}

var _ Caller = GRPCCaller{}

// Watch returns the changes after the request's index. Errors carry a gRPC
// status.
func (c GRPCCaller) Watch(ctx context.Context, replica netip.AddrPort, req *director.WatchRequest) (*director.WatchResponse, error) {
	return transporter.Call[director.WatchRequest, director.WatchResponse](ctx, c.Pool, replica, director.WatchMethod, req)
}
