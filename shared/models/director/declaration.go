package director

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Declaration is a complete configuration as an operator declares it.
type Declaration struct {
	Version     uint64            `cbor:"version"`
	Services    []DeclaredService `cbor:"services"`
	Routes      []DeclaredRoute   `cbor:"routes"`
	IdleTimeout time.Duration     `cbor:"idle_timeout"`
	// Source is the declaration as the operator sent it. It is kept so that the
	// operator can read it back.
	Source []byte `cbor:"source"`
}

// DeclaredService is a service of a Declaration.
type DeclaredService struct {
	Name string `cbor:"name"`
	// ColdRate is the maximum rate of new flows per second to a backend server
	// during a cold start; 0 means no limit.
	ColdRate float64 `cbor:"cold_rate"`
	// ColdStart is the duration of the cold start after a backend server starts.
	ColdStart time.Duration `cbor:"cold_start"`
}

// DeclaredRoute is a route of a Declaration.
type DeclaredRoute struct {
	Name string `cbor:"name"`
	// Timeout is the maximum duration of a request on the route.
	Timeout time.Duration `cbor:"timeout"`
	Route   Route         `cbor:"route"`
}

// HasService reports whether the service is declared.
func (d Declaration) HasService(name string) bool {
	return slices.ContainsFunc(d.Services, func(s DeclaredService) bool { return s.Name == name })
}

// Check returns an error that names all problems, or nil if there are none.
func (d Declaration) Check() error {
	var errs []error
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" {
			errs = append(errs, errors.New("a service has no name"))
		}
		if services[s.Name] {
			errs = append(errs, fmt.Errorf("service %q is declared twice", s.Name))
		}
		services[s.Name] = true
	}
	taken := make(map[netip.AddrPort]string, len(d.Routes))
	for _, r := range d.Routes {
		if r.Timeout <= 0 {
			errs = append(errs, fmt.Errorf("route %q: the timeout must be above 0", r.Name))
		}
		if other, ok := taken[r.Route.Address]; ok {
			errs = append(errs, fmt.Errorf("routes %q and %q have the same address %s", other, r.Name, r.Route.Address))
		}
		taken[r.Route.Address] = r.Name
		errs = append(errs, checkShares(r, services))
	}
	return errors.Join(errs...)
}

func checkShares(r DeclaredRoute, services map[string]bool) error {
	total := uint64(0)
	for _, share := range r.Route.Shares {
		if !services[share.Service] {
			return fmt.Errorf("route %q: service %q does not exist", r.Name, share.Service)
		}
		total += uint64(share.Weight)
	}
	if total == 0 {
		return fmt.Errorf("route %q: no service has a weight above 0", r.Name)
	}
	return nil
}
