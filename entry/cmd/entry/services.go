package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/routers/communicator"
	"github.com/redwingledge/redwingledge/entry/routers/loadreporter"
	"github.com/redwingledge/redwingledge/entry/routers/processor"
	"github.com/redwingledge/redwingledge/entry/routers/publisher"
	"github.com/redwingledge/redwingledge/entry/routers/receiver"
	"github.com/redwingledge/redwingledge/entry/routers/transceiver"
	"github.com/redwingledge/redwingledge/entry/services/forwarder"
	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/registrar"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/runner"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Names under which services are registered.
const (
	servicePackets   = "packets"
	servicePeers     = "peers"
	serviceProcessor = "decider"
)

// handOverTimeout bounds the hand-over of known flows to peers at a planned stop. The
// placement takes up to 30 s for it.
const handOverTimeout = 35 * time.Second

// readinessPollInterval is the interval between readiness checks.
const readinessPollInterval = 100 * time.Millisecond

// Range of the message kinds that the placement handles.
const (
	firstPlacementKind messenger.Kind = 50
	lastPlacementKind  messenger.Kind = 99
)

// services assembles the entry. The hooks start in this order and stop in reverse order.
func services() fx.Option {
	return fx.Options(
		fx.Provide(loadTLS),
		fx.Invoke(startPackets, startPeers, startProcessor, startViews, startAnnouncements, startLoadReports, startReadiness),
	)
}

func loadTLS(s settings) (*tls.Config, error) { return s.Load() }

// startPackets binds the packet socket. startProcessor starts it.
func startPackets(lc fx.Lifecycle, s settings, registry *registrar.Registry, logger *slog.Logger, counters *reporter.Counters) error {
	socket, err := transceiver.Listen(s.PacketAddress, logger, counters)
	if err != nil {
		return err
	}
	lc.Append(fx.Hook{OnStop: socket.Close})
	return registry.Register(servicePackets, socket)
}

// startPeers serves the gRPC address and joins the membership.
func startPeers(lc fx.Lifecycle, s settings, config *tls.Config, registry *registrar.Registry, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) error {
	socket, err := registrar.Lookup[*transceiver.Socket](registry, servicePackets)
	if err != nil {
		return err
	}
	seed := s.Seed
	if seed == 0 {
		seed = uint64(clock.Now().UnixNano())
	}
	service := communicator.New(communicator.Options{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, PacketAddress: socket.Addr(),
		Seeds: s.Seeds, Control: s.Control, Lease: s.Lease, TLS: config, Seed: seed,
		Timer: clock, Counters: counters, Logger: logger,
	})
	viewService := publisher.NewService(publisher.Options{
		View: service.View, Process: uint64(clock.Now().UnixNano()), WithCertificates: config != nil, Counters: counters,
	})
	server, err := transporter.Listen(s.GRPCAddress, config, service.GRPCService(), viewService)
	if err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(server.Addr())
	if err != nil {
		return fmt.Errorf("read the bound gRPC address: %w", err)
	}
	runner.AppendServer(lc, logger, "gRPC server", server.Serve, func(ctx context.Context) error {
		server.GracefulStop(ctx)
		return nil
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			service.Start(address)
			return nil
		},
		OnStop: func(context.Context) error {
			service.Stop()
			return nil
		},
	})
	return registry.Register(servicePeers, service)
}

// startProcessor starts the packet path.
func startProcessor(lc fx.Lifecycle, s settings, registry *registrar.Registry, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) error {
	socket, errSocket := registrar.Lookup[*transceiver.Socket](registry, servicePackets)
	peerService, errPeers := registrar.Lookup[*communicator.Service](registry, servicePeers)
	if err := errors.Join(errSocket, errPeers); err != nil {
		return err
	}
	config := placer.DefaultConfig(s.Name, s.DataCentre)
	config.MaxFlows, config.ActivationDelay = s.Flows, s.Hold
	machine := placer.NewMachine(config, clock.Now())
	packetForwarder := forwarder.New(forwarder.Settings{Name: s.Name, VNI: s.VNI, Fabric: s.FabricAddress}, machine, socket, counters)
	packetProcessor := processor.New(packetForwarder, machine, peerService, clock, logger, counters)
	peerService.RegisterHandler(firstPlacementKind, lastPlacementKind, packetProcessor.HandleMessage)
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			packetProcessor.Start(ctx)
			socket.Start(packetProcessor.HandleDatagram)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			packetProcessor.Stop()
			return nil
		},
	})
	return registry.Register(serviceProcessor, packetProcessor)
}

