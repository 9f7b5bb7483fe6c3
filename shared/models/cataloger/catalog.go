// Package cataloger defines the configuration that operators declare: services
// with their addresses, data centres, policies, and the members of the system.
package cataloger

import (
	"net/netip"
	"slices"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Protocol is the transport protocol of a service address.
type Protocol string

// Protocols of service addresses.
const (
	ProtocolTCP Protocol = "tcp"
	ProtocolUDP Protocol = "udp"
)

// Kind tells whether a service balances flows or requests.
type Kind string

// Kinds of services.
const (
	// KindFlow is a service whose packets the entries forward to backend servers.
	KindFlow Kind = "flow"
	// KindRequest is a service whose HTTP requests the gateways dispatch.
	KindRequest Kind = "request"
)

// SprayScope is the set of entries over which the network fabric spreads the
// packets of a service.
type SprayScope string

// Spray scopes.
const (
	SprayRegion     SprayScope = "region"
	SprayDataCentre SprayScope = "data_centre"
)

// Catalog is one version of the configuration. It is immutable: the methods whose
// names start with With return a modified copy.
type Catalog struct {
	Version     uint64         `cbor:"version" json:"version" yaml:"-"`
	DataCentres []DataCentre   `cbor:"data_centres" json:"data_centres" yaml:"data_centres"`
	Services    []Service      `cbor:"services" json:"services" yaml:"services"`
	Entries     []Member       `cbor:"entries" json:"entries" yaml:"entries"`
	Gateways    []Member       `cbor:"gateways" json:"gateways" yaml:"gateways"`
	Control     []Replica      `cbor:"control" json:"control" yaml:"control"`
	Operators   []Operator     `cbor:"operators" json:"operators" yaml:"operators"`
	Policies    Policies       `cbor:"policies" json:"policies" yaml:"policies"`
	Drained     []announcer.ID `cbor:"drained" json:"drained" yaml:"-"`
}

// DataCentre is a data centre and whether operators have taken it out.
type DataCentre struct {
	Name     string `cbor:"name" json:"name" yaml:"name"`
	Region   string `cbor:"region" json:"region" yaml:"region"`
	TakenOut bool   `cbor:"taken_out" json:"taken_out" yaml:"-"`
}

// Service is a load-balanced service.
type Service struct {
	Name       string           `cbor:"name" json:"name" yaml:"name"`
	Kind       Kind             `cbor:"kind" json:"kind" yaml:"kind"`
	Protocol   Protocol         `cbor:"protocol" json:"protocol" yaml:"protocol"`
	Addresses  []netip.AddrPort `cbor:"addresses" json:"addresses" yaml:"addresses"`
	SprayScope SprayScope       `cbor:"spray_scope" json:"spray_scope" yaml:"spray_scope"`
	// DataCentres are those whose backend servers may announce themselves for the
	// service; an empty list allows all.
	DataCentres []string `cbor:"data_centres" json:"data_centres" yaml:"data_centres"`
	// TokenSHA256 is the hex SHA-256 of the token that backend servers present.
	TokenSHA256 string `cbor:"token_sha256" json:"token_sha256" yaml:"token_sha256"`
}

// Member is an entry or gateway process.
type Member struct {
	Name       string         `cbor:"name" json:"name" yaml:"name"`
	DataCentre string         `cbor:"data_centre" json:"data_centre" yaml:"data_centre"`
	Address    netip.AddrPort `cbor:"address" json:"address" yaml:"address"`
}

// Replica is a control replica.
type Replica struct {
	Name       string `cbor:"name" json:"name" yaml:"name"`
	DataCentre string `cbor:"data_centre" json:"data_centre" yaml:"data_centre"`
	// Address is the address on which the replica serves the other replicas.
	Address netip.AddrPort `cbor:"address" json:"address" yaml:"address"`
	// OperatorAddress is the address on which the replica serves operators and
	// entries.
	OperatorAddress netip.AddrPort `cbor:"operator_address" json:"operator_address" yaml:"operator_address"`
}

// Role is the set of permissions of an operator. A planner may also view, and a
// confirmer may also plan and view.
type Role string

// Roles of operators.
const (
	RoleViewer    Role = "viewer"
	RolePlanner   Role = "planner"
	RoleConfirmer Role = "confirmer"
)

// IsValid reports whether r is one of the known roles.
func (r Role) IsValid() bool { return r.rank() > 0 }

// Includes reports whether r has all permissions of other.
func (r Role) Includes(other Role) bool { return r.rank() > 0 && r.rank() >= other.rank() }

func (r Role) rank() int {
	switch r {
	case RoleViewer:
		return 1
	case RolePlanner:
		return 2
	case RoleConfirmer:
		return 3
	default:
		return 0
	}
}

// Operator is a person who may use rwctl.
type Operator struct {
	Name string `cbor:"name" json:"name" yaml:"name"`
	Role Role   `cbor:"role" json:"role" yaml:"role"`
	// TokenSHA256 is the hex SHA-256 of the operator's token. It may be empty
	// if the operator uses a client certificate.
	TokenSHA256 string `cbor:"token_sha256" json:"token_sha256" yaml:"token_sha256"`
}

// Policies are rules that apply to the whole system.
type Policies struct {
	ForbidSelfConfirm bool `cbor:"forbid_self_confirm" json:"forbid_self_confirm" yaml:"forbid_self_confirm"`
}

// WithVersion returns a copy with another version.
func (c Catalog) WithVersion(version uint64) Catalog {
	c.Version = version
	return c
}

// WithDrained returns a copy in which the backend server is marked as drained or
// not drained.
func (c Catalog) WithDrained(id announcer.ID, drained bool) Catalog {
	c.Drained = slices.DeleteFunc(slices.Clone(c.Drained), func(d announcer.ID) bool { return d == id })
	if drained {
		c.Drained = append(c.Drained, id)
	}
	return c
}

// WithTakenOut returns a copy in which the data centre is marked as taken out or
// not. It returns ErrDataCentreNotExist if there is no such data centre.
func (c Catalog) WithTakenOut(name string, takenOut bool) (Catalog, error) {
	i := slices.IndexFunc(c.DataCentres, func(d DataCentre) bool { return d.Name == name })
	if i < 0 {
		return Catalog{}, ErrDataCentreNotExist{Name: name}
	}
	c.DataCentres = slices.Clone(c.DataCentres)
	c.DataCentres[i].TakenOut = takenOut
	return c, nil
}

// WithReplacedReplica returns a copy in which replica replaces the control replica
// with the given name. It returns ErrReplicaNotExist if there is no such replica.
func (c Catalog) WithReplacedReplica(name string, replica Replica) (Catalog, error) {
	i := slices.IndexFunc(c.Control, func(r Replica) bool { return r.Name == name })
	if i < 0 {
		return Catalog{}, ErrReplicaNotExist{Name: name}
	}
	c.Control = slices.Clone(c.Control)
	c.Control[i] = replica
	return c, nil
}

// WithOperatorState returns a copy with the drained backend servers and the
// taken-out data centres of other. It omits those whose service or data centre c
// does not have.
func (c Catalog) WithOperatorState(other Catalog) Catalog {
	c.Drained = slices.DeleteFunc(slices.Clone(other.Drained), func(id announcer.ID) bool {
		_, err := c.GetService(id.Service)
		return err != nil
	})
	c.DataCentres = slices.Clone(c.DataCentres)
	for i, d := range c.DataCentres {
		c.DataCentres[i].TakenOut = other.IsTakenOut(d.Name)
	}
	return c
}

// GetOperator returns the operator with the given name, or ErrOperatorNotExist.
func (c Catalog) GetOperator(name string) (Operator, error) {
	for _, o := range c.Operators {
		if o.Name == name {
			return o, nil
		}
	}
	return Operator{}, ErrOperatorNotExist{Name: name}
}

// GetReplica returns the control replica with the given name, or
// ErrReplicaNotExist.
func (c Catalog) GetReplica(name string) (Replica, error) {
	for _, r := range c.Control {
		if r.Name == name {
			return r, nil
		}
	}
	return Replica{}, ErrReplicaNotExist{Name: name}
}

// GetService returns the service with the given name, or ErrServiceNotExist.
func (c Catalog) GetService(name string) (Service, error) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, nil
		}
	}
	return Service{}, ErrServiceNotExist{Name: name}
}

// GetDataCentre returns the data centre with the given name, or
// ErrDataCentreNotExist.
func (c Catalog) GetDataCentre(name string) (DataCentre, error) {
	for _, d := range c.DataCentres {
		if d.Name == name {
			return d, nil
		}
	}
	return DataCentre{}, ErrDataCentreNotExist{Name: name}
}

// IsDrained reports whether operators have drained the backend server.
func (c Catalog) IsDrained(id announcer.ID) bool { return slices.Contains(c.Drained, id) }

// IsTakenOut reports whether operators have taken the data centre out.
func (c Catalog) IsTakenOut(dataCentre string) bool {
	for _, d := range c.DataCentres {
		if d.Name == dataCentre {
			return d.TakenOut
		}
	}
	return false
}
