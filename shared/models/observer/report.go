// Package observer defines the load reports that entries and gateways send to
// control, and their summary.
package observer

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// ServiceName and MethodReport are the names of the gRPC service and of its method,
// which takes a Report and returns a ReportResponse.
const (
	ServiceName  = "redwingledge.control.Load"
	MethodReport = "/" + ServiceName + "/Report"
)

// ServerLoad is the load of one backend server as one entry or gateway measures it.
type ServerLoad struct {
	announcer.ID
	DataCentre string `cbor:"data_centre" json:"data_centre"`
	// Ready tells whether the record of the backend server allows new flows. It does
	// not consider what operators have drained or taken out.
	Ready bool `cbor:"ready" json:"ready"`
	// Slots and Connections are the announced capacity.
	Slots       int64 `cbor:"slots" json:"slots"`
	Connections int64 `cbor:"connections" json:"connections"`
	// Flows counts the established flows for which the reporting entry is first in
	// rendezvous order among the live entries of the domain. So the sum over all
	// entries counts each flow once, although its packets reach several entries.
	Flows int64 `cbor:"flows" json:"flows"`
	// NewFlows counts those flows that started since the previous report.
	NewFlows int64 `cbor:"new_flows" json:"new_flows"`
	// Requests counts the requests in progress through the reporting gateway.
	Requests int64 `cbor:"requests" json:"requests"`
}

// Report is the load report of one entry or gateway. It replaces the previous
// report of the same reporter.
type Report struct {
	Reporter string `cbor:"reporter" json:"reporter"`
	// Period is the time over which NewFlows were counted.
	Period  time.Duration `cbor:"period" json:"period"`
	Servers []ServerLoad  `cbor:"servers" json:"servers"`
}

// ReportResponse is the response to a Report.
type ReportResponse struct {
	// Interval is the time to wait before the next report. It increases with the
	// size of the report to limit the traffic.
	Interval time.Duration `cbor:"interval" json:"interval"`
	// Leader is the address of the replica that accepts reports, if it is another
	// one.
	Leader netip.AddrPort `cbor:"leader,omitempty" json:"leader"`
}

// ServiceLoad is the total load of one service in one data centre.
type ServiceLoad struct {
	Service    string `cbor:"service" json:"service"`
	DataCentre string `cbor:"data_centre" json:"data_centre"`
	// Servers counts the known backend servers, and Ready those of them that are
	// ready and not drained by operators.
	Servers int64 `cbor:"servers" json:"servers"`
	Ready   int64 `cbor:"ready" json:"ready"`
	// Slots and Connections are the total capacity of the ready backend servers.
	Slots       int64 `cbor:"slots" json:"slots"`
	Connections int64 `cbor:"connections" json:"connections"`
	Flows       int64 `cbor:"flows" json:"flows"`
	Requests    int64 `cbor:"requests" json:"requests"`
	// NewFlowsPerMinute is the measured rate of new flows.
	NewFlowsPerMinute int64 `cbor:"new_flows_per_minute" json:"new_flows_per_minute"`
}

// Summary is the aggregated load on which a plan is based.
type Summary struct {
	// Reporters is the number of declared entries and gateways with a current report,
	// and Expected the number of those declared. If Reporters is 0, the figures are
	// unknown.
	Reporters int `cbor:"reporters" json:"reporters"`
	Expected  int `cbor:"expected" json:"expected"`
	// Oldest is the time of the oldest report in the summary.
	Oldest timer.Timestamp `cbor:"oldest" json:"oldest"`
	// Groups are sorted by service and data centre.
	Groups []ServiceLoad `cbor:"groups" json:"groups"`
	// Servers are the backend servers that the plan concerns.
	Servers []ServerLoad `cbor:"servers" json:"servers"`
}

// IsKnown reports whether there are any figures, that is, any report.
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
