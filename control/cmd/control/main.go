// Command control runs a control replica, which stores the configuration of redwingledge. See
// docs/replication.md for its settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"go.uber.org/fx"

	"github.com/redwingledge/redwingledge/shared/modules/runner"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "control:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	var s settings
	if err := setting.Parse(&s, args, "control", "Runs a replica of the configuration.", os.Stdout); errors.Is(err, setting.ErrHelpShown) {
		return nil
	} else if err != nil {
		return err
	}
	return runner.Run(context.Background(), s.CommonSettings, os.Stdout, fx.Supply(s), services())
}
