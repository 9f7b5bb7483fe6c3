package runner

import (
	"context"
	"log/slog"

	"go.uber.org/fx"
)

// AppendServer serves from the start of the program until its stop. A failure of
// serve goes to the log under the given name; stop must make serve return.
func AppendServer(lc fx.Lifecycle, logger *slog.Logger, name string, serve func() error, stop func(context.Context) error) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				if err := serve(); err != nil {
					logger.Error(name+" failed", "error", err)
				}
			}()
			return nil
		},
		OnStop: stop,
	})
}
