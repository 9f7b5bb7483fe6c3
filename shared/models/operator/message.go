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

// Names of the gRPC services and methods.
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

// Bounds of requests.
const (
	// MaxRequestIDLength is in bytes.
	MaxRequestIDLength = 64
	// MaxPlanIDLength is in bytes.
	MaxPlanIDLength = 64
	// MaxWait bounds long polls.
	MaxWait = 30 * time.Second
	// MaxPage bounds the lines and plans of one answer.
	MaxPage = 1000
)

// Redirect is part of each answer. A replica that does not lead sets only it.
type Redirect struct {
	// NotLeader tells that the request was not carried out because the replica
	// does not lead.
	NotLeader bool `cbor:"not_leader,omitempty" json:"-"`
	// Leader is the address for operators of the leader, if it is known.
	Leader netip.AddrPort `cbor:"leader,omitempty" json:"-"`
}

// GetRedirect returns the redirect of an answer.
func (r Redirect) GetRedirect() Redirect { return r }

// CreatePlanRequest asks for a plan.
type CreatePlanRequest struct {
	// RequestID is chosen by the client. A resend with the same id gets the
	// first answer.
	RequestID string `cbor:"request_id" json:"request_id"`
	// BaseVersion is the version that the operator has seen, or 0 for the
	// current one.
	BaseVersion uint64 `cbor:"base_version" json:"base_version"`
	Intent      Body   `cbor:"intent" json:"intent"`
}

// ConfirmPlanRequest confirms a plan.
type ConfirmPlanRequest struct {
	RequestID string `cbor:"request_id" json:"request_id"`
	PlanID    string `cbor:"plan_id" json:"plan_id"`
}

// Reason is a refusal in one word, for programs.
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

// Refusal tells why nothing was changed.
type Refusal struct {
	Reason  Reason `cbor:"reason" json:"reason"`
	Message string `cbor:"message" json:"message"`
	// Differences names what no longer holds, one line each.
	Differences []string `cbor:"differences,omitempty" json:"differences,omitempty"`
	// Changes were made since the version that the plan was made from.
	Changes []Change `cbor:"changes,omitempty" json:"changes,omitempty"`
}

// Answer answers CreatePlan and ConfirmPlan.
type Answer struct {
	Redirect
	// Refusal is nil if the request was carried out.
	Refusal *Refusal `cbor:"refusal,omitempty" json:"refusal,omitempty"`
	// Plan is the created or confirmed plan or, with a refusal, the new plan in
	// the place of the refused one.
	Plan *Plan `cbor:"plan,omitempty" json:"plan,omitempty"`
	// Version is the configuration version in force after the request.
	Version uint64 `cbor:"version" json:"version"`
}

// GetStatusRequest asks for the status.
type GetStatusRequest struct {
	// Known is the audit sequence that the caller has seen. The answer waits
	// until there is a later line, or for Wait, which is at most MaxWait.
	Known uint64        `cbor:"known" json:"known"`
	Wait  time.Duration `cbor:"wait" json:"wait"`
}

// Status describes the system as control sees it.
type Status struct {
	Redirect
	// Replica answered.
	Replica string          `cbor:"replica" json:"replica"`
	Time    timer.Timestamp `cbor:"time" json:"time"`
	Version uint64          `cbor:"version" json:"version"`
	// LastChange made the version. It is nil before the first one.
	LastChange  *Change                `cbor:"last_change,omitempty" json:"last_change,omitempty"`
	DataCentres []cataloger.DataCentre `cbor:"data_centres" json:"data_centres"`
	Drained     []announcer.ID         `cbor:"drained" json:"drained"`
	Control     []cataloger.Replica    `cbor:"control" json:"control"`
	Load        observer.Summary       `cbor:"load" json:"load"`
	OpenPlans   int                    `cbor:"open_plans" json:"open_plans"`
	AuditHead   auditor.Head           `cbor:"audit_head" json:"audit_head"`
}

// ListPlansRequest asks for plans, the newest first.
type ListPlansRequest struct {
	// All asks for closed plans too.
	All bool `cbor:"all" json:"all"`
}

// PlanList answers ListPlans.
type PlanList struct {
	Redirect
	Plans []Plan `cbor:"plans" json:"plans"`
}

// ListAuditRequest asks for a page of the audit trail.
type ListAuditRequest struct {
	// After is the sequence before the first line of the page.
	After uint64 `cbor:"after" json:"after"`
	// Limit is at most MaxPage; 0 means MaxPage.
	Limit int `cbor:"limit" json:"limit"`
}

// AuditPage answers ListAudit.
type AuditPage struct {
	Redirect
	Lines []auditor.Line `cbor:"lines" json:"lines"`
	Head  auditor.Head   `cbor:"head" json:"head"`
}

// GetPlanTextRequest asks for the text of a plan as it was shown.
type GetPlanTextRequest struct {
	// Hash is the SHA-256 of the text, as the audit trail names it.
	Hash auditor.Hash `cbor:"hash" json:"hash"`
}

// PlanText answers GetPlanText.
type PlanText struct {
	Redirect
	// Kept is false if the text is no longer kept, or never was.
	Kept bool   `cbor:"kept" json:"kept"`
	Text string `cbor:"text,omitempty" json:"text,omitempty"`
}

// FetchRequest asks for a configuration newer than Known. The answer waits for
// one for at most Wait, which is at most MaxWait.
type FetchRequest struct {
	Known uint64        `cbor:"known" json:"known"`
	Wait  time.Duration `cbor:"wait" json:"wait"`
}

// FetchAnswer has no catalog if there is none newer than the known version.
type FetchAnswer struct {
	Version uint64             `cbor:"version" json:"version"`
	Catalog *cataloger.Catalog `cbor:"catalog,omitempty" json:"catalog,omitempty"`
}
