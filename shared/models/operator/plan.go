package operator

import (
	"fmt"
	"strings"

	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// PlanState is the state of a plan.
type PlanState string

// States of a plan. Only an open plan can be confirmed.
const (
	PlanOpen      PlanState = "open"
	PlanConfirmed PlanState = "confirmed"
	PlanStale     PlanState = "stale"
	PlanExpired   PlanState = "expired"
)

// Section is one part of the text of a plan.
type Section struct {
	Title string `cbor:"title" json:"title"`
	Text  string `cbor:"text" json:"text"`
}

// Fact is a value on which a plan is based. It must still hold when the plan is
// confirmed.
type Fact struct {
	Name  string `cbor:"name" json:"name"`
	Known bool   `cbor:"known" json:"known"`
	Value int64  `cbor:"value" json:"value"`
	// IsBoolean reports whether Value is a Boolean: 1 for yes and 0 for no.
	IsBoolean bool `cbor:"is_yes_no,omitempty" json:"is_yes_no,omitempty"`
	// Tolerance is the largest change of Value with which the fact still holds.
	Tolerance int64 `cbor:"tolerance" json:"tolerance"`
}

// Holds reports whether the current fact is within the tolerance of f.
func (f Fact) Holds(now Fact) bool {
	if f.Known != now.Known {
		return false
	}
	return !f.Known || max(f.Value-now.Value, now.Value-f.Value) <= f.Tolerance
}

// Plan describes the effects of an intent. Nothing changes until it is confirmed.
type Plan struct {
	ID string `cbor:"id" json:"id"`
	// Operator is the name of the operator who created the plan.
	Operator string `cbor:"operator" json:"operator"`
	Intent   string `cbor:"intent" json:"intent"`
	// BaseVersion is the configuration version on which the plan is based.
	BaseVersion uint64          `cbor:"base_version" json:"base_version"`
	Created     timer.Timestamp `cbor:"created" json:"created"`
	Expires     timer.Timestamp `cbor:"expires" json:"expires"`
	Sections    []Section       `cbor:"sections" json:"sections"`
	Facts       []Fact          `cbor:"facts" json:"facts"`
	State       PlanState       `cbor:"state" json:"state"`
	// ClosedBy is the name of the operator who confirmed the plan or tried to.
	ClosedBy string          `cbor:"closed_by,omitempty" json:"closed_by,omitempty"`
	Closed   timer.Timestamp `cbor:"closed,omitempty" json:"closed,omitzero"`
	// Version is the configuration version that the confirmed plan created.
	Version uint64 `cbor:"version,omitempty" json:"version,omitempty"`
}

// Text returns the plan as text for operators.
func (p Plan) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Plan %s by %s: %s\n", p.ID, p.Operator, p.Intent)
	for _, s := range p.Sections {
		fmt.Fprintf(&b, "\n%s:\n  %s\n", s.Title, strings.ReplaceAll(s.Text, "\n", "\n  "))
	}
	return b.String()
}

// Change records how one version of the configuration was created.
type Change struct {
	Version  uint64          `cbor:"version" json:"version"`
	Time     timer.Timestamp `cbor:"time" json:"time"`
	Operator string          `cbor:"operator" json:"operator"`
	Plan     string          `cbor:"plan" json:"plan"`
	Summary  string          `cbor:"summary" json:"summary"`
}

// String describes the change.
func (c Change) String() string {
	return fmt.Sprintf("version %d was made by %s at %s: %s (plan %s)", c.Version, c.Operator, c.Time, c.Summary, c.Plan)
}
