// Command gateway serves requests over HTTP and dispatches them to backend
// servers. See docs/requests.md.
package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"go.uber.org/fx"

	"github.com/redwingledge/redwingledge/gateway/routers"
	"github.com/redwingledge/redwingledge/gateway/services/watcher"
	"github.com/redwingledge/redwingledge/shared/modules/registrar"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/runner"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var s settings
	if err := setting.Parse(&s, args, "gateway", "Runs the gateway process of redwingledge.", os.Stdout); errors.Is(err, setting.ErrHelpShown) {
		return nil
	} else if err != nil {
		return err
	}
	return runner.Run(context.Background(), s.CommonSettings, os.Stdout, fx.Supply(&s), fx.Provide(loadTLS, newGateway), fx.Invoke(start, startAnnouncing))
}

func loadTLS(s *settings) (*tls.Config, error) { return s.Load() }

func newGateway(s *settings, certificates *tls.Config, clock timer.Service, counters *reporter.Counters, readiness *reporter.Readiness,
	registry *registrar.Registry, logger *slog.Logger,
) (*routers.Gateway, error) {
	config := s.config()
	config.TLS = certificates
	config.Source = watcher.NewFileSource(s.ViewFile)
	if len(s.Entries) > 0 {
		config.Source = watcher.NewEntrySource(s.Name, s.Entries, transporter.NewPool(config.TLS))
	}
	config.Clock, config.Counters, config.Readiness = clock, counters, readiness
	config.Registry, config.Logger = registry, logger
	return routers.NewGateway(config)
}

func start(lc fx.Lifecycle, gateway *routers.Gateway) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			gateway.Start()
			return nil
		},
		OnStop: gateway.Stop,
	})
}
