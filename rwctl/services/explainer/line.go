// Package explainer merges the logs of several VMs and selects the lines that explain what
// happened to a flow or a backend server.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a line; a longer one is an error.
const maxLineBytes = 1 << 20

// Line is one structured log line.
type Line struct {
	// VM is the name of the VM that wrote the line: the line's prefix, or else the file name.
	VM string
	// CommonTime is the time in the line's prefix, from one clock for all VMs. It is valid if
	// HasCommonTime is set.
	CommonTime    time.Duration
	HasCommonTime bool
	// Clock is the time by the clock of the VM that wrote the line, which may be wrong.
	Clock time.Time
	// Message is the log message. Fields has all fields except the time and the message.
	Message string
	Fields  map[string]string
	// Text is the line as it was logged, without the prefix.
	Text string
}

// Read returns the structured lines of a log; lines without "time=" and "msg=" are skipped. A
// collector may have prefixed lines with a common time in seconds and the name of the VM. Lines
// without the prefix get the given name as VM.
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
			line.CommonTime, line.HasCommonTime, line.VM = time.Duration(seconds*float64(time.Second)), true, prefix[1]
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
			// An invalid time stays zero and is shown as such.
			line.Clock, _ = time.Parse(time.RFC3339Nano, value)
		default:
			line.Fields[key] = value
		}
	}
	return line, line.Message != ""
}

// cutField splits the first key=value off the text. Values may be quoted. It returns an empty key
// for a word without a value.
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
