// Package explainer describes what an entry would do with a new flow, as its metrics port reports it in JSON.
package explainer

import "net/netip"

// Actions of an Outcome.
const (
	ActionForward = "forward"
	ActionReset   = "reset"
	ActionDrop    = "drop"
)

// Explanation is what an entry would do with the first opening packet of a flow now.
type Explanation struct {
	Entry      string         `json:"entry"`
	DataCentre string         `json:"data_centre"`
	Route      netip.AddrPort `json:"route"`
	// Source is the address of the caller; not valid if none was given.
	Source netip.AddrPort `json:"source"`
	View   View           `json:"view"`
	// Outcomes holds one outcome for each service that the weights may choose: a single one if the source is
	// given, or if there is no route.
	Outcomes []Outcome `json:"outcomes"`
	// Services holds the services of the route with a weight above 0.
	Services []Service `json:"services"`
	// SharedFigures describes the figures about the load through all entries.
	SharedFigures SharedFigures `json:"shared_figures"`
	// Chances says where the answer depends on chance, one sentence each.
	Chances []string `json:"chances"`
}

// View identifies the view of the entry.
type View struct {
	IsKnown bool   `json:"known"`
	Index   uint64 `json:"index"`
	Version uint64 `json:"version"`
	// AgeMilliseconds is the time since the control cluster last confirmed the view.
	AgeMilliseconds int64 `json:"age_ms"`
}

// SharedFigures describes the last summary of the loads of all entries.
type SharedFigures struct {
	IsKnown         bool  `json:"known"`
	AgeMilliseconds int64 `json:"age_ms"`
}

// Outcome is the decision for one service that the weights choose.
type Outcome struct {
	// Probability is that of the weights choosing the service.
	Probability float64 `json:"probability"`
	// Chosen is the service that the weights choose; empty if none is chosen. Service is the one that gets the
	// flow: another one of the route if the chosen one has no backend server or is over capacity.
	Chosen  string `json:"chosen"`
	Service string `json:"service"`
	Action  string `json:"action"`
	// Reason is empty if the flow is forwarded.
	Reason string `json:"reason"`
	// IsKnownFlow is set if the entry already has a flow from the source, whose opening packet this repeats.
	IsKnownFlow bool `json:"known_flow"`
	// SpillProbability is that of the flow avoiding the local data centre because of its shared load.
	SpillProbability float64 `json:"spill_probability"`
	// Limits is nil if the entry does not limit new flows, or this outcome does not depend on the limits.
	Limits *Limits `json:"limits"`
	// DataCentres holds the data centres that may get the flow, the most likely one first.
	DataCentres []Target `json:"data_centres"`
}

// Target is a data centre that may get the flow.
type Target struct {
	Name        string  `json:"name"`
	Probability float64 `json:"probability"`
	// Candidates is the number of equally loaded backend servers among which one is drawn.
	Candidates int `json:"candidates"`
	// Server is the address of the backend server if it is the only candidate.
	Server netip.AddrPort `json:"server"`
}

// Limits describes the limits on new flows for one service.
type Limits struct {
	// Rank is that of the route's priority; 0 is the highest.
	Rank int `json:"rank"`
	// IsExhausted is set if no data centre has room, by figures that are new enough.
	IsExhausted bool `json:"exhausted"`
	// OwnRequests are the requests in progress through this entry, and OwnLimit those from which it refuses flows of
	// the rank while the service is exhausted, or at any time if the flows of a lower rank are long; 0 if unknown.
	OwnRequests int     `json:"own_requests"`
	OwnLimit    float64 `json:"own_limit"`
	// ShareUsed is OwnRequests as a share of OwnLimit.
	ShareUsed float64 `json:"share_used"`
	// IsLinkLimiting is set if the link refuses flows of the lowest rank, and LinkFill is the share of the
	// burst that the link can take which is used up.
	IsLinkLimiting bool    `json:"link_limiting"`
	LinkFill       float64 `json:"link_fill"`
}

// Service is the state of one service of the route.
type Service struct {
	Name   string `json:"name"`
	Weight uint32 `json:"weight"`
	// UsesLapsed is set if only backend servers whose lease has expired are left.
	UsesLapsed  bool         `json:"uses_lapsed"`
	DataCentres []DataCentre `json:"data_centres"`
}

// DataCentre is the state of the backend servers of a service in one data centre.
type DataCentre struct {
	Name       string `json:"name"`
	IsLocal    bool   `json:"local"`
	IsTakenOut bool   `json:"taken_out"`
	// IsDown is set if the data centre leaves opening packets unanswered and its next probe is not due.
	IsDown bool `json:"down"`
	// Servers counts the backend servers that may get new flows. Full, Unresponsive and Cold count those of
	// them that are at the saturation limit, that have left packets unanswered, and that are in their cold
	// start; Waiting counts the cold ones that may take no flow from this entry at the moment.
	Servers      int `json:"servers"`
	Full         int `json:"full"`
	Unresponsive int `json:"unresponsive"`
	Cold         int `json:"cold"`
	Waiting      int `json:"waiting"`
	// Slots are those of the ready backend servers.
	Slots int `json:"slots"`
	// Requests estimates the requests in progress through all entries, and OwnRequests counts those through
	// this one. Both are the same if the entry does not limit new flows.
	Requests    float64 `json:"requests"`
	OwnRequests int     `json:"own_requests"`
	// LoadLevel is the load that a new flow meets at the best backend server, in flows of this entry per slot;
	// nil if none may take a flow.
	LoadLevel *float64 `json:"load_level"`
}
