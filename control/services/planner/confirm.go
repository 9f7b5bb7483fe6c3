package planner

import (
	"fmt"

	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

func (s *state) confirmPlan(c ConfirmPlan) operator.PlanResponse {
	if refused := s.checkRole(c.Request, cataloger.RoleConfirmer, "confirm a plan"); refused != nil {
		return *refused
	}
	s.audit(auditor.Line{
		Time: c.Request.Now, Operator: c.Request.Operator, Event: auditor.EventConfirmation, Request: c.Request.ID, Plan: c.PlanID,
		Text: "asks to confirm the plan",
	})
	s.expirePlans(c.Request.Now)
	i := s.findPlan(c.PlanID)
	if i < 0 {
		return s.refuseAudited(c.Request, c.PlanID, operator.ReasonNoPlan, "plan %q does not exist", c.PlanID)
	}
	plan := s.Plans[i].Plan
	if refused := s.checkOpen(c, plan); refused != nil {
		return *refused
	}
	if s.Catalog.Policies.ForbidSelfConfirm && plan.Operator == c.Request.Operator {
		return s.refuseAudited(c.Request, c.PlanID, operator.ReasonSelfConfirm, "%s created the plan, and the policy forbid_self_confirm asks for another operator", plan.Operator)
	}
	return s.executePlan(c, i)
}

func (s *state) checkOpen(c ConfirmPlan, plan operator.Plan) *operator.PlanResponse {
	var answer operator.PlanResponse
	switch plan.State {
	case operator.PlanOpen:
		return nil
	case operator.PlanConfirmed:
		answer = s.refuseAudited(c.Request, c.PlanID, operator.ReasonClosed, "plan %s was already confirmed by %s at %s as version %d", plan.ID, plan.ClosedBy, plan.Closed, plan.Version)
	case operator.PlanExpired:
		answer = s.refuseAudited(c.Request, c.PlanID, operator.ReasonExpired, "plan %s expired at %s; create a new one", plan.ID, plan.Expires)
	default:
		answer = s.refuseAudited(c.Request, c.PlanID, operator.ReasonClosed, "plan %s no longer held at %s, when %s asked to confirm it; see the newer plans", plan.ID, plan.Closed, plan.ClosedBy)
	}
	return &answer
}

// executePlan puts the new configuration version in force if the plan still
// holds. Otherwise it refuses the confirmation and creates a replacement plan.
func (s *state) executePlan(c ConfirmPlan, i int) operator.PlanResponse {
	old := s.Plans[i]
	// The replacement plan belongs to the operator who created the first one, so
	// that the confirming operator may confirm it under forbid_self_confirm.
	newRecord, refusal := s.makePlan(c.NewPlanID, old.Plan.Operator, c.Request.Now, old.Intent, old.Declared, c.Load)
	differences := s.listDifferences(old.Plan, newRecord.Plan, refusal == nil)
	if len(differences) > 0 || refusal != nil {
		return s.refuseStale(c, i, newRecord, refusal, differences)
	}
	intent, err := old.Intent.Unwrap()
	if err != nil {
		return s.refuseAudited(c.Request, c.PlanID, operator.ReasonInvalid, "%v", err)
	}
	target, refusal := changeCatalog(s.Catalog, intent, old.Declared)
	if refusal != nil {
		return operator.PlanResponse{Refusal: refusal, Version: s.Catalog.Version}
	}
	version := s.Catalog.Version + 1
	s.Catalog = target.WithVersion(version)
	s.Plans[i].Plan.Version = version
	s.closePlan(i, operator.PlanConfirmed, c.Request.Operator, c.Request.Now)
	plan := old.Plan
	plan.State, plan.ClosedBy, plan.Closed, plan.Version = operator.PlanConfirmed, c.Request.Operator, c.Request.Now, version
	change := operator.Change{Version: version, Time: c.Request.Now, Operator: c.Request.Operator, Plan: plan.ID, Summary: plan.Intent}
	s.History = append(s.History, change)
	s.History = s.History[max(0, len(s.History)-maxHistory):]
	s.audit(auditor.Line{
		Time: c.Request.Now, Operator: c.Request.Operator, Event: auditor.EventOutcome, Request: c.Request.ID, Plan: plan.ID,
		Text: fmt.Sprintf("version %d is in force: %s", version, plan.Intent),
	})
	return operator.PlanResponse{Plan: &plan, Version: version}
}

// listDifferences describes what no longer holds of a plan: its base version and,
// if hasNewPlan is set, the facts that differ from those of newPlan.
func (s *state) listDifferences(plan, newPlan operator.Plan, hasNewPlan bool) []string {
	var differences []string
	if plan.BaseVersion != s.Catalog.Version {
		differences = append(differences, fmt.Sprintf("the plan was made from version %d, and version %d is in force", plan.BaseVersion, s.Catalog.Version))
	}
	if hasNewPlan {
		differences = append(differences, compareFacts(plan.Facts, newPlan.Facts)...)
	}
	return differences
}

func (s *state) refuseStale(c ConfirmPlan, i int, newRecord planRecord, refusal *operator.Refusal, differences []string) operator.PlanResponse {
	old := s.Plans[i].Plan
	answer := s.refuse(operator.ReasonStale, "plan %s no longer holds", old.ID)
	answer.Refusal.Differences = differences
	answer.Refusal.Changes = s.changesSince(old.BaseVersion)
	if refusal != nil {
		answer.Refusal.Message += ", and there is no new plan: " + refusal.Message
		answer.Refusal.Differences = append(answer.Refusal.Differences, refusal.Differences...)
	}
	s.closePlan(i, operator.PlanStale, c.Request.Operator, c.Request.Now)
	s.auditRefusal(c.Request, old.ID, *answer.Refusal)
	if refusal == nil {
		s.recordPlan(c.Request, newRecord)
		answer.Plan = &newRecord.Plan
	}
	return answer
}

func (s *state) expirePlans(now timer.Timestamp) {
	// Closing a plan may remove an older closed plan, which shifts the indexes.
	for i := 0; i < len(s.Plans); i++ {
		if !s.Plans[i].isExpired(now) {
			continue
		}
		plan := s.Plans[i].Plan
		before := len(s.Plans)
		s.closePlan(i, operator.PlanExpired, "", now)
		i -= before - len(s.Plans)
		s.audit(auditor.Line{Time: now, Operator: plan.Operator, Event: auditor.EventOutcome, Plan: plan.ID, Text: "the plan expired unconfirmed: " + plan.Intent})
	}
}
