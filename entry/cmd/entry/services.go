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
	"github.com/redwingledge/redwingledge/entry/routers/announcements"
	"github.com/redwingledge/redwingledge/entry/routers/loadreporter"
	"github.com/redwingledge/redwingledge/entry/routers/peers"
	"github.com/redwingledge/redwingledge/entry/routers/processor"
	"github.com/redwingledge/redwingledge/entry/routers/publisher"
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
	servicePackets = "packets"
	servicePeers   = "peers"
	serviceDecider = "decider"
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
		fx.Invoke(startPackets, startPeers, startDecider, startViews, startAnnouncements, startSensor, startReadiness),
	)
}

func loadTLS(s settings) (*tls.Config, error) { return s.Load() }

// startPackets binds the packet socket. startDecider starts it.
func startPackets(lc fx.Lifecycle, s settings, registry *registrar.Registry, counters *reporter.Counters) error {
	socket, err := transceiver.Listen(s.PacketAddress, counters)
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
	service := peers.New(peers.Options{
		Name: s.Name, DataCentre: s.DataCentre, Region: s.Region, PacketAddress: socket.Addr(),
		Seeds: s.Seeds, Control: s.Control, Lease: s.Lease, TLS: config, Seed: seed,
		Timer: clock, Counters: counters, Logger: logger,
	})
	views := publisher.NewService(publisher.Options{
		View: service.View, Process: uint64(clock.Now().UnixNano()), WithCertificates: config != nil, Counters: counters,
	})
	server, err := transporter.Listen(s.GRPCAddress, config, service.GRPCService(), views)
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

// startDecider starts the packet path.
func startDecider(lc fx.Lifecycle, s settings, registry *registrar.Registry, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) error {
	socket, errSocket := registrar.Lookup[*transceiver.Socket](registry, servicePackets)
	peering, errPeers := registrar.Lookup[*peers.Service](registry, servicePeers)
	if err := errors.Join(errSocket, errPeers); err != nil {
		return err
	}
	config := placer.DefaultConfig(s.Name, s.DataCentre)
	config.MaxFlows, config.ActivationDelay = s.Flows, s.Hold
	machine := placer.NewMachine(config, clock.Now())
	packetForwarder := forwarder.New(forwarder.Settings{Name: s.Name, VNI: s.VNI, Fabric: s.FabricAddress}, machine, socket, counters)
	packets := processor.New(packetForwarder, machine, peering, clock, logger, counters)
	peering.RegisterHandler(firstPlacementKind, lastPlacementKind, packets.HandleMessage)
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			packets.Start(ctx)
			socket.Start(packets.HandleDatagram)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			packets.Stop()
			return nil
		},
	})
	return registry.Register(serviceDecider, packets)
}

// startViews passes view changes from the membership to the packet path.
func startViews(lc fx.Lifecycle, registry *registrar.Registry) error {
	packets, errDecider := registrar.Lookup[*processor.Processor](registry, serviceDecider)
	peering, errPeers := registrar.Lookup[*peers.Service](registry, servicePeers)
	if err := errors.Join(errDecider, errPeers); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				packets.Watch(ctx, peering)
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
	peering, err := registrar.Lookup[*peers.Service](registry, servicePeers)
	if err != nil {
		return err
	}
	handler := announcements.NewHandler(peering, func() *cataloger.Catalog { return peering.View().Catalog }, counters)
	server, err := announcements.Listen(s.AnnounceAddress, config, handler)
	if err != nil {
		return err
	}
	runner.AppendServer(lc, logger, "announcement server", server.Serve, server.Shutdown)
	return nil
}

// startSensor starts the load reports to control.
func startSensor(lc fx.Lifecycle, s settings, config *tls.Config, registry *registrar.Registry, clock timer.Service, counters *reporter.Counters) error {
	packets, err := registrar.Lookup[*processor.Processor](registry, serviceDecider)
	if err != nil {
		return err
	}
	pool := transporter.NewPool(config)
	loadSensor := loadreporter.New(loadreporter.Options{Name: s.Name, Control: s.Control, Pool: pool, Source: packets, Timer: clock, Counters: counters})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { loadSensor.Run(ctx) })
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
	packets, errDecider := registrar.Lookup[*processor.Processor](registry, serviceDecider)
	peering, errPeers := registrar.Lookup[*peers.Service](registry, servicePeers)
	if err := errors.Join(errDecider, errPeers); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	ticks := clock.Subscribe("readiness", readinessPollInterval)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				reportReadiness(ctx, ticks, packets, readiness)
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
			packets.Leave(handOver)
			peering.Leave(stop)
			select {
			case <-drained.C:
			case <-stop.Done():
			}
			return nil
		},
	})
	return nil
}

func reportReadiness(ctx context.Context, ticks *timer.Subscription, packets *processor.Processor, readiness *reporter.Readiness) {
	for {
		select {
		case <-ticks.C:
			readiness.Set(packets.IsReady())
		case <-ctx.Done():
			return
		}
	}
}
