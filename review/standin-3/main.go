// Command standin-3 plays the scripts of the third review: it starts the project's programs with the commands of the
// deploy file on loopback addresses, acts as platform, operator, backend servers and callers, and checks one rule.
//
//	standin-3 CASE FOLDER
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// play is what a case needs.
type play struct {
	*recorder

	// isTroubled is set if the disruption takes place.
	isTroubled bool
	// folder is a temporary folder for settings, disks and logs.
	folder string
}

func main() {
	cases := map[string]func(*play) error{"replaced": playReplaced, "stopped": playStopped, "tolerance": playTolerance, "service": playService}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 replaced|stopped|tolerance|service FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(playCase func(*play) error, folder string) int {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
		return 2
	}
	defer record.close()
	temporary, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		record.printf("could not run: %v", err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	p := &play{recorder: record, isTroubled: os.Getenv("TROUBLE") != "0", folder: temporary}
	p.printf("disruption: %t", p.isTroubled)
	switch err := playCase(p); {
	case errors.Is(err, errBroken):
		p.printf("BROKEN: %v", err)
		return 1
	case err != nil:
		p.printf("could not run: %v", err)
		return 2
	default:
		p.printf("held")
		return 0
	}
}
