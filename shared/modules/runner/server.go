package runner

import (
	"context"
	"log/slog"

	"go.uber.org/fx"
)

// AppendServer adds a server to the lifecycle of the program. It calls serve in a
// goroutine at the start and stop at the end; stop must make serve return. If serve
// fails, the error is logged with the given name.
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
