package director

import (
	"errors"
	"fmt"
)

// ErrStaleAnnouncement reports an announcement that is older than the recorded state,
// such as one that was delayed until after its sender had stopped.
type ErrStaleAnnouncement struct {
	Host   string
	Reason string
}

// Error returns the message of the error.
func (e ErrStaleAnnouncement) Error() string {
	return fmt.Sprintf("announcement of %q is stale: %s", e.Host, e.Reason)
}

// IsErrStaleAnnouncement reports whether err is an ErrStaleAnnouncement.
func IsErrStaleAnnouncement(err error) bool {
	_, ok := asErrStaleAnnouncement(err)
	return ok
}

func asErrStaleAnnouncement(err error) (ErrStaleAnnouncement, bool) {
	var target ErrStaleAnnouncement
	ok := errors.As(err, &target)
	return target, ok
}

// ErrInvalidDeclaration reports a declaration that cannot be applied.
type ErrInvalidDeclaration struct {
	Reason string
}

// Error returns the message of the error.
func (e ErrInvalidDeclaration) Error() string { return "the declaration is invalid: " + e.Reason }

// IsErrInvalidDeclaration reports whether err is an ErrInvalidDeclaration.
func IsErrInvalidDeclaration(err error) bool {
	var target ErrInvalidDeclaration
	return errors.As(err, &target)
}

// ErrInvalidAnnouncement reports an announcement that no backend server can have sent.
type ErrInvalidAnnouncement struct {
	Host   string
	Reason string
}

// Error returns the message of the error.
func (e ErrInvalidAnnouncement) Error() string {
	return fmt.Sprintf("announcement of %q is invalid: %s", e.Host, e.Reason)
}

// IsErrInvalidAnnouncement reports whether err is an ErrInvalidAnnouncement.
func IsErrInvalidAnnouncement(err error) bool {
	var target ErrInvalidAnnouncement
	return errors.As(err, &target)
}

// ErrServiceNotExist reports the first announcement of a start for a service that is not declared.
type ErrServiceNotExist struct {
	Service string
	// Version is the version of the current declaration; 0 if there is none.
	Version uint64
}

// Error returns the message of the error.
func (e ErrServiceNotExist) Error() string {
	return fmt.Sprintf("service %q does not exist in configuration %d", e.Service, e.Version)
}

// IsErrServiceNotExist reports whether err is an ErrServiceNotExist.
func IsErrServiceNotExist(err error) bool {
	var target ErrServiceNotExist
	return errors.As(err, &target)
}
