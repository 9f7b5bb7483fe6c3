package cataloger

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxDeclarationSize is the maximum size of a declaration in bytes. A declaration
// of the design size (530 members, 830 addresses) has about 100 kB.
const MaxDeclarationSize = 1 << 20

// Parse parses a YAML declaration and validates it. The returned catalog has
// version 0. The error is an ErrDeclaration with all problems, or with only the
// first syntax error if the text is not valid YAML.
func Parse(text []byte) (Catalog, error) {
	if len(text) > MaxDeclarationSize {
		return Catalog{}, ErrDeclaration{Problems: []Problem{{Message: fmt.Sprintf("the declaration has %d bytes, more than %d", len(text), MaxDeclarationSize)}}}
	}
	root, err := parseYAML(text)
	if err != nil {
		return Catalog{}, ErrDeclaration{Problems: []Problem{syntaxProblem(err)}}
	}
	r := reader{lines: make(map[string]int)}
	catalog := r.readCatalog(root)
	problems := r.problems
	for _, p := range catalog.Check() {
		p.Line = r.lineOf(p.Path)
		// A value that could not be read has already been reported.
		if !slices.ContainsFunc(r.problems, func(other Problem) bool { return other.Path == p.Path }) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return Catalog{}, ErrDeclaration{Problems: problems}
	}
	return catalog, nil
}

// parseYAML returns the single document of the text. The YAML parser has panicked
// on malformed input in the past, so a panic is returned as a syntax error.
func parseYAML(text []byte) (root ast.Node, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("the text is not YAML: %v", p)
		}
	}()
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, err
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, fmt.Errorf("the text must have exactly one YAML document")
	}
	return file.Docs[0].Body, nil
}

func syntaxProblem(err error) Problem {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil && syntax.GetToken().Position != nil {
		return Problem{Line: syntax.GetToken().Position.Line, Message: syntax.GetMessage()}
	}
	return Problem{Message: err.Error()}
}

// lineOf returns the line of the field, or that of the nearest enclosing field
// whose line is known, or 1.
func (r *reader) lineOf(path string) int {
	for path != "" {
		if line, ok := r.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func (r *reader) readCatalog(root ast.Node) Catalog {
	var c Catalog
	r.readObject(root, "", fields{
		"data_centres": listOf(r, &c.DataCentres, r.readDataCentre),
		"services":     listOf(r, &c.Services, r.readService),
		"entries":      listOf(r, &c.Entries, r.readMember),
		"gateways":     listOf(r, &c.Gateways, r.readMember),
		"control":      listOf(r, &c.Control, r.readReplica),
		"operators":    listOf(r, &c.Operators, r.readOperator),
		"policies": func(n ast.Node, path string) {
			r.readObject(n, path, fields{"forbid_self_confirm": r.boolean(&c.Policies.ForbidSelfConfirm)})
		},
	})
	return c
}

func (r *reader) readDataCentre(n ast.Node, path string) DataCentre {
	var d DataCentre
	r.readObject(n, path, fields{"name": text(r, &d.Name), "region": text(r, &d.Region)})
	return d
}

func (r *reader) readService(n ast.Node, path string) Service {
	s := Service{Kind: KindFlow, Protocol: ProtocolTCP, SprayScope: SprayRegion}
	r.readObject(n, path, fields{
		"name":         text(r, &s.Name),
		"kind":         text(r, &s.Kind),
		"protocol":     text(r, &s.Protocol),
		"addresses":    listOf(r, &s.Addresses, r.readAddress),
		"spray_scope":  text(r, &s.SprayScope),
		"data_centres": listOf(r, &s.DataCentres, r.readText),
		"token_sha256": text(r, &s.TokenSHA256),
	})
	return s
}

func (r *reader) readMember(n ast.Node, path string) Member {
	var m Member
	r.readObject(n, path, fields{"name": text(r, &m.Name), "data_centre": text(r, &m.DataCentre), "address": r.address(&m.Address)})
	return m
}

func (r *reader) readReplica(n ast.Node, path string) Replica {
	var c Replica
	r.readObject(n, path, fields{
		"name": text(r, &c.Name), "data_centre": text(r, &c.DataCentre),
		"address": r.address(&c.Address), "operator_address": r.address(&c.OperatorAddress),
	})
	return c
}

func (r *reader) readOperator(n ast.Node, path string) Operator {
	var o Operator
	r.readObject(n, path, fields{"name": text(r, &o.Name), "role": text(r, &o.Role), "token_sha256": text(r, &o.TokenSHA256)})
	return o
}
