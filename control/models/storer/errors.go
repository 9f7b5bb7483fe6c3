package storer

import (
	"errors"
	"fmt"
)

// ErrLocked reports a data file that another process has open.
type ErrLocked struct {
	Path string
}

// Error returns the message of the error.
func (e ErrLocked) Error() string {
	return fmt.Sprintf("data file %s is in use by another process", e.Path)
}

// IsErrLocked reports whether err is an ErrLocked.
func IsErrLocked(err error) bool {
	var target ErrLocked
	return errors.As(err, &target)
}

// ErrDamaged reports a data file that is truncated or corrupted. The replica must
// start with an empty folder instead and join again.
type ErrDamaged struct {
	Path   string
	Reason string
}

// Error returns the message of the error.
func (e ErrDamaged) Error() string {
	return fmt.Sprintf("data file %s is damaged: %s; move the folder away and start with an empty one, so that this replica joins again", e.Path, e.Reason)
}

// IsErrDamaged reports whether err is an ErrDamaged.
func IsErrDamaged(err error) bool {
	var target ErrDamaged
	return errors.As(err, &target)
}

// ErrDiskFull reports that the file system is full or that the data file reached its
// size limit. Nothing of the batch is stored.
type ErrDiskFull struct {
	Path  string
	Cause error
}

// Error returns the message of the error.
func (e ErrDiskFull) Error() string {
	return fmt.Sprintf("no space left to write data file %s: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e ErrDiskFull) Unwrap() error { return e.Cause }

// IsErrDiskFull reports whether err is an ErrDiskFull.
func IsErrDiskFull(err error) bool {
	var target ErrDiskFull
	return errors.As(err, &target)
}

// ErrStoreFailed reports that an earlier write failed. The store then refuses all
// writes until the program restarts.
type ErrStoreFailed struct {
	Cause error
}

// Error returns the message of the error.
func (e ErrStoreFailed) Error() string { return fmt.Sprintf("an earlier write failed: %v", e.Cause) }

// Unwrap returns the cause.
func (e ErrStoreFailed) Unwrap() error { return e.Cause }

// IsErrStoreFailed reports whether err is an ErrStoreFailed.
func IsErrStoreFailed(err error) bool {
	var target ErrStoreFailed
	return errors.As(err, &target)
}
