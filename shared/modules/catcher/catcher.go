// Package catcher turns panics into errors, so that one unexpected input does not end a
// process that serves others.
package catcher

import (
	"fmt"
	"runtime/debug"
)

// ErrPanicked reports a panic.
type ErrPanicked struct {
	// Value is what the code panicked with, and Stack where.
	Value any
	Stack []byte
}

// Error returns the message of the error, without the stack.
func (e ErrPanicked) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Run runs f and returns its panic as ErrPanicked. State that f has left half changed must
// not be used again.
func Run(f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = ErrPanicked{Value: value, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}
