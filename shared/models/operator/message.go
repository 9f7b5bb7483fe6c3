package operator

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Names of the gRPC services and their methods.
const (
	ServiceName       = "redwingledge.control.Operator"
	MethodCreatePlan  = "/" + ServiceName + "/CreatePlan"
	MethodConfirmPlan = "/" + ServiceName + "/ConfirmPlan"
	MethodGetStatus   = "/" + ServiceName + "/GetStatus"
	MethodListPlans   = "/" + ServiceName + "/ListPlans"
	MethodListAudit   = "/" + ServiceName + "/ListAudit"
	MethodGetPlanText = "/" + ServiceName + "/GetPlanText"

	ConfigurationServiceName = "redwingledge.control.Configuration"
	MethodFetch              = "/" + ConfigurationServiceName + "/Fetch"
)

// Limits of requests and responses.
const (
	// MaxRequestIDLength is the maximum length of a request ID in bytes.
	MaxRequestIDLength = 64
	// MaxPlanIDLength is the maximum length of a plan ID in bytes.
	MaxPlanIDLength = 64
	// MaxWait is the maximum duration of a long poll.
	MaxWait = 30 * time.Second
	// MaxPage is the maximum number of lines or plans in one response.
	MaxPage = 1000
)

// Redirect is part of each response. A replica that is not the leader sets no other
// part.
type Redirect struct {
	// NotLeader reports that the request was not executed because the replica is not
	// the leader.
	NotLeader bool `cbor:"not_leader,omitempty" json:"-"`
	// Leader is the operator address of the leader, if it is known.
	Leader netip.AddrPort `cbor:"leader,omitempty" json:"-"`
}

// GetRedirect returns the redirect of a response.
func (r Redirect) GetRedirect() Redirect { return r }

// CreatePlanRequest requests a plan for an intent.
type CreatePlanRequest struct {
	// RequestID is an idempotency key that the client chooses. A retry with the same
	// ID gets the first response.
	RequestID string `cbor:"request_id" json:"request_id"`
	// BaseVersion is the configuration version that the operator has seen, or 0 for
	// the current one.
	BaseVersion uint64 `cbor:"base_version" json:"base_version"`
	Intent      Body   `cbor:"intent" json:"intent"`
}

// ConfirmPlanRequest confirms a plan.
type ConfirmPlanRequest struct {
	RequestID string `cbor:"request_id" json:"request_id"`
	PlanID    string `cbor:"plan_id" json:"plan_id"`
}

// Reason is the machine-readable reason of a refusal.
type Reason string

// Reasons of refusals.
const (
	ReasonInvalid     Reason = "invalid"
	ReasonRole        Reason = "role"
	ReasonSelfConfirm Reason = "self_confirm"
	ReasonNoPlan      Reason = "no_plan"
	ReasonClosed      Reason = "closed"
	ReasonExpired     Reason = "expired"
	ReasonStale       Reason = "stale"
	ReasonOverload    Reason = "overload"
	ReasonNoChange    Reason = "no_change"
	ReasonBusy        Reason = "busy"
	ReasonRequestID   Reason = "request_id"
)

// Refusal tells why a request was refused. A refused request changes nothing.
type Refusal struct {
	Reason  Reason `cbor:"reason" json:"reason"`
	Message string `cbor:"message" json:"message"`
	// Differences describes the facts of the plan that no longer hold, one line each.
	Differences []string `cbor:"differences,omitempty" json:"differences,omitempty"`
	// Changes are the configuration changes since the base version of the plan.
	Changes []Change `cbor:"changes,omitempty" json:"changes,omitempty"`
}

// PlanResponse is the response to CreatePlan and ConfirmPlan.
type PlanResponse struct {
	Redirect
	// Refusal is nil if the request was executed.
	Refusal *Refusal `cbor:"refusal,omitempty" json:"refusal,omitempty"`
	// Plan is the created or confirmed plan. With a refusal it is the new plan that
	// replaces the refused one.
	Plan *Plan `cbor:"plan,omitempty" json:"plan,omitempty"`
	// Version is the version of the configuration after the request.
	Version uint64 `cbor:"version" json:"version"`
}

// GetStatusRequest requests the status of the system.
type GetStatusRequest struct {
	// Known is the sequence of the last audit line that the caller has seen. The
	// response is delayed until there is a later line, or for Wait, which is at most
	// MaxWait.
	Known uint64        `cbor:"known" json:"known"`
	Wait  time.Duration `cbor:"wait" json:"wait"`
}

// Status is the state of the system as control knows it.
type Status struct {
	Redirect
	// Replica is the name of the replica that responded.
	Replica string          `cbor:"replica" json:"replica"`
	Time    timer.Timestamp `cbor:"time" json:"time"`
	Version uint64          `cbor:"version" json:"version"`
	// LastChange is the change that created Version. It is nil if there is none yet.
	LastChange  *Change                `cbor:"last_change,omitempty" json:"last_change,omitempty"`
	DataCentres []cataloger.DataCentre `cbor:"data_centres" json:"data_centres"`
	Drained     []announcer.ID         `cbor:"drained" json:"drained"`
	Control     []cataloger.Replica    `cbor:"control" json:"control"`
	Load        observer.Summary       `cbor:"load" json:"load"`
	OpenPlans   int                    `cbor:"open_plans" json:"open_plans"`
	AuditHead   auditor.Head           `cbor:"audit_head" json:"audit_head"`
}

// ListPlansRequest requests the plans, the newest first.
type ListPlansRequest struct {
	// All includes closed plans.
	All bool `cbor:"all" json:"all"`
}

// PlanList is the response to ListPlans.
type PlanList struct {
	Redirect
	Plans []Plan `cbor:"plans" json:"plans"`
}

// ListAuditRequest requests a page of the audit trail.
type ListAuditRequest struct {
	// After is the sequence of the line before the page; 0 requests the first page.
	After uint64 `cbor:"after" json:"after"`
	// Limit is the maximum number of lines, at most MaxPage; 0 means MaxPage.
	Limit int `cbor:"limit" json:"limit"`
}

// AuditPage is the response to ListAudit.
type AuditPage struct {
	Redirect
	Lines []auditor.Line `cbor:"lines" json:"lines"`
	Head  auditor.Head   `cbor:"head" json:"head"`
}

// GetPlanTextRequest requests the text of a plan as it was shown to the operator.
type GetPlanTextRequest struct {
	// Hash is the SHA-256 hash of the text, as the audit trail records it.
	Hash auditor.Hash `cbor:"hash" json:"hash"`
}

// PlanText is the response to GetPlanText.
type PlanText struct {
	Redirect
	// Kept is false if the text is no longer stored, or never was.
	Kept bool   `cbor:"kept" json:"kept"`
	Text string `cbor:"text,omitempty" json:"text,omitempty"`
}

// FetchRequest requests a configuration that is newer than Known. The response is
// delayed for at most Wait while there is none. Wait is at most MaxWait.
type FetchRequest struct {
	Known uint64        `cbor:"known" json:"known"`
	Wait  time.Duration `cbor:"wait" json:"wait"`
}

// FetchResponse is the response to a FetchRequest. Catalog is nil if there is none
// newer than the known version.
type FetchResponse struct {
	Version uint64             `cbor:"version" json:"version"`
	Catalog *cataloger.Catalog `cbor:"catalog,omitempty" json:"catalog,omitempty"`
}
