package operators

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Limits on the work for callers.
const (
	// callTimeout bounds the wait for the replicated log.
	callTimeout = 10 * time.Second
	// maxPolls bounds the concurrent long polls. At the design size, 2 entries in
	// each of 6 data centres poll, as does each operator who watches the status.
	maxPolls = 256
	// maxListedPlans keeps answers below the 4 MB that gRPC accepts; a plan that
	// lists 100 changes has about 10 kB.
	maxListedPlans = 200
	// expiryPeriod is the interval at which expired plans are closed.
	expiryPeriod = 10 * time.Second
)

// Router answers the calls of operators, entries and gateways.
type Router struct {
	planner  *planner.Service
	settings Settings
	// hasCertificates is set if entries and gateways must present a certificate.
	hasCertificates bool
	counters        *reporter.Counters
	logger          *slog.Logger
	pollSlots       chan struct{}
	refusals        *refusalLimiter
	// stopping is closed to end long polls.
	stopping chan struct{}
}

// New returns a Router. Without certificates it trusts entries and gateways
// unauthenticated; the settings then allow only loopback addresses.
func New(service *planner.Service, settings Settings, hasCertificates bool, counters *reporter.Counters, logger *slog.Logger) *Router {
	return &Router{
		planner: service, settings: settings, hasCertificates: hasCertificates, counters: counters, logger: logger,
		pollSlots: make(chan struct{}, maxPolls), refusals: newRefusalLimiter(),
		stopping: make(chan struct{}),
	}
}

// Services returns the gRPC services, for transporter.Listen with ServerTLS.
func (r *Router) Services() []*transporter.Service {
	operators := transporter.NewService(operator.ServiceName)
	transporter.Handle(operators, "CreatePlan", r.createPlan)
	transporter.Handle(operators, "ConfirmPlan", r.confirmPlan)
	transporter.Handle(operators, "GetStatus", r.getStatus)
	transporter.Handle(operators, "ListPlans", r.listPlans)
	transporter.Handle(operators, "ListAudit", r.listAudit)
	transporter.Handle(operators, "GetPlanText", r.getPlanText)
	configuration := transporter.NewService(operator.ConfigurationServiceName)
	transporter.Handle(configuration, "Fetch", r.fetch)
	load := transporter.NewService(observer.ServiceName)
	transporter.Handle(load, "Report", r.report)
	return []*transporter.Service{operators, configuration, load}
}

// RunExpiry closes expired plans until ctx ends.
func (r *Router) RunExpiry(ctx context.Context, clock timer.Service) {
	ticks := clock.Subscribe("plan expiry", expiryPeriod)
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			if err := r.planner.ExpirePlans(callCtx); err != nil && !planner.IsErrNotLeader(err) {
				r.counters.Int("plan_expiry_failures").Add(1)
			}
			cancel()
		}
	}
}

func (r *Router) createPlan(ctx context.Context, req *operator.CreatePlanRequest) (*operator.PlanResponse, error) {
	return r.execute(ctx, func(ctx context.Context, identity planner.Identity) (operator.PlanResponse, error) {
		return r.planner.CreatePlan(ctx, identity, *req)
	}, "plans_created")
}

func (r *Router) confirmPlan(ctx context.Context, req *operator.ConfirmPlanRequest) (*operator.PlanResponse, error) {
	return r.execute(ctx, func(ctx context.Context, identity planner.Identity) (operator.PlanResponse, error) {
		return r.planner.ConfirmPlan(ctx, identity, *req)
	}, "plans_confirmed")
}

// execute runs a request that may change the state. Roles are checked when the command
// is applied, against the configuration in force at that position of the log.
func (r *Router) execute(ctx context.Context, run func(context.Context, planner.Identity) (operator.PlanResponse, error), counter string) (*operator.PlanResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	identity, redirect, err := r.admit(ctx)
	if err != nil || redirect != nil {
		return redirected(redirect, func(to operator.Redirect) operator.PlanResponse { return operator.PlanResponse{Redirect: to} }), err
	}
	answer, err := run(ctx, identity)
	if planner.IsErrNotLeader(err) {
		return &operator.PlanResponse{Redirect: *r.redirect()}, nil
	} else if err != nil {
		return nil, r.callError(err)
	}
	if answer.Refusal != nil {
		r.counters.Int("requests_refused").Add(1)
	} else {
		r.counters.Int(counter).Add(1)
	}
	return &answer, nil
}

