package main

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"log/slog"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/redwingledge/redwingledge/control/routers/operators"
	"github.com/redwingledge/redwingledge/control/services/adapter"
	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/control/services/supervisor"
	"github.com/redwingledge/redwingledge/shared/modules/registrar"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/runner"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// serviceReplica is the name under which the *supervisor.Supervisor is registered.
const serviceReplica = "replica"

// readinessInterval is the interval of the readiness check.
const readinessInterval = 100 * time.Millisecond

// membershipPeriod is the interval at which the membership is compared with the
// configuration.
const membershipPeriod = 2 * time.Second

// operatorStopTimeout bounds the wait for open calls of operators when the program stops.
const operatorStopTimeout = 5 * time.Second

// services assembles the replica. Hooks start in this order and stop in reverse order.
func services() fx.Option {
	return fx.Options(
		fx.Provide(loadTLS, planner.NewMachine, newReplica, newApplier, newRouter),
		fx.Invoke(startReplica, startServer, startOperators, startMembership, startReadiness),
	)
}

func loadTLS(s settings) (*tls.Config, error) { return s.Load() }

func newApplier(machine *planner.Machine) replicator.Applier {
	return adapter.Applier{Machine: machine}
}

func newRouter(s settings, replica *supervisor.Supervisor, machine *planner.Machine, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) *operators.Router {
	service := planner.NewService(adapter.NewProposer(replica, machine), machine, clock, rand.Reader)
	return operators.New(service, s.Settings, s.HasCertificates(), counters, logger)
}

// newReplica registers the replica, which its first start hook opens.
func newReplica(s settings, config *tls.Config, applier replicator.Applier, registry *registrar.Registry, counters *reporter.Counters, logger *slog.Logger) (*supervisor.Supervisor, error) {
	replica := supervisor.New(supervisor.Options{
		Replication: s.replicationSettings, Storage: s.storeSettings, Applier: applier,
		Timer: timer.NewBootTime(), TLS: config, Counters: counters, Logger: logger,
	})
	counters.Func("replica_data_bytes", func() any {
		size, err := replica.DataSize()
		if err != nil {
			return err.Error()
		}
		return size
	})
	return replica, registry.Register(serviceReplica, replica)
}

// startReplica opens the replica and keeps it running. The program does not start with a store that
// cannot be opened.
func startReplica(lc fx.Lifecycle, replica *supervisor.Supervisor) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := replica.Open(); err != nil {
				return err
			}
			running.Go(func() { replica.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}

// grpcServices are the additional services of the gRPC address, which other packages
// provide to fx in the group "grpc".
type grpcServices struct {
	fx.In

	Others []*transporter.Service `group:"grpc"`
}

func startServer(lc fx.Lifecycle, s settings, config *tls.Config, replica *supervisor.Supervisor, all grpcServices, logger *slog.Logger) error {
	server, err := transporter.Listen(s.GRPCAddress, config, append(all.Others, replica.Service())...)
	if err != nil {
		return err
	}
	runner.AppendServer(lc, logger, "gRPC server", server.Serve, func(ctx context.Context) error {
		server.GracefulStop(ctx)
		return nil
	})
	return nil
}

// startOperators serves operators, entries and gateways, and closes expired plans.
func startOperators(lc fx.Lifecycle, s settings, config *tls.Config, router *operators.Router, clock timer.Service, logger *slog.Logger) error {
	server, err := transporter.Listen(s.OperatorAddress, operators.ServerTLS(config), router.Services()...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { router.RunExpiry(ctx, clock) })
			running.Go(func() {
				if err := server.Serve(); err != nil {
					logger.Error("operators' server failed", "error", err)
				}
			})
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			// Long polls of entries last up to 30 s and lose nothing when aborted.
			ctx, cancelStop := context.WithTimeout(stop, operatorStopTimeout)
			defer cancelStop()
			server.GracefulStop(ctx)
			running.Wait()
			return nil
		},
	})
	return nil
}

// startMembership admits the replicas that the configuration lists and removes
// those that it no longer lists.
func startMembership(lc fx.Lifecycle, replica *supervisor.Supervisor, machine *planner.Machine, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	ticks := clock.Subscribe("replica membership", membershipPeriod)
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() {
				for {
					select {
					case <-ctx.Done():
						return
					case <-ticks.C:
						replica.AdmitReplicas(adapter.FindAdmittedReplicas(replica.Status(), machine.Catalog()))
						removeUnlistedReplicas(ctx, replica, machine, counters, logger)
					}
				}
			})
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			ticks.Cancel()
			return nil
		},
	})
}

func removeUnlistedReplicas(ctx context.Context, replica *supervisor.Supervisor, machine *planner.Machine, counters *reporter.Counters, logger *slog.Logger) {
	status := replica.Status()
	if status.Role != replicator.RoleLeader || !status.HasQuorum {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, membershipPeriod)
	defer cancel()
	if adapter.IsOnlyUnlisted(status, machine.Catalog()) {
		logger.Info("transferring leadership because the configuration no longer lists this replica")
		replica.TransferLeadership(ctx)
		return
	}
	for _, name := range adapter.FindUnlisted(status, machine.Catalog()) {
		if err := replica.RemoveReplica(ctx, name); err != nil {
			counters.Int("replica_removal_failures").Add(1)
			continue
		}
		logger.Info("removed a replica that the configuration no longer lists", "name", name)
	}
}

// startReadiness reports the replica as ready while it knows a leader with a quorum.
// Its hook stops first, and transfers leadership to another replica.
func startReadiness(lc fx.Lifecycle, s settings, replica *supervisor.Supervisor, clock timer.Service, readiness *reporter.Readiness) {
	ticks := clock.Subscribe("readiness", readinessInterval)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				for {
					select {
					case <-ctx.Done():
						return
					case <-ticks.C:
						readiness.Set(replica.Status().HasQuorum)
					}
				}
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			<-done
			ticks.Cancel()
			readiness.Set(false)
			stop, cancelStop := context.WithTimeout(stop, s.transferTimeout())
			defer cancelStop()
			replica.PrepareStop(stop)
			return nil
		},
	})
}
