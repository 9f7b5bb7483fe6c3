// Package loadsharer defines the messages with which entries share the load that they see. Every entry
// reports its own part to a control replica and gets the sum over all entries.
package loadsharer

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Names of the gRPC service of control for the exchange, and of its methods.
const (
	ServiceName = "redwingledge.control.LoadExchange"
	// ExchangeMethod takes a Report of an entry and returns a Summary.
	ExchangeMethod = "/" + ServiceName + "/Exchange"
	// PartialMethod takes a PartialRequest of another replica and returns the Summary of the reports that
	// the called replica itself has received.
	PartialMethod = "/" + ServiceName + "/Partial"
)

// PartialRequest requests the partial sums of a replica.
type PartialRequest struct {
	_ struct{} `cbor:",toarray"`
}

// GroupLoad is the load of the backend servers of a service in one data centre.
type GroupLoad struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// DataCentre is that of the backend servers, not that of the reporter.
	DataCentre string
	// Requests counts the requests in progress.
	Requests uint32
}

// ServiceArrivals is the rate of new flows and requests for a service, refused ones included.
type ServiceArrivals struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	PerSecond uint32
}

// ServerLoad is the number of open flows at one start of a backend server. Messages carry the flows
// rounded to 5 significant bits, which is an error of 3% at most.
type ServerLoad struct {
	_     struct{} `cbor:",toarray"`
	Token director.Token
	Flows uint32
}

// Load holds the figures of one entry, or their sums over several. A figure that is not there is 0.
// The servers are in the order of their tokens. MarshalCBOR defines the wire form.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Groups   []GroupLoad
	Arrivals []ServiceArrivals
	Servers  []ServerLoad
}

// Report is the load that one entry sees.
type Report struct {
	_     struct{} `cbor:",toarray"`
	Entry string
	// DataCentre is that of the entry.
	DataCentre string
	// Sequence increases with each report of one start of an entry.
	Sequence uint64
	// HasServers reports whether Load.Servers is complete. Reports without it leave the figures of the
	// backend servers as they are.
	HasServers bool
	Load       Load
}

// Summary is the sum of the newest reports.
type Summary struct {
	_ struct{} `cbor:",toarray"`
	// Entries is the number of reporters.
	Entries uint32
	// Age is the mean age of the reports.
	Age time.Duration
	// HasServers reports whether Load.Servers is complete. Summaries without it leave the figures of the
	// backend servers as they are.
	HasServers bool
	Load       Load
}