func (r *Router) getStatus(ctx context.Context, req *operator.GetStatusRequest) (*operator.Status, error) {
	_, redirect, err := r.admit(ctx)
	if err != nil || redirect != nil {
		return redirected(redirect, func(to operator.Redirect) operator.Status { return operator.Status{Redirect: to} }), err
	}
	machine := r.planner.Machine()
	r.wait(ctx, req.Wait, func() bool {
		_, head, _ := machine.ListAudit(0, 0)
		return head.Sequence > req.Known
	})
	if err := r.planner.ReadBarrier(ctx); planner.IsErrNotLeader(err) {
		return &operator.Status{Redirect: *r.redirect()}, nil
	} else if err != nil {
		return nil, r.callError(err)
	}
	overview := machine.Overview()
	catalog := overview.Catalog
	answer := operator.Status{
		Replica: r.planner.Status().Replica, Time: timer.ToTimestamp(r.planner.Now()), Version: catalog.Version,
		DataCentres: catalog.DataCentres, Drained: catalog.Drained, Control: catalog.Control,
		Load: r.planner.SummariseLoad(), OpenPlans: min(overview.OpenPlans, maxListedPlans), AuditHead: overview.AuditHead, LastChange: overview.LastChange,
	}
	answer.Load.Servers = nil
	return &answer, nil
}

func (r *Router) listPlans(ctx context.Context, req *operator.ListPlansRequest) (*operator.PlanList, error) {
	_, redirect, err := r.admit(ctx)
	if err != nil || redirect != nil {
		return redirected(redirect, func(to operator.Redirect) operator.PlanList { return operator.PlanList{Redirect: to} }), err
	}
	return &operator.PlanList{Plans: r.planner.Machine().Plans(req.All, maxListedPlans)}, nil
}

func (r *Router) listAudit(ctx context.Context, req *operator.ListAuditRequest) (*operator.AuditPage, error) {
	_, redirect, err := r.admit(ctx)
	if err != nil || redirect != nil {
		return redirected(redirect, func(to operator.Redirect) operator.AuditPage { return operator.AuditPage{Redirect: to} }), err
	}
	limit := req.Limit
	if limit <= 0 || limit > operator.MaxPage {
		limit = operator.MaxPage
	}
	lines, head, err := r.planner.Machine().ListAudit(req.After, limit)
	if err != nil {
		return nil, status.Error(codes.DataLoss, err.Error())
	}
	return &operator.AuditPage{Lines: lines, Head: head}, nil
}

func (r *Router) getPlanText(ctx context.Context, req *operator.GetPlanTextRequest) (*operator.PlanText, error) {
	_, redirect, err := r.admit(ctx)
	if err != nil || redirect != nil {
		return redirected(redirect, func(to operator.Redirect) operator.PlanText { return operator.PlanText{Redirect: to} }), err
	}
	text, kept, err := r.planner.Machine().PlanText(req.Hash)
	if err != nil {
		return nil, status.Error(codes.DataLoss, err.Error())
	}
	return &operator.PlanText{Kept: kept, Text: text}, nil
}

// wait returns once done reports true, after the duration, or immediately if maxPolls
// callers already wait.
func (r *Router) wait(ctx context.Context, duration time.Duration, done func() bool) {
	if duration <= 0 {
		return
	}
	select {
	case r.pollSlots <- struct{}{}:
		defer func() { <-r.pollSlots }()
	default:
		r.counters.Int("polls_refused").Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(duration, operator.MaxWait))
	defer cancel()
	for {
		changed := r.planner.Machine().Changed()
		if done() {
			return
		}
		select {
		case <-changed:
		case <-r.stopping:
			return
		case <-ctx.Done():
			return
		}
	}
}

// redirect returns an answer that names the leader.
func (r *Router) redirect() *operator.Redirect {
	r.counters.Int("redirects").Add(1)
	return &operator.Redirect{NotLeader: true, Leader: r.planner.LeaderAddress()}
}

func redirected[T any](redirect *operator.Redirect, answer func(operator.Redirect) T) *T {
	if redirect == nil {
		return nil
	}
	a := answer(*redirect)
	return &a
}

// callError converts an error to a gRPC status. After Unavailable, callers resend with
// the same request id.
func (r *Router) callError(err error) error {
	if errors.Is(err, planner.ErrRequestID) {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	r.counters.Int("request_failures").Add(1)
	return status.Errorf(codes.Unavailable, "the request may or may not have been carried out; resend it with the same request id: %v", err)
}
