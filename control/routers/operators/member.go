package operators

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/services/collector"
	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// redirectInterval is the interval that a follower returns to a reporter. If the leader
// is unknown, the reporter tries again after it.
const redirectInterval = 10 * time.Second

// fetch answers from the local state of any replica. An outdated answer does no harm,
// because versions only increase.
func (r *Router) fetch(ctx context.Context, req *operator.FetchRequest) (*operator.FetchResponse, error) {
	if err := r.authenticateMember(ctx, "a configuration request"); err != nil {
		return nil, err
	}
	r.counters.Int("configuration_fetches").Add(1)
	machine := r.planner.Machine()
	r.wait(ctx, req.Wait, func() bool { return machine.Catalog().Version > req.Known })
	catalog := machine.Catalog()
	if catalog.Version <= req.Known {
		return &operator.FetchResponse{Version: catalog.Version}, nil
	}
	return &operator.FetchResponse{Version: catalog.Version, Catalog: &catalog}, nil
}

func (r *Router) report(ctx context.Context, req *observer.Report) (*observer.ReportResponse, error) {
	if err := r.authenticateMember(ctx, "a load report"); err != nil {
		return nil, err
	}
	if name := transporter.PeerCommonName(ctx); name != "" && name != req.Reporter {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return nil, r.refuse(callCtx, planner.Identity{Name: name}, fmt.Sprintf("a load report: the certificate of %q cannot report for %q", name, req.Reporter))
	}
	if len(req.Servers) > collector.MaxServers {
		return nil, status.Errorf(codes.InvalidArgument, "the report has %d backend servers, more than %d", len(req.Servers), collector.MaxServers)
	}
	for _, s := range req.Servers {
		if len(s.Service) > announcer.MaxNameLength || len(s.Host) > announcer.MaxNameLength || len(s.DataCentre) > announcer.MaxNameLength {
			return nil, status.Errorf(codes.InvalidArgument, "a name is longer than %d bytes", announcer.MaxNameLength)
		}
	}
	if s := r.planner.Status(); !s.IsLeader {
		return &observer.ReportResponse{Interval: redirectInterval, Leader: r.planner.LeaderAddress()}, nil
	}
	r.counters.Int("load_reports").Add(1)
	return &observer.ReportResponse{Interval: r.planner.AddLoadReport(*req)}, nil
}
