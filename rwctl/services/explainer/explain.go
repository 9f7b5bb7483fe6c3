package explainer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/redwingledge/redwingledge/shared/modules/log"
)

// Query selects the flows or the backend server to explain. At least one field must be set.
type Query struct {
	// Caller is the address of the caller of a flow, with or without the port.
	Caller string
	// Host is the name of a backend server.
	Host string
}

// Sort sorts lines by common time if all lines have one, else by the clocks of the VMs, which may
// differ.
func Sort(lines []Line) {
	haveCommonTime := !slices.ContainsFunc(lines, func(l Line) bool { return !l.HasCommonTime })
	slices.SortStableFunc(lines, func(a, b Line) int {
		if haveCommonTime {
			return cmp.Compare(a.CommonTime, b.CommonTime)
		}
		return a.Clock.Compare(b.Clock)
	})
}

// Explain returns the lines about a flow or a backend server, sorted: those that name it, those
// about the backend servers on which the flow was placed and about others at the same addresses,
// and for each decision the last preceding state change of the VM that made it.
func Explain(lines []Line, q Query) []Line {
	lines = slices.Clone(lines)
	Sort(lines)
	subject := newSubject(lines, q)
	selected := make(map[int]bool)
	for i, line := range lines {
		switch {
		case subject.isDecision(line):
			selected[i] = true
			if j := lastStateChange(lines[:i], line.VM); j >= 0 {
				selected[j] = true
			}
		case subject.isAboutServer(line):
			selected[i] = true
		}
	}
	var explained []Line
	for i, line := range lines {
		if selected[i] {
			explained = append(explained, line)
		}
	}
	return explained
}

// subject is the set of tokens, backend servers and addresses that a query resolves to.
type subject struct {
	query                    Query
	tokens, hosts, addresses map[string]bool
}

// newSubject resolves a query: flows to their backend servers, and these to their tokens and
// addresses.
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

// isDecision reports whether the line is a forwarding decision about a flow of the queried caller,
// or, if the query has no caller, about a flow on the queried backend server.
func (s subject) isDecision(line Line) bool {
	if s.query.Caller != "" {
		return s.isOfCaller(line)
	}
	return line.Fields[log.FieldCaller] != "" && (s.hosts[line.Fields[log.FieldHost]] || s.tokens[line.Fields[log.FieldToken]])
}

// isAboutServer reports whether the line is an announcement, a withdrawal, a transition or a lease
// expiry of a backend server of the subject, or an announcement of another one at one of its addresses.
func (s subject) isAboutServer(line Line) bool {
	switch line.Message {
	case "announcement received":
		return s.hosts[line.Fields[log.FieldHost]] || s.addresses[line.Fields[log.FieldAddress]]
	case "withdrawal received", "backend server changed":
		return s.hosts[line.Fields[log.FieldHost]]
	case "leases expired":
		return slices.ContainsFunc(strings.Fields(strings.Trim(line.Fields["tokens"], "[]")), func(t string) bool { return s.tokens[t] })
	}
	return false
}

// lastStateChange returns the index of the last line that reports a change of a VM's view, a change of
// its control replica or its start, or -1.
func lastStateChange(lines []Line, vm string) int {
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

// Format returns a line in readable form: the common time in seconds if there is one, the VM, its
// clock, and the message and the other fields as they were logged.
func Format(line Line) string {
	commonTime := "-"
	if line.HasCommonTime {
		commonTime = fmt.Sprintf("%.4f", line.CommonTime.Seconds())
	}
	_, rest, _ := strings.Cut(line.Text, "msg=")
	return fmt.Sprintf("%10s  %-22s %s  %s", commonTime, line.VM, line.Clock.Format("15:04:05.000"), rest)
}
