// Package flowexchanger serves the exchange of held flows of control: entries publish at one replica which backend
// server holds a flow and watch what others publish, and replicas watch each other.
package flowexchanger

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/services/flowkeeper"
	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	// membershipPeriod is how often the replicas to watch are determined.
	membershipPeriod = time.Second
	// watchPause is the time between two polls of a replica that has flows, or has not answered.
	watchPause = 100 * time.Millisecond
	// roundTripAllowance is added to the wait of a long poll.
	roundTripAllowance = 600 * time.Millisecond
	// refusalLogsPerSecond limits the log lines about refused calls.
	refusalLogsPerSecond = 1
)

// Directory knows the members of the system.
type Directory interface {
	// Replicas returns the gRPC addresses of all replicas.
	Replicas() []netip.AddrPort
	// IsReplica and IsEntry report whether the name is that of a replica or of an entry.
	IsReplica(name string) bool
	IsEntry(name string) bool
}

// Options configure an Exchanger.
type Options struct {
	// Address is the gRPC address of this replica.
	Address   netip.AddrPort
	Directory Directory
	Keeper    *flowkeeper.Keeper
	// Pool connects to the other replicas. Connections that stay silent are closed, so no other part may
	// use them.
	Pool *transporter.Pool
	// Clock should count the time in which the VM is suspended, so that flows from before are old.
	Clock    timer.Service
	Counters *reporter.Counters
	Logger   *slog.Logger
}

// Exchanger serves the exchange. Run must be called once.
type Exchanger struct {
	options     Options
	refusalLogs *log.RateLimiter
}

// New returns an Exchanger.
func New(options Options) *Exchanger {
	options.Counters.Func("held_flows", func() any { return options.Keeper.Len() })
	return &Exchanger{options: options, refusalLogs: log.NewRateLimiter(refusalLogsPerSecond)}
}

// Service returns the gRPC service for entries and other replicas.
func (e *Exchanger) Service() *transporter.Service {
	s := transporter.NewService(flowsharer.ServiceName)
	transporter.Handle(s, "Publish", e.publish)
	transporter.Handle(s, "Watch", e.watch)
	return s
}

func (e *Exchanger) publish(ctx context.Context, req *flowsharer.PublishRequest) (*flowsharer.PublishResponse, error) {
	if name := transporter.PeerCommonName(ctx); name != "" && (name != req.Entry || !e.options.Directory.IsEntry(name)) {
		return nil, e.refuse(req.Entry, codes.PermissionDenied, errors.New("the certificate of the caller is not that of the publishing entry"))
	}
	if err := req.Check(); err != nil {
		return nil, e.refuse(req.Entry, codes.InvalidArgument, err)
	}
	e.options.Keeper.Add(req.Flows, true, e.options.Clock.Now())
	e.options.Counters.Int("held_flows_published").Add(int64(len(req.Flows)))
	return &flowsharer.PublishResponse{Epoch: e.options.Keeper.Epoch()}, nil
}

// refuse counts a refused call and returns its error.
func (e *Exchanger) refuse(entry string, code codes.Code, err error) error {
	e.options.Counters.Int("held_flows_refused").Add(1)
	if leftOut, ok := e.refusalLogs.Allow(e.options.Clock.Now()); ok {
		e.options.Logger.Warn("held flows refused", "entry", entry, log.FieldError, err, log.FieldLeftOut, leftOut)
	}
	return status.Error(code, err.Error())
}

// watch returns the flows after a position as soon as there are any.
func (e *Exchanger) watch(ctx context.Context, req *flowsharer.WatchRequest) (*flowsharer.WatchResponse, error) {
	if name := transporter.PeerCommonName(ctx); name != "" && !e.options.Directory.IsEntry(name) && !e.options.Directory.IsReplica(name) {
		return nil, e.refuse(name, codes.PermissionDenied, errors.New("the certificate of the caller is neither that of an entry nor that of a replica"))
	}
	deadline, cancel := context.WithTimeout(ctx, min(max(req.Wait, 0), flowsharer.MaxWait))
	defer cancel()
	for {
		response, changed := e.options.Keeper.Since(*req, e.options.Clock.Now())
		// A new epoch is told at once, because the entry then publishes its flows again.
		if len(response.Flows) > 0 || response.UpTo.Epoch != req.After.Epoch || deadline.Err() != nil {
			return &response, nil
		}
		select {
		case <-changed:
		case <-deadline.Done():
		}
	}
}

// Run watches the other replicas until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	ticks := e.options.Clock.Subscribe("replicas with held flows", membershipPeriod)
	defer ticks.Cancel()
	var running sync.WaitGroup
	defer running.Wait()
	cancels := make(map[netip.AddrPort]context.CancelFunc)
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	for {
		members := make(map[netip.AddrPort]bool)
		for _, replica := range e.options.Directory.Replicas() {
			members[replica] = true
			if _, ok := cancels[replica]; ok || replica == e.options.Address {
				continue
			}
			watching, cancel := context.WithCancel(ctx)
			cancels[replica] = cancel
			running.Go(func() { e.follow(watching, replica) })
		}
		for replica, cancel := range cancels {
			if !members[replica] {
				cancel()
				delete(cancels, replica)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// follow takes over what entries publish at another replica until ctx ends, and before that all that it has: this
// replica may have started again, and the entries that have published the flows may have ended.
func (e *Exchanger) follow(ctx context.Context, replica netip.AddrPort) {
	defer e.options.Pool.Disconnect(replica)
	req := &flowsharer.WatchRequest{Wait: flowsharer.MaxWait}
	for ctx.Err() == nil {
		response, err := e.poll(ctx, replica, req)
		if err == nil {
			e.options.Keeper.Add(response.Flows, false, e.options.Clock.Now())
			req = &flowsharer.WatchRequest{After: response.UpTo, Wait: flowsharer.MaxWait, OnlyPublished: req.OnlyPublished || response.IsLast()}
			if len(response.Flows) == 0 {
				continue
			}
		} else if ctx.Err() == nil {
			e.options.Counters.Int("held_flows_watches_failed").Add(1)
			e.options.Logger.Debug("held flows of a replica are missing", log.FieldReplica, replica, log.FieldError, err)
			if status.Code(err) == codes.DeadlineExceeded {
				e.options.Pool.Disconnect(replica)
			}
		}
		e.pause(ctx)
	}
}

func (e *Exchanger) pause(ctx context.Context) {
	end := e.options.Clock.Subscribe("pause between polls for held flows", watchPause)
	defer end.Cancel()
	select {
	case <-ctx.Done():
	case <-end.C:
	}
}

func (e *Exchanger) poll(ctx context.Context, replica netip.AddrPort, req *flowsharer.WatchRequest) (*flowsharer.WatchResponse, error) {
	call, cancel := context.WithTimeout(ctx, flowsharer.MaxWait+roundTripAllowance)
	defer cancel()
	response, err := transporter.Call[flowsharer.WatchRequest, flowsharer.WatchResponse](call, e.options.Pool, replica, flowsharer.WatchMethod, req)
	if err != nil {
		return nil, err
	}
	return response, response.Check()
}
