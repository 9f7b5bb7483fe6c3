package cataloger

import (
	"errors"
	"fmt"
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
