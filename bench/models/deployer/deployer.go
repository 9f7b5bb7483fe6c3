// Package deployer describes the two deployments that are simulated, at their current sizes.
package deployer

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Entries is the number of entries of a deployment.
const Entries = 8

// Slots and Connections are the limits of each backend server.
const (
	Slots       = 2
	Connections = 2000
)

// Service is a service and the number of its backend servers.
type Service struct {
	Name  string
	Hosts int
}

// Deployment is one region.
type Deployment struct {
	Name        string
	DataCentres []string
	Services    []Service
	// Delay is the one-way delay between data centres.
	Delay time.Duration
}

// Today returns the deployments of section 1 of docs/design.md.
func Today() []Deployment {
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

// Record returns a backend server that is ready at full weight.
func (d Deployment) Record(service string, host int) announcer.Record {
	var r announcer.Record
	r.ID = announcer.ID{Service: service, Host: fmt.Sprintf("host-%d", host)}
	r.DataCentre, r.State, r.RampStep = d.DataCentre(host), announcer.StateReady, announcer.RampSteps
	r.Slots, r.Connections, r.Incarnation = Slots, Connections, 1
	return r
}
