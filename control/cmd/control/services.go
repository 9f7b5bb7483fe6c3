package main

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/driver"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/registrar"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// serviceReplica is the name of the replica, a *driver.Driver.
const serviceReplica = "replica"

// readyPoll is the time between two checks of readiness.
const readyPoll = 100 * time.Millisecond

// services assembles the replica. Hooks start in this order and stop in reverse.
func services() fx.Option {
	return fx.Options(
		fx.Provide(loadTLS, newReplica, newApplier),
		fx.Invoke(startReplica, startServer, startReadiness),
	)
}

func loadTLS(s settings) (*tls.Config, error) { return s.Load() }

// noCommands is the state of a control program without plans.
type noCommands struct{}

// Apply refuses every command.
func (noCommands) Apply(uint64, []byte) ([]byte, error) {
	return nil, errors.New("this program has no commands")
}

// Snapshot returns the empty state.
func (noCommands) Snapshot() ([]byte, error) { return nil, nil }

// Restore restores the empty state.
func (noCommands) Restore([]byte) error { return nil }

func newApplier() replicator.Applier { return noCommands{} }

// newReplica opens the store and registers the replica that runs on it.
func newReplica(lc fx.Lifecycle, s settings, config *tls.Config, applier replicator.Applier, registry *registrar.Registry, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) (*driver.Driver, error) {
	store, state, err := storer.Open(s.storage())
	if err != nil {
		return nil, err
	}
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return store.Close() }})
	counters.Func("replica_data_bytes", func() any {
		size, err := store.Size()
		if err != nil {
			return err.Error()
		}
		return size
	})
	logger.Info("replica loaded", "name", s.Name, "identity", state.Identity, "is_new", state.IsNew, "entries", len(state.Entries))
	replica, err := driver.New(driver.Options{
		Settings: s.replication(), Store: store, State: state, Applier: applier,
		Timer: clock, TLS: config, Counters: counters, Logger: logger,
	})
	if err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return replica, registry.Register(serviceReplica, replica)
}

func startReplica(lc fx.Lifecycle, replica *driver.Driver) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			replica.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			replica.Stop()
			return nil
		},
	})
}

// grpcServices are all services of the gRPC address. Others are provided to fx
// in the group "grpc".
type grpcServices struct {
	fx.In

	Others []*transporter.Service `group:"grpc"`
}

func startServer(lc fx.Lifecycle, s settings, config *tls.Config, replica *driver.Driver, all grpcServices, logger *slog.Logger) error {
	server, err := transporter.Listen(s.GRPCAddress, config, append(all.Others, replica.Service())...)
	if err != nil {
		return err
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := server.Serve(); err != nil {
					logger.Error("gRPC server failed", "error", err)
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			server.GracefulStop(ctx)
			return nil
		},
	})
	return nil
}

// startReadiness reports ready while a leader with a majority is known.
// It stops first, and lets another replica lead.
func startReadiness(lc fx.Lifecycle, s settings, replica *driver.Driver, clock timer.Service, readiness *reporter.Readiness) {
	ticks := clock.Subscribe("readiness", readyPoll)
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
			stop, cancelStop := context.WithTimeout(stop, s.handOverTimeout())
			defer cancelStop()
			replica.HandOver(stop)
			return nil
		},
	})
}
