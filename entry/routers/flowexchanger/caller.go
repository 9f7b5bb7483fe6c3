package flowexchanger

import (
	"context"
	"net/netip"

	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Caller calls a replica. Errors carry a gRPC status.
type Caller interface {
	Publish(ctx context.Context, replica netip.AddrPort, req *flowsharer.PublishRequest) (*flowsharer.PublishResponse, error)
	Watch(ctx context.Context, replica netip.AddrPort, req *flowsharer.WatchRequest) (*flowsharer.WatchResponse, error)
}

// GRPCCaller calls replicas over gRPC. It may share the connections of the subscriber, which closes those that stay
// silent.
type GRPCCaller struct {
	*transporter.Pool
}

var _ Caller = GRPCCaller{}

// Publish sends flows that this entry knows the holders of.
func (c GRPCCaller) Publish(ctx context.Context, replica netip.AddrPort, req *flowsharer.PublishRequest) (*flowsharer.PublishResponse, error) {
	return transporter.Call[flowsharer.PublishRequest, flowsharer.PublishResponse](ctx, c.Pool, replica, flowsharer.PublishMethod, req)
}

// Watch returns the flows that entries have published after a position.
func (c GRPCCaller) Watch(ctx context.Context, replica netip.AddrPort, req *flowsharer.WatchRequest) (*flowsharer.WatchResponse, error) {
	return transporter.Call[flowsharer.WatchRequest, flowsharer.WatchResponse](ctx, c.Pool, replica, flowsharer.WatchMethod, req)
}
