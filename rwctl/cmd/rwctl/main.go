// Command rwctl plans and confirms changes of redwingledge. See docs/operators.md.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/redwingledge/redwingledge/rwctl/routers/commander"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return commander.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
