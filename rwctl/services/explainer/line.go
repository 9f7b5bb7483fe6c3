// Package explainer puts the log lines of several VMs in order and finds those that
// explain what happened to one flow or one backend server.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes bounds a line; longer ones are an error.
const maxLineBytes = 1 << 20

// Line is one structured log line.
type Line struct {
	// VM is the one that wrote the line: the name in front of the line, or else the
	// name of the file.
	VM string
	// At is the time in front of the line, which is common to all VMs. It is
	// meaningful if HasAt is set.
	At    time.Duration
	HasAt bool
	// Clock is the time of day of the VM that wrote the line, which may be wrong.
	Clock time.Time
	// Message is the kind of the line, Fields has all other fields.
	Message string
	Fields  map[string]string
	// Text is the line as it was written.
	Text string
}

// Read returns the structured lines of a log. Lines that a collector has prefixed
// with a common time in seconds and the name of the VM keep both; other lines
// without "msg=" are left out.
func Read(r io.Reader, name string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Text(), name); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log %s: %w", name, err)
	}
	return lines, nil
}

func parse(text, name string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 || !strings.Contains(text, "msg=") {
		return Line{}, false
	}
	line := Line{VM: name, Fields: make(map[string]string), Text: text[start:]}
	if prefix := strings.Fields(text[:start]); len(prefix) == 2 {
		if seconds, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			line.At, line.HasAt, line.VM = time.Duration(seconds*float64(time.Second)), true, prefix[1]
		}
	}
	for rest := line.Text; rest != ""; {
		var key, value string
		key, value, rest = cutField(rest)
		switch key {
		case "":
		case "msg":
			line.Message = value
		case "time":
			// A time that cannot be read stays zero and is shown as such.
			line.Clock, _ = time.Parse(time.RFC3339Nano, value)
		default:
			line.Fields[key] = value
		}
	}
	return line, line.Message != ""
}

// cutField splits the first key=value off. Values may be quoted.
func cutField(text string) (key, value, rest string) {
	text = strings.TrimLeft(text, " ")
	key, rest, ok := strings.Cut(text, "=")
	if !ok || strings.Contains(key, " ") {
		_, rest, _ = strings.Cut(text, " ")
		return "", "", rest
	}
	if strings.HasPrefix(rest, `"`) {
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			if value, err := strconv.Unquote(quoted); err == nil {
				return key, value, rest[len(quoted):]
			}
		}
	}
	value, rest, _ = strings.Cut(rest, " ")
	return key, value, rest
}
