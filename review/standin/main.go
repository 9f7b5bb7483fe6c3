// Command standin plays a case of the review: it starts the programs of redwingledge as processes
// and stands in for the platform, its operator, hosts and clients. It exits with 1 if a rule was
// broken, 0 if all held and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(ctx context.Context, w *world, trouble bool) error{
	"other-writer":        otherWriter,
	"late-delete":         lateDelete,
	"lapsed-drain":        lapsedDrain,
	"replaced-then-wiped": replacedThenWiped,
	"killed-then-wiped":   killedThenWiped,
	"taken-back":          takenBack,
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the record")
	program := flag.String("program", "target/redwingledge", "program of redwingledge")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: unknown case", *name)
		os.Exit(2)
	}
	w, err := newWorld(*folder, *program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, 110*time.Second)
	err = w.startMachines()
	if err == nil {
		err = play(ctx, w, *trouble)
	}
	cancel()
	stop()
	w.stopMachines()
	if err != nil {
		w.logf("the case could not run: %v", err)
		w.finish()
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
	os.Exit(w.finish())
}
