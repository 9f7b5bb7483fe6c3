// Package observer defines the load figures that entries and gateways report to
// control.
package observer

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// ServiceName and MethodReport name the gRPC method that takes a Report and
// answers with a ReportAnswer.
const (
	ServiceName  = "redwingledge.control.Load"
	MethodReport = "/" + ServiceName + "/Report"
)

// ServerLoad is what one entry or gateway measures about one backend server.
type ServerLoad struct {
	announcer.ID
	DataCentre string `cbor:"data_centre" json:"data_centre"`
	// Ready tells whether the record of the backend server allows new flows,
	// whatever operators have drained or taken out.
	Ready bool `cbor:"ready" json:"ready"`
	// Slots and Connections are the announced capacity.
	Slots       int64 `cbor:"slots" json:"slots"`
	Connections int64 `cbor:"connections" json:"connections"`
	// Flows counts the established flows for which the reporting entry is first
	// in rendezvous order among the live entries of the domain, so that a sum
	// over entries counts each flow once although packets are sprayed.
	Flows int64 `cbor:"flows" json:"flows"`
	// NewFlows counts such flows that started since the previous report.
	NewFlows int64 `cbor:"new_flows" json:"new_flows"`
	// Requests counts the requests in progress through the reporting gateway.
	Requests int64 `cbor:"requests" json:"requests"`
}

// Report is sent by each entry and gateway. It replaces the earlier report of
// the same reporter.
type Report struct {
	Reporter string `cbor:"reporter" json:"reporter"`
	// Period is the time in which the new flows were counted.
	Period  time.Duration `cbor:"period" json:"period"`
	Servers []ServerLoad  `cbor:"servers" json:"servers"`
}

// ReportAnswer answers a Report.
type ReportAnswer struct {
	// Interval is the time to wait before the next report. It grows with the
	// size of the report, so that the traffic stays bounded.
	Interval time.Duration `cbor:"interval" json:"interval"`
	// Leader is set if another replica takes the reports.
	Leader netip.AddrPort `cbor:"leader,omitempty" json:"leader"`
}

// Group sums the load of one service in one data centre.
type Group struct {
	Service    string `cbor:"service" json:"service"`
	DataCentre string `cbor:"data_centre" json:"data_centre"`
	// Servers counts the known backend servers, Ready those that are ready and
	// not drained by operators.
	Servers int64 `cbor:"servers" json:"servers"`
	Ready   int64 `cbor:"ready" json:"ready"`
	// Slots and Connections are the capacity of the ready backend servers.
	Slots       int64 `cbor:"slots" json:"slots"`
	Connections int64 `cbor:"connections" json:"connections"`
	Flows       int64 `cbor:"flows" json:"flows"`
	Requests    int64 `cbor:"requests" json:"requests"`
	// NewFlowsPerMinute is the measured rate.
	NewFlowsPerMinute int64 `cbor:"new_flows_per_minute" json:"new_flows_per_minute"`
}

// Summary is the load that a plan is made from.
type Summary struct {
	// Reporters of Expected declared entries have reported. The figures are
	// unknown if there are none.
	Reporters int `cbor:"reporters" json:"reporters"`
	Expected  int `cbor:"expected" json:"expected"`
	// Oldest is the time of the oldest report that is counted.
	Oldest timer.Timestamp `cbor:"oldest" json:"oldest"`
	// Groups are sorted by service and data centre.
	Groups []Group `cbor:"groups" json:"groups"`
	// Servers are the backend servers that the plan names.
	Servers []ServerLoad `cbor:"servers" json:"servers"`
}

// IsKnown reports whether there are any figures.
func (s Summary) IsKnown() bool { return s.Reporters > 0 }

// GetServer returns the figures of one backend server.
func (s Summary) GetServer(id announcer.ID) (ServerLoad, bool) {
	for _, server := range s.Servers {
		if server.ID == id {
			return server, true
		}
	}
	return ServerLoad{}, false
}
