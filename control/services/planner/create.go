package planner

import (
	"fmt"
	"time"

	trail "github.com/redwingledge/redwingledge/control/services/auditor"
	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// PlanLifetime is the time after its creation during which a plan can be confirmed.
const PlanLifetime = 10 * time.Minute

func (s *state) createPlan(c CreatePlan) operator.PlanResponse {
	if refused := s.checkRole(c.Request, cataloger.RolePlanner, "create a plan"); refused != nil {
		return *refused
	}
	intent, err := c.Intent.Unwrap()
	if err != nil {
		return s.refuseAudited(c.Request, "", operator.ReasonInvalid, "%v", err)
	}
	s.audit(auditor.Line{Time: c.Request.Now, Operator: c.Request.Operator, Event: auditor.EventIntent, Request: c.Request.ID, Text: intent.String()})
	if c.BaseVersion != 0 && c.BaseVersion != s.Catalog.Version {
		answer := s.refuse(operator.ReasonStale, "the request was made for version %d, and version %d is in force", c.BaseVersion, s.Catalog.Version)
		answer.Refusal.Changes = s.changesSince(c.BaseVersion)
		s.auditRefusal(c.Request, "", *answer.Refusal)
		return answer
	}
	if s.countOpenPlans() >= maxOpenPlans {
		return s.refuseAudited(c.Request, "", operator.ReasonBusy, "%d plans are open; confirm one or wait until they expire", maxOpenPlans)
	}
	r, refusal := s.makePlan(c.PlanID, c.Request.Operator, c.Request.Now, c.Intent, c.Declared, c.Load)
	if refusal != nil {
		s.auditRefusal(c.Request, "", *refusal)
		return operator.PlanResponse{Refusal: refusal, Version: s.Catalog.Version}
	}
	s.recordPlan(c.Request, r)
	return operator.PlanResponse{Plan: &r.Plan, Version: s.Catalog.Version}
}

// makePlan returns a plan that describes the effect of the intent on the
// configuration in force. It does not change the state.
func (s *state) makePlan(id, author string, now timer.Timestamp, body operator.Body, declared *cataloger.Catalog, load observer.Summary) (planRecord, *operator.Refusal) {
	intent, err := body.Unwrap()
	if err != nil {
		return planRecord{}, &operator.Refusal{Reason: operator.ReasonInvalid, Message: err.Error()}
	}
	if s.findPlan(id) >= 0 {
		return planRecord{}, &operator.Refusal{Reason: operator.ReasonBusy, Message: fmt.Sprintf("plan id %s is taken; send a new request", id)}
	}
	target, refusal := changeCatalog(s.Catalog, intent, declared)
	if refusal != nil {
		return planRecord{}, refusal
	}
	described := describe(planInput{base: s.Catalog, target: target, load: load, now: now}, intent)
	if takeOut, ok := intent.(operator.TakeOut); ok && described.overload != "" && !takeOut.AcceptOverload {
		return planRecord{}, &operator.Refusal{
			Reason:  operator.ReasonOverload,
			Message: fmt.Sprintf("to take out %s would overload what remains; repeat with --accept-overload to plan it nevertheless", takeOut.DataCentre), Differences: []string{described.overload},
		}
	}
	return planRecord{
		Plan: operator.Plan{
			ID: id, Operator: author, Intent: summariseIntent(intent, s.Catalog, target), BaseVersion: s.Catalog.Version,
			Created: now, Expires: now.Add(PlanLifetime), Sections: described.sections, Facts: described.facts, State: operator.PlanOpen,
		},
		Intent: body, Declared: declared,
	}, nil
}

// recordPlan stores the plan and its text, and adds the hash of the text to the
// audit trail.
func (s *state) recordPlan(request Request, r planRecord) {
	s.Plans = append(s.Plans, r)
	s.audit(auditor.Line{
		Time: request.Now, Operator: request.Operator, Event: auditor.EventPlanShown, Request: request.ID, Plan: r.Plan.ID,
		Text: auditor.FormatPlanShown(r.Plan.Intent, s.keepText(r.Plan.Text()), trail.MaxTextLength),
	})
}
