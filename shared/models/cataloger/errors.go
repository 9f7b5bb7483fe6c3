package cataloger

import (
	"errors"
	"fmt"
	"strings"
)

// ErrServiceNotExist reports a service that the configuration does not have.
type ErrServiceNotExist struct {
	Name string
}

// Error returns the message of the error.
func (e ErrServiceNotExist) Error() string { return fmt.Sprintf("service %q does not exist", e.Name) }

// IsErrServiceNotExist reports whether err is an ErrServiceNotExist.
func IsErrServiceNotExist(err error) bool {
	var target ErrServiceNotExist
	return errors.As(err, &target)
}

// ErrDataCentreNotExist reports a data centre that the configuration does not
// have.
type ErrDataCentreNotExist struct {
	Name string
}

// Error returns the message of the error.
func (e ErrDataCentreNotExist) Error() string {
	return fmt.Sprintf("data centre %q does not exist", e.Name)
}

// IsErrDataCentreNotExist reports whether err is an ErrDataCentreNotExist.
func IsErrDataCentreNotExist(err error) bool {
	var target ErrDataCentreNotExist
	return errors.As(err, &target)
}

// ErrReplicaNotExist reports a control replica that the configuration does not
// have.
type ErrReplicaNotExist struct {
	Name string
}

// Error returns the message of the error.
func (e ErrReplicaNotExist) Error() string {
	return fmt.Sprintf("control replica %q does not exist", e.Name)
}

// IsErrReplicaNotExist reports whether err is an ErrReplicaNotExist.
func IsErrReplicaNotExist(err error) bool {
	var target ErrReplicaNotExist
	return errors.As(err, &target)
}

// ErrOperatorNotExist reports an operator that the configuration does not have.
type ErrOperatorNotExist struct {
	Name string
}

// Error returns the message of the error.
func (e ErrOperatorNotExist) Error() string { return fmt.Sprintf("operator %q does not exist", e.Name) }

// IsErrOperatorNotExist reports whether err is an ErrOperatorNotExist.
func IsErrOperatorNotExist(err error) bool {
	var target ErrOperatorNotExist
	return errors.As(err, &target)
}

// Problem is one error in a declaration.
type Problem struct {
	// Line is the line number, counted from 1. It is 0 if the line is not known.
	Line int
	// Path is the path of the field, such as "services[0].addresses[1]".
	Path    string
	Message string
}

// String returns the line, the path and the message.
func (p Problem) String() string {
	text := p.Message
	if p.Path != "" {
		text = p.Path + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// ErrDeclaration reports all problems of a declaration, sorted by line.
type ErrDeclaration struct {
	Problems []Problem
}

// Error returns the number of problems, followed by one line for each.
func (e ErrDeclaration) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return fmt.Sprintf("the declaration has %d faults:\n  %s", len(lines), strings.Join(lines, "\n  "))
}

// IsErrDeclaration reports whether err is an ErrDeclaration.
func IsErrDeclaration(err error) bool {
	var target ErrDeclaration
	return errors.As(err, &target)
}
