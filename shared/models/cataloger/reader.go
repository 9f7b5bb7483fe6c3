package cataloger

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// reader decodes YAML nodes. It collects the problems and the line number of each
// field.
type reader struct {
	problems []Problem
	lines    map[string]int
}

// fields maps the keys of an object to the functions that read their values.
type fields map[string]func(n ast.Node, path string)

func (r *reader) addf(n ast.Node, path, format string, args ...any) {
	r.problems = append(r.problems, Problem{Line: lineOfNode(n), Path: path, Message: fmt.Sprintf(format, args...)})
}

// readObject reads the values of an object with the functions in known. It reports
// unknown and duplicate keys and keys without a value.
func (r *reader) readObject(n ast.Node, path string, known fields) {
	mapping, ok := n.(*ast.MappingNode)
	if !ok {
		r.addf(n, path, "must be an object with the keys %s", strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		return
	}
	seen := make(map[string]int)
	for _, v := range mapping.Values {
		key := v.Key.String()
		if name, ok := v.Key.(*ast.StringNode); ok {
			key = name.Value
		}
		fieldPath := strings.TrimPrefix(path+"."+key, ".")
		readValue, ok := known[key]
		if !ok {
			r.addf(v.Key, fieldPath, "is not a known key; known keys are %s", strings.Join(slices.Sorted(maps.Keys(known)), ", "))
			continue
		}
		if line, ok := seen[key]; ok {
			r.addf(v.Key, fieldPath, "is already set in line %d", line)
			continue
		}
		seen[key] = lineOfNode(v.Key)
		r.lines[fieldPath] = lineOfNode(v.Key)
		if isNull(v.Value) {
			r.addf(v.Key, fieldPath, "has no value")
			continue
		}
		readValue(v.Value, fieldPath)
	}
}

// listOf returns a function that reads a list and appends its items to target. It
// reads each item with read.
func listOf[T any](r *reader, target *[]T, read func(ast.Node, string) T) func(ast.Node, string) {
	return func(n ast.Node, path string) {
		sequence, ok := n.(*ast.SequenceNode)
		if !ok {
			r.addf(n, path, "must be a list")
			return
		}
		for i, v := range sequence.Values {
			item := fmt.Sprintf("%s[%d]", path, i)
			r.lines[item] = lineOfNode(v)
			if isNull(v) {
				r.addf(n, item, "has no value")
				continue
			}
			*target = append(*target, read(v, item))
		}
	}
}

// text returns a function that reads a string into target.
func text[T ~string](r *reader, target *T) func(ast.Node, string) {
	return func(n ast.Node, path string) { *target = T(r.readText(n, path)) }
}

func (r *reader) readText(n ast.Node, path string) string {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value
	case *ast.IntegerNode:
		// A token hash or a name may consist of digits only and need not be quoted.
		return v.Token.Value
	default:
		r.addf(n, path, "must be a text; quote it if it looks like another type")
		return ""
	}
}

// boolean returns a function that reads a Boolean into target.
func (r *reader) boolean(target *bool) func(ast.Node, string) {
	return func(n ast.Node, path string) {
		v, ok := n.(*ast.BoolNode)
		if !ok {
			r.addf(n, path, "must be true or false")
			return
		}
		*target = v.Value
	}
}

// address returns a function that reads an IP address and a port into target.
func (r *reader) address(target *netip.AddrPort) func(ast.Node, string) {
	return func(n ast.Node, path string) { *target = r.readAddress(n, path) }
}

func (r *reader) readAddress(n ast.Node, path string) netip.AddrPort {
	v, ok := n.(*ast.StringNode)
	if !ok {
		r.addf(n, path, `must be a text IP:PORT, such as 192.0.2.1:80 or "[2001:db8::1]:80"`)
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(v.Value)
	if err != nil {
		r.addf(n, path, `%q is not IP:PORT, such as 192.0.2.1:80 or "[2001:db8::1]:80"`, v.Value)
		return netip.AddrPort{}
	}
	return address
}

func isNull(n ast.Node) bool {
	_, ok := n.(*ast.NullNode)
	return n == nil || ok
}

func lineOfNode(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 1
	}
	if mapping, ok := n.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return lineOfNode(mapping.Values[0].Key)
	}
	return n.GetToken().Position.Line
}
