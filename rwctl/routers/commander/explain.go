package commander

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/redwingledge/redwingledge/rwctl/services/explainer"
)

type explainCommand struct {
	Caller string   `name:"caller" help:"Address of the caller of a flow, IP or IP:PORT."`
	Host   string   `name:"host" help:"Name of a backend server."`
	Files  []string `arg:"" type:"existingfile" help:"Log files; the name of each stands for its VM unless its lines begin with a time and a VM."`
}

var errNoSubject = errors.New("name a flow with --caller or a backend server with --host")

// run reads the log files and prints the explanation. It does not contact control.
func (c explainCommand) run(w io.Writer) error {
	if c.Caller == "" && c.Host == "" {
		return errNoSubject
	}
	var lines []explainer.Line
	for _, name := range c.Files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	explained := explainer.Explain(lines, explainer.Query{Caller: c.Caller, Host: c.Host})
	if len(explained) == 0 {
		fmt.Fprintf(w, "none of %d log lines matches; lines about ordinary flows are rate-limited (field left_out)\n", len(lines))
		return nil
	}
	for _, line := range explained {
		fmt.Fprintln(w, explainer.Format(line))
	}
	return nil
}

func readLog(name string) (lines []explainer.Line, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open a log: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return explainer.Read(file, filepath.Base(name))
}
