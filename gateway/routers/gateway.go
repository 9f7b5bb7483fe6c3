package routers

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/claimer"
	"github.com/redwingledge/redwingledge/gateway/services/dispatcher"
	"github.com/redwingledge/redwingledge/gateway/services/scheduler"
	"github.com/redwingledge/redwingledge/gateway/services/watcher"
	"github.com/redwingledge/redwingledge/shared/modules/registrar"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Names under which the services of a gateway are registered.
const (
	NameWatcher   = "watcher"
	NameClaimer   = "claimer"
	NameScheduler = "scheduler"
)

// Config contains the settings and dependencies of a Gateway.
type Config struct {
	Name     string
	HTTP     Settings
	Peer     netip.AddrPort
	TLS      *tls.Config
	Claims   claimer.Settings
	Slots    scheduler.Settings
	Attempts dispatcher.Settings
	// DrainDelay is the time at a stop during which requests are still accepted,
	// while the fabric learns that the gateway is not ready.
	DrainDelay time.Duration
	Source     viewer.Source
	Clock      timer.Service
	Counters   *reporter.Counters
	Readiness  *reporter.Readiness
	Registry   *registrar.Registry
	Logger     *slog.Logger
}

// Gateway runs all services of a gateway process.
type Gateway struct {
	config     Config
	watcher    *watcher.Service
	claimer    *claimer.Service
	scheduler  *scheduler.Service
	dispatcher *dispatcher.Dispatcher
	client     *PeerClient
	peer       *transporter.Server
	server     *Server
	stopOnce   sync.Once
	stopErr    error
}

// NewGateway binds the addresses of a gateway. Start starts it.
func NewGateway(config Config) (*Gateway, error) {
	g := &Gateway{config: config}
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	g.watcher = watcher.NewService(config.Source, config.Clock, config.Logger, g.onView)
	g.client = NewPeerClient(config.TLS, g.watcher.View)
	g.claimer = claimer.NewService(claimer.New(config.Claims, config.Clock.Now(), rng()), config.Clock, g.client)
	g.scheduler = scheduler.NewService(scheduler.New(config.Slots, rng()), config.Clock, g.client)
	g.dispatcher = dispatcher.New(g.scheduler, config.Attempts, config.Clock, config.Counters, config.Logger)
	var err error
	if g.peer, err = ListenPeer(config.Peer, config.TLS, g.claimer, g.scheduler); err != nil {
		return nil, err
	}
	g.server, err = Listen(config.HTTP, config.TLS, g.watcher.View, g.claimer, g.dispatcher, config.Clock, config.Counters, config.Logger)
	if err != nil {
		g.peer.Stop()
		return nil, err
	}
	config.Counters.Func("view_version", func() any { return g.watcher.View().Version })
	config.Counters.Func("view_age_seconds", func() any { return g.watcher.Age().Seconds() })
	return g, errors.Join(
		config.Registry.Register(NameWatcher, g.watcher),
		config.Registry.Register(NameClaimer, g.claimer),
		config.Registry.Register(NameScheduler, g.scheduler),
	)
}

// HTTPAddr returns the address for callers.
func (g *Gateway) HTTPAddr() netip.AddrPort { return g.server.Addr() }

// PeerAddr returns the address for other gateways.
func (g *Gateway) PeerAddr() netip.AddrPort { return netip.MustParseAddrPort(g.peer.Addr()) }

// onView passes a new view to the services. The gateway is ready once it has a view.
func (g *Gateway) onView(view viewer.View) {
	g.claimer.Push(claimer.ListChanged{Gateways: view.SortedGateways()})
	g.scheduler.Push(scheduler.ViewChanged{View: view})
	g.config.Readiness.Set(!g.server.draining.Load())
	g.config.Logger.Info("view changed", "version", view.Version, "gateways", len(view.Gateways), "backends", len(view.Backends))
}

// Start starts all services. Failures of servers are logged.
func (g *Gateway) Start() {
	g.claimer.Run()
	g.scheduler.Run()
	g.watcher.Run()
	go g.logFailure("peer server", g.peer.Serve)
	go g.logFailure("HTTP server", g.server.Serve)
	if share := g.config.Attempts.SecondSendShare; share > 0 {
		g.config.Logger.Info("second sends are on", "share", share)
	}
	g.config.Logger.Info("gateway listens", "http", g.HTTPAddr(), "peer", g.PeerAddr())
}

func (g *Gateway) logFailure(name string, serve func() error) {
	if err := serve(); err != nil {
		g.config.Logger.Error(name+" failed", "error", err)
	}
}

// Stop stops the gateway gracefully: accepted requests are finished, claims and
// the ownership of backend servers are handed over. It returns an error if
// requests were aborted because ctx ended. Further calls return the same error.
func (g *Gateway) Stop(ctx context.Context) error {
	g.stopOnce.Do(func() { g.stopErr = g.stop(ctx) })
	return g.stopErr
}

func (g *Gateway) stop(ctx context.Context) error {
	g.server.Drain()
	g.config.Readiness.Set(false)
	g.scheduler.Push(scheduler.Leave{})
	select {
	case <-time.After(g.config.DrainDelay):
	case <-ctx.Done():
	}
	err := g.server.Shutdown(ctx)
	g.claimer.HandOverAll(ctx)
	g.peer.GracefulStop(ctx)
	g.watcher.Close()
	g.scheduler.Close()
	g.claimer.Close()
	g.dispatcher.Close()
	g.client.Close()
	return err
}
