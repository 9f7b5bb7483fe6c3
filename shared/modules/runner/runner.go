// Package runner builds a program from its components with fx and runs it until a
// signal stops it.
package runner

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/registrar"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// startTimeout is the maximum time for the start of all services.
const startTimeout = 30 * time.Second

// CommonSettings are the settings that all server programs have.
type CommonSettings struct {
	log.Settings `embed:""`
	setting.TLS  `embed:""`

	AdminAddress netip.AddrPort `name:"admin-address" env:"REDWINGLEDGE_ADMIN_ADDRESS" default:"127.0.0.1:0" help:"IP:PORT of the admin server with counters and readiness; port 0 picks a free one."`
	StopTimeout  time.Duration  `name:"stop-timeout" env:"REDWINGLEDGE_STOP_TIMEOUT" default:"75s" help:"Longest duration of a graceful stop, such as 75s."`
}

// CheckCommon adds a problem for each invalid value.
func (c CommonSettings) CheckCommon(problems *setting.Problems) {
	c.CheckTLS(problems)
	problems.CheckListen("admin-address", c.AdminAddress, c.HasCertificates())
	if c.StopTimeout <= 0 {
		problems.Addf("stop-timeout", "must be above 0")
	}
}

// Run starts a program with the components that options provide and those that all
// programs have (registry, timer, counters, readiness, logger, admin server). It
// stops the program gracefully at SIGTERM or SIGINT or when ctx ends. A second
// signal terminates the process immediately. Run returns an error if the program
// cannot be built, started or stopped, or if a service failed.
func Run(ctx context.Context, common CommonSettings, logOutput io.Writer, options ...fx.Option) error {
	dropped := new(expvar.Int)
	logWriter := log.NewWriter(logOutput, dropped)
	defer logWriter.Close()
	logger := log.New(logWriter, common.Settings)
	slog.SetDefault(logger)
	app := fx.New(
		fx.Supply(logger, common),
		fx.Invoke(func(counters *reporter.Counters) {
			counters.Func("log_lines_dropped", func() any { return dropped.Value() })
		}),
		fx.Provide(registrar.NewRegistry, reporter.NewCounters, newReadiness),
		fx.Provide(func() timer.Service { return timer.NewSystem() }),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(common.StopTimeout),
		fx.Invoke(startAdminServer),
		fx.Options(options...),
	)
	if err := app.Err(); err != nil {
		return fmt.Errorf("assemble the program: %w", err)
	}
	signals, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopSignals()
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return fmt.Errorf("start the program: %w", err)
	}
	logger.Info("started")
	var exitCode int
	select {
	case <-signals.Done():
		stopSignals()
	case exit := <-app.Wait():
		exitCode = exit.ExitCode
	}
	logger.Info("stopping")
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), common.StopTimeout)
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop the program: %w", err)
	}
	logger.Info("stopped")
	if exitCode != 0 {
		return errors.New("a service failed; see the log")
	}
	return nil
}

func newReadiness() *reporter.Readiness { return new(reporter.Readiness) }

// startAdminServer starts the admin server. It does nothing if the program has no
// admin address because it serves its counters elsewhere.
func startAdminServer(lc fx.Lifecycle, common CommonSettings, counters *reporter.Counters, readiness *reporter.Readiness, logger *slog.Logger) error {
	if !common.AdminAddress.IsValid() {
		return nil
	}
	server, err := reporter.Listen(common.AdminAddress, counters, readiness)
	if err != nil {
		return err
	}
	logger.Info("admin server listens", "address", server.Addr())
	AppendServer(lc, logger, "admin server", server.Serve, server.Shutdown)
	return nil
}
