// Command gateway is described in docs/design.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/redwingledge/redwingledge/shared/modules/runner"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

type settings struct {
	runner.Common `embed:""`

	Version kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// Check adds a problem for each wrong value.
func (s *settings) Check(problems *setting.Problems) { s.CheckCommon(problems) }

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
	return runner.Run(context.Background(), s.Common, os.Stderr)
}
