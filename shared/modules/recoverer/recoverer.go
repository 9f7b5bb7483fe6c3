// Package recoverer recovers from panics and returns them as errors, so that one unexpected
// input does not end a process that also serves others.
package recoverer

import (
	"fmt"
	"runtime/debug"
)

// ErrPanic reports a recovered panic.
type ErrPanic struct {
	// Value is the argument of the panic, and Stack the stack trace.
	Value any
	Stack []byte
}

// Error returns the message of the error without the stack trace.
func (e ErrPanic) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Run calls f. If f panics, it returns an ErrPanic. State that f may have left partly
// modified must not be used again.
func Run(f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = ErrPanic{Value: value, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}
