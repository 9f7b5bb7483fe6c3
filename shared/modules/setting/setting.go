// Package setting reads the settings of a program from flags and environment
// variables and reports all invalid values together.
package setting

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
)

// Checker is implemented by settings that can validate their values.
type Checker interface {
	// Check adds a problem for each invalid value.
	Check(problems *Problems)
}

// Problems collects the problems of settings.
type Problems struct {
	list []string
}

// Addf adds a problem of the setting with the given flag name.
func (p *Problems) Addf(name, format string, args ...any) {
	p.list = append(p.list, fmt.Sprintf("--%s: %s", name, fmt.Sprintf(format, args...)))
}

// Err returns an error that lists all problems, or nil if there are none.
func (p *Problems) Err() error {
	if len(p.list) == 0 {
		return nil
	}
	return fmt.Errorf("%d wrong settings:\n  %s", len(p.list), strings.Join(p.list, "\n  "))
}

// CheckListen adds a problem if addr is not valid, or if it is not a loopback
// address and the program has no certificates.
func (p *Problems) CheckListen(name string, addr netip.AddrPort, hasCertificates bool) {
	if !addr.IsValid() {
		p.Addf(name, "must be IP:PORT")
		return
	}
	if !hasCertificates && !addr.Addr().IsLoopback() {
		p.Addf(name, "%s is not a loopback address; set --tls-cert, --tls-key and --tls-ca to bind others", addr)
	}
}

// ErrHelpShown reports that --help or --version was handled and the program should
// exit successfully.
var ErrHelpShown = errors.New("help was shown")

// Parse fills settings from args and the environment and validates the values. It
// writes help to w, and returns ErrHelpShown after --help or --version.
func Parse(settings Checker, args []string, name, description string, w io.Writer) error {
	exited := false
	parser, err := kong.New(settings,
		kong.Name(name), kong.Description(description), kong.Writers(w, w),
		kong.Exit(func(int) { exited = true }),
		kong.Vars{"version": Version()})
	if err != nil {
		return fmt.Errorf("build the command line of %s: %w", name, err)
	}
	if _, err := parser.Parse(args); exited {
		return ErrHelpShown
	} else if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	var problems Problems
	settings.Check(&problems)
	return problems.Err()
}

// Version returns the version of the main module, followed by the VCS revision if
// it is known.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version
}
