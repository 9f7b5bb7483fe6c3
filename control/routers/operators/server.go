package operators

import (
	"context"
	"crypto/tls"

	"go.uber.org/fx"

	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Start binds the operator address immediately, and serves the router and closes
// expired plans while the program runs. A nil config serves without TLS. When the
// program stops, long polls are answered early and other open calls are finished.
func Start(lc fx.Lifecycle, router *Router, config *tls.Config, clock timer.Service) (*transporter.Server, error) {
	server, err := transporter.Listen(router.settings.OperatorAddress, ServerTLS(config), router.Services()...)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			router.logger.Info("operator server listens", "address", server.Addr())
			go func() {
				if err := server.Serve(); err != nil {
					router.logger.Error("operator server failed", "error", err)
				}
			}()
			go router.RunExpiry(ctx, clock)
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			close(router.stopping)
			server.GracefulStop(stopCtx)
			return nil
		},
	})
	return server, nil
}
