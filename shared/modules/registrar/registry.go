// Package registrar provides the service registry of a program: services register
// under a name and look each other up by name.
package registrar

import (
	"errors"
	"fmt"
	"sync"
)

// ErrServiceNotExist reports the lookup of a name that is not registered.
type ErrServiceNotExist struct {
	Name string
}

// Error returns the message of the error.
func (e ErrServiceNotExist) Error() string {
	return fmt.Sprintf("service %q is not registered", e.Name)
}

// IsErrServiceNotExist reports whether err is an ErrServiceNotExist.
func IsErrServiceNotExist(err error) bool {
	var target ErrServiceNotExist
	return errors.As(err, &target)
}

// ErrServiceAlreadyExist reports a second registration under one name.
type ErrServiceAlreadyExist struct {
	Name string
}

// Error returns the message of the error.
func (e ErrServiceAlreadyExist) Error() string {
	return fmt.Sprintf("service %q is already registered", e.Name)
}

// IsErrServiceAlreadyExist reports whether err is an ErrServiceAlreadyExist.
func IsErrServiceAlreadyExist(err error) bool {
	var target ErrServiceAlreadyExist
	return errors.As(err, &target)
}

// ErrServiceType reports a service that does not have the requested type.
type ErrServiceType struct {
	Name   string
	Actual string
	Wanted string
}

// Error returns the message of the error.
func (e ErrServiceType) Error() string {
	return fmt.Sprintf("service %q has type %s, not %s", e.Name, e.Actual, e.Wanted)
}

// Registry maps names to services. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	services map[string]any
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{services: make(map[string]any)}
}

// Register adds service under name. It returns ErrServiceAlreadyExist if the name
// is already in use.
func (r *Registry) Register(name string, service any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.services[name]; ok {
		return ErrServiceAlreadyExist{Name: name}
	}
	r.services[name] = service
	return nil
}

// Lookup returns the service registered under name. It returns ErrServiceNotExist
// if there is none, and ErrServiceType if it is not of type T.
func Lookup[T any](r *Registry, name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var zero T
	service, ok := r.services[name]
	if !ok {
		return zero, ErrServiceNotExist{Name: name}
	}
	typed, ok := service.(T)
	if !ok {
		return zero, ErrServiceType{Name: name, Actual: fmt.Sprintf("%T", service), Wanted: fmt.Sprintf("%T", &zero)}
	}
	return typed, nil
}
