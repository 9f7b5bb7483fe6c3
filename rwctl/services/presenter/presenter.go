// Package presenter writes the responses of control as text or JSON.
package presenter

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// Format is an output format.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Presenter writes responses to an output in one format.
type Presenter struct {
	w      io.Writer
	format Format
}

// New returns a Presenter that writes to w.
func New(w io.Writer, format Format) *Presenter { return &Presenter{w: w, format: format} }

// answerOutput is the JSON form of the response to CreatePlan or ConfirmPlan.
type answerOutput struct {
	RequestID string `json:"request_id"`
	operator.PlanResponse
}

// WriteAnswer writes the response to CreatePlan or ConfirmPlan.
func (p *Presenter) WriteAnswer(requestID string, answer operator.PlanResponse) error {
	if p.format == FormatJSON {
		return p.writeJSON(answerOutput{RequestID: requestID, PlanResponse: answer})
	}
	var b strings.Builder
	if r := answer.Refusal; r != nil {
		fmt.Fprintf(&b, "Refused: %s\n", r.Message)
		for _, line := range r.Differences {
			fmt.Fprintf(&b, "  %s\n", strings.ReplaceAll(line, "\n", "\n  "))
		}
		for _, change := range r.Changes {
			fmt.Fprintf(&b, "  %s\n", change)
		}
		if answer.Plan != nil {
			b.WriteString("\nThis plan takes its place.\n\n")
		}
	}
	if plan := answer.Plan; plan != nil {
		if plan.State == operator.PlanConfirmed {
			fmt.Fprintf(&b, "Confirmed: plan %s by %s: %s\nVersion %d is in force.\n", plan.ID, plan.Operator, plan.Intent, plan.Version)
		} else {
			fmt.Fprintf(&b, "%s\nNothing has changed yet. To carry the plan out:\n  rwctl confirm %s\n", plan.Text(), plan.ID)
		}
	}
	return p.writeText(b.String())
}

// WriteStatus writes the status of the system.
func (p *Presenter) WriteStatus(s operator.Status) error {
	if p.format == FormatJSON {
		return p.writeJSON(s)
	}
	return p.writeTable(func(w io.Writer) {
		fmt.Fprintf(w, "version\t%d\n", s.Version)
		if c := s.LastChange; c != nil {
			fmt.Fprintf(w, "last change\t%s by %s: %s (plan %s)\n", c.Time, c.Operator, c.Summary, c.Plan)
		}
		fmt.Fprintf(w, "leader\t%s, %d control replicas\n", s.Replica, len(s.Control))
		for _, d := range s.DataCentres {
			state := "in service"
			if d.TakenOut {
				state = "taken out"
			}
			fmt.Fprintf(w, "data centre %s\t%s, region %s\n", d.Name, state, d.Region)
		}
		for _, id := range s.Drained {
			fmt.Fprintf(w, "drained\t%s\n", id)
		}
		load := fmt.Sprintf("%d of %d entries and gateways report", s.Load.Reporters, s.Load.Expected)
		if s.Load.IsKnown() {
			load += ", the oldest at " + s.Load.Oldest.String()
		}
		fmt.Fprintf(w, "load\t%s\n", load)
		for _, g := range s.Load.Groups {
			fmt.Fprintf(w, "%s in %s\t%d of %d backend servers ready, %d flows, %d connections\n", g.Service, g.DataCentre, g.Ready, g.Servers, g.Flows, g.Connections)
		}
		fmt.Fprintf(w, "open plans\t%d\n", s.OpenPlans)
		fmt.Fprintf(w, "audit head\t%s\n", s.AuditHead)
	})
}

// WritePlans writes a list of plans.
func (p *Presenter) WritePlans(plans []operator.Plan) error {
	if p.format == FormatJSON {
		return p.writeJSON(slices.Concat([]operator.Plan{}, plans))
	}
	return p.writeTable(func(w io.Writer) {
		fmt.Fprintln(w, "PLAN\tSTATE\tCREATED\tEXPIRES\tBASE\tOPERATOR\tINTENT")
		for _, plan := range plans {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", plan.ID, plan.State, plan.Created, plan.Expires, plan.BaseVersion, plan.Operator, plan.Intent)
		}
	})
}

// WriteLine writes one line of the audit trail. JSON output is one document per line.
func (p *Presenter) WriteLine(line auditor.Line) error {
	if p.format == FormatJSON {
		data, err := json.Marshal(line)
		if err != nil {
			return fmt.Errorf("encode the output: %w", err)
		}
		return p.writeText(string(data) + "\n")
	}
	operatorName := line.Operator
	if operatorName == "" {
		operatorName = "(unknown)"
	}
	text := fmt.Sprintf("%d %s %s %s", line.Sequence, line.Time, operatorName, line.Event)
	if line.Plan != "" {
		text += " plan " + line.Plan
	}
	return p.writeText(text + ": " + strings.ReplaceAll(line.Text, "\n", " ") + "\n")
}

// checkOutput is the JSON form of the result of a successful audit check.
type checkOutput struct {
	Checked uint64       `json:"checked"`
	Head    auditor.Head `json:"head"`
}

// WriteCheck writes the result of a successful audit check.
func (p *Presenter) WriteCheck(head auditor.Head) error {
	if p.format == FormatJSON {
		return p.writeJSON(checkOutput{Checked: head.Sequence, Head: head})
	}
	return p.writeText(fmt.Sprintf("The hash chain of %d lines is unbroken.\nKeep this head, and give it to a later check with --expect:\n  %s\n", head.Sequence, head))
}

// planTextOutput is the JSON form of a plan text as it was shown to the operator.
type planTextOutput struct {
	Plan     string       `json:"plan"`
	Sequence uint64       `json:"sequence"`
	Hash     auditor.Hash `json:"sha256"`
	Kept     bool         `json:"kept"`
	// Matches is set if the text matches the hash in the audit trail.
	Matches bool   `json:"matches"`
	Text    string `json:"text,omitempty"`
}

// WritePlanText writes a plan text as it was shown to the operator, or that it is no longer kept.
// The text must match the hash in the line of the audit trail.
func (p *Presenter) WritePlanText(line auditor.Line, hash auditor.Hash, text operator.PlanText) error {
	if p.format == FormatJSON {
		return p.writeJSON(planTextOutput{Plan: line.Plan, Sequence: line.Sequence, Hash: hash, Kept: text.Kept, Matches: text.Kept, Text: text.Text})
	}
	if !text.Kept {
		return p.writeText(fmt.Sprintf("The text of plan %s is no longer kept. Line %d of the audit trail of %s names the SHA-256 %s.\n", line.Plan, line.Sequence, line.Time, hash))
	}
	return p.writeText(fmt.Sprintf("%s\nThis text was shown at %s. Its SHA-256 %s is the one in line %d of the audit trail.\n", text.Text, line.Time, hash, line.Sequence))
}

func (p *Presenter) writeTable(fill func(io.Writer)) error {
	const padding = 2
	w := tabwriter.NewWriter(p.w, 0, 0, padding, ' ', 0)
	fill(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write the output: %w", err)
	}
	return nil
}

func (p *Presenter) writeJSON(v any) error {
	encoder := json.NewEncoder(p.w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(withEmptySlices(v)); err != nil {
		return fmt.Errorf("write the output: %w", err)
	}
	return nil
}

func (p *Presenter) writeText(text string) error {
	if _, err := io.WriteString(p.w, text); err != nil {
		return fmt.Errorf("write the output: %w", err)
	}
	return nil
}
