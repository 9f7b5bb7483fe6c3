package loadexchanger

import (
	"context"
	"net/netip"

	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Caller makes exchanges with a replica. Errors carry a gRPC status.
type Caller interface {
	Exchange(ctx context.Context, replica netip.AddrPort, report *loadsharer.Report) (*loadsharer.Summary, error)
}

// GRPCCaller makes exchanges over gRPC. It may share the connections of the subscriber, which closes
// those that stay silent.
type GRPCCaller struct {
	*transporter.Pool
}

var _ Caller = GRPCCaller{}

// Exchange sends a report and returns the sums.
func (c GRPCCaller) Exchange(ctx context.Context, replica netip.AddrPort, report *loadsharer.Report) (*loadsharer.Summary, error) {
	return transporter.Call[loadsharer.Report, loadsharer.Summary](ctx, c.Pool, replica, loadsharer.ExchangeMethod, report)
}
