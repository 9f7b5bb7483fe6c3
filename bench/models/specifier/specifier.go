// Package specifier specifies the two deployments that are simulated, at their current sizes.
package specifier

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Entries is the number of entries of a deployment.
const Entries = 8

// Slots and Connections are the limits of each backend server on requests in progress and on
// connections.
const (
	Slots       = 2
	Connections = 2000
)

// Service is a service with the number of its backend servers, each on its own host.
type Service struct {
	Name  string
	Hosts int
}

// Deployment is one region with its data centres and services.
type Deployment struct {
	Name        string
	DataCentres []string
	Services    []Service
	// Delay is the one-way delay between data centres.
	Delay time.Duration
}

// Deployments returns the two deployments that section 1 of docs/design.md describes.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "ng-north", DataCentres: []string{"kano-a", "kano-b", "kaduna-a", "kaduna-b"},
			Services: []Service{{"sack-orders", 14}, {"manifest-desk", 4}}, Delay: 4 * time.Millisecond,
		},
		{
			Name: "egy-north", DataCentres: []string{"a", "b", "c", "d"},
			Services: []Service{{"solver-session", 14}, {"result-archive", 4}}, Delay: 4500 * time.Microsecond,
		},
	}
}

// DataCentre returns the data centre of the entry or host with the given number.
func (d Deployment) DataCentre(i int) string { return d.DataCentres[i%len(d.DataCentres)] }

// Record returns the record of a backend server that is ready and at full weight.
func (d Deployment) Record(service string, host int) announcer.Record {
	var r announcer.Record
	r.ID = announcer.ID{Service: service, Host: fmt.Sprintf("host-%d", host)}
	r.DataCentre, r.State, r.RampStep = d.DataCentre(host), announcer.StateReady, announcer.RampSteps
	r.Slots, r.Connections, r.Incarnation = Slots, Connections, 1
	return r
}
