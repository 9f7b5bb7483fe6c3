// Command rwdemo runs the whole system on one machine, drains a backend server and restarts an
// entry under load, and checks that the flows survive.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/redwingledge/redwingledge/demo/services/demonstrator"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

// maxEntries limits the size of the demonstration. Its declaration lists this number of entries.
const maxEntries = 8

type settings struct {
	Programs string `name:"programs" default:"bin" help:"Folder with the programs control, entry, gateway and rwctl."`
	Folder   string `name:"folder" help:"Folder for logs and data; by default a temporary one that is removed after success."`
	Entries  int    `name:"entries" default:"2" help:"Number of entries, 1 to 8."`
	Seed     uint64 `name:"seed" default:"1" help:"Seed of the random choices of the fabric."`

	Version kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// Check adds a problem for each invalid value.
func (s *settings) Check(problems *setting.Problems) {
	if s.Entries < 1 || s.Entries > maxEntries {
		problems.Addf("entries", "%d is not between 1 and %d", s.Entries, maxEntries)
	}
	if _, err := os.Stat(filepath.Join(s.Programs, "entry")); err != nil {
		problems.Addf("programs", "%v; build them with ./demo.sh", err)
	}
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "rwdemo:", err)
		os.Exit(1)
	}
}

func run(args []string) (err error) {
	var s settings
	if err := setting.Parse(&s, args, "rwdemo", "Runs the whole system on one machine and shows flows that survive a drain.", os.Stdout); errors.Is(err, setting.ErrHelpShown) {
		return nil
	} else if err != nil {
		return err
	}
	isTemporary := s.Folder == ""
	if isTemporary {
		if s.Folder, err = os.MkdirTemp("", "rwdemo"); err != nil {
			return fmt.Errorf("create a folder: %w", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := demonstrate(ctx, s); err != nil {
		return fmt.Errorf("%w\nlogs are in %s", err, s.Folder)
	}
	if isTemporary {
		return os.RemoveAll(s.Folder)
	}
	return nil
}

func demonstrate(ctx context.Context, s settings) (err error) {
	system, err := demonstrator.Start(ctx, demonstrator.Settings{Programs: s.Programs, Folder: s.Folder, Seed: s.Seed})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, system.Stop(context.WithoutCancel(ctx))) }()
	show := func(text string) { fmt.Print(text) }
	if err := system.Prepare(ctx, s.Entries, show); err != nil {
		return err
	}
	if err := system.Demonstrate(ctx, show); err != nil {
		return err
	}
	if err := system.StartGateway(ctx); err != nil {
		return err
	}
	if err := system.ConnectToGateway(ctx, show); err != nil {
		return err
	}
	if err := system.SendOrders(ctx, show); err != nil {
		return err
	}
	fmt.Println("all flows survived and all orders ran once")
	return nil
}
