package explainer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/redwingledge/redwingledge/shared/modules/log"
)

// Query names what to explain. At least one field must be set.
type Query struct {
	// Caller is the address of the caller of a flow, with or without the port.
	Caller string
	// Host is the name of a backend server.
	Host string
}

// Sort puts lines in order: by the common time where all lines have one, else by
// the clocks of the VMs, which may differ.
func Sort(lines []Line) {
	common := !slices.ContainsFunc(lines, func(l Line) bool { return !l.HasAt })
	slices.SortStableFunc(lines, func(a, b Line) int {
		if common {
			return cmp.Compare(a.At, b.At)
		}
		return a.Clock.Compare(b.Clock)
	})
}

// Explain returns the lines that tell the life of a flow or of a backend server, in
// order: those that name it, those that name the backend servers it was placed at
// and others at their addresses, and before each decision the last change of what
// its VM believed.
func Explain(lines []Line, q Query) []Line {
	lines = slices.Clone(lines)
	Sort(lines)
	subject := newSubject(lines, q)
	chosen := make(map[int]bool)
	for i, line := range lines {
		switch {
		case subject.isDecision(line):
			chosen[i] = true
			if j := lastBelief(lines[:i], line.VM); j >= 0 {
				chosen[j] = true
			}
		case subject.isAboutServer(line):
			chosen[i] = true
		}
	}
	var explained []Line
	for i, line := range lines {
		if chosen[i] {
			explained = append(explained, line)
		}
	}
	return explained
}

// subject is what a query turned out to be about.
type subject struct {
	query                    Query
	tokens, hosts, addresses map[string]bool
}

// newSubject follows the query from the flow to its backend servers, and from these
// to their addresses.
func newSubject(lines []Line, q Query) subject {
	s := subject{query: q, tokens: make(map[string]bool), hosts: make(map[string]bool), addresses: make(map[string]bool)}
	if q.Host != "" {
		s.hosts[q.Host] = true
	}
	for _, line := range lines {
		if s.isOfCaller(line) {
			s.tokens[line.Fields[log.FieldToken]] = true
			s.tokens[line.Fields["tried"]] = true
			s.hosts[line.Fields[log.FieldHost]] = true
		}
	}
	for _, line := range lines {
		if line.Message == "announcement received" && (s.hosts[line.Fields[log.FieldHost]] || s.tokens[line.Fields[log.FieldToken]]) {
			s.hosts[line.Fields[log.FieldHost]] = true
			s.tokens[line.Fields[log.FieldToken]] = true
			s.addresses[line.Fields[log.FieldAddress]] = true
		}
	}
	for _, known := range []map[string]bool{s.tokens, s.hosts, s.addresses} {
		delete(known, "")
		delete(known, "0")
	}
	return s
}

func (s subject) isOfCaller(line Line) bool {
	caller := line.Fields[log.FieldCaller]
	return s.query.Caller != "" && caller != "" && (caller == s.query.Caller || strings.HasPrefix(caller, s.query.Caller+":"))
}

// isDecision reports whether the line is a decision about the flow, or about a
// flow at the backend server that the query names.
func (s subject) isDecision(line Line) bool {
	if s.query.Caller != "" {
		return s.isOfCaller(line)
	}
	return line.Fields[log.FieldCaller] != "" && (s.hosts[line.Fields[log.FieldHost]] || s.tokens[line.Fields[log.FieldToken]])
}

// isAboutServer reports whether the line tells what happened to a backend server
// of the subject.
func (s subject) isAboutServer(line Line) bool {
	switch line.Message {
	case "announcement received":
		return s.hosts[line.Fields[log.FieldHost]] || s.addresses[line.Fields[log.FieldAddress]]
	case "withdrawal received":
		return s.hosts[line.Fields[log.FieldHost]]
	case "leases expired":
		return slices.ContainsFunc(strings.Fields(strings.Trim(line.Fields["tokens"], "[]")), func(t string) bool { return s.tokens[t] })
	}
	return false
}

// lastBelief returns the position of the last line in which a VM changed what it
// believes, or -1.
func lastBelief(lines []Line, vm string) int {
	for i, line := range slices.Backward(lines) {
		if line.VM != vm {
			continue
		}
		switch line.Message {
		case "view changed", "control replica lost", "control replica followed", "started":
			return i
		}
	}
	return -1
}

// Format returns a line for reading: the common time if there is one, the VM, its
// own clock, the message, and the other fields as they were written.
func Format(line Line) string {
	at := "-"
	if line.HasAt {
		at = fmt.Sprintf("%.4f", line.At.Seconds())
	}
	_, rest, _ := strings.Cut(line.Text, "msg=")
	return fmt.Sprintf("%10s  %-22s %s  %s", at, line.VM, line.Clock.Format("15:04:05.000"), rest)
}