// startViews passes view changes from the membership to the packet path.
func startViews(lc fx.Lifecycle, registry *registrar.Registry) error {
	packetProcessor, errProcessor := registrar.Lookup[*processor.Processor](registry, serviceProcessor)
	peerService, errPeers := registrar.Lookup[*communicator.Service](registry, servicePeers)
	if err := errors.Join(errProcessor, errPeers); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				packetProcessor.Watch(ctx, peerService)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			return nil
		},
	})
	return nil
}

// startAnnouncements serves the announcement endpoint for backend servers.
func startAnnouncements(lc fx.Lifecycle, s settings, config *tls.Config, registry *registrar.Registry, counters *reporter.Counters, logger *slog.Logger) error {
	peerService, err := registrar.Lookup[*communicator.Service](registry, servicePeers)
	if err != nil {
		return err
	}
	handler := receiver.NewHandler(peerService, func() *cataloger.Catalog { return peerService.View().Catalog }, counters)
	server, err := receiver.Listen(s.AnnounceAddress, config, handler)
	if err != nil {
		return err
	}
	runner.AppendServer(lc, logger, "announcement server", server.Serve, server.Shutdown)
	return nil
}

// startLoadReports starts the load reports to control.
func startLoadReports(lc fx.Lifecycle, s settings, config *tls.Config, registry *registrar.Registry, clock timer.Service, counters *reporter.Counters) error {
	packetProcessor, err := registrar.Lookup[*processor.Processor](registry, serviceProcessor)
	if err != nil {
		return err
	}
	pool := transporter.NewPool(config)
	loadSender := loadreporter.New(loadreporter.Options{Name: s.Name, Control: s.Control, Pool: pool, Source: packetProcessor, Timer: clock, Counters: counters})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { loadSender.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			pool.Close()
			return nil
		},
	})
	return nil
}

// startReadiness reports the entry as ready once packets can be placed. Its hook stops
// first: readiness is switched off, so that the fabric sends no more packets, the known
// flows are handed over to the entry's successors, and packets are still forwarded for the
// drain delay.
func startReadiness(lc fx.Lifecycle, s settings, registry *registrar.Registry, clock timer.Service, readiness *reporter.Readiness) error {
	packetProcessor, errProcessor := registrar.Lookup[*processor.Processor](registry, serviceProcessor)
	peerService, errPeers := registrar.Lookup[*communicator.Service](registry, servicePeers)
	if err := errors.Join(errProcessor, errPeers); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	ticks := clock.Subscribe("readiness", readinessPollInterval)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				reportReadiness(ctx, ticks, packetProcessor, readiness)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			<-done
			ticks.Cancel()
			readiness.Set(false)
			drained := clock.Subscribe("drain", max(s.DrainDelay, time.Millisecond))
			defer drained.Cancel()
			handOver, cancelHandOver := context.WithTimeout(stop, handOverTimeout)
			defer cancelHandOver()
			packetProcessor.Leave(handOver)
			peerService.Leave(stop)
			select {
			case <-drained.C:
			case <-stop.Done():
			}
			return nil
		},
	})
	return nil
}

func reportReadiness(ctx context.Context, ticks *timer.Subscription, packetProcessor *processor.Processor, readiness *reporter.Readiness) {
	for {
		select {
		case <-ticks.C:
			readiness.Set(packetProcessor.IsReady())
		case <-ctx.Done():
			return
		}
	}
}
