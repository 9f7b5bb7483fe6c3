package commander

import (
	"errors"
	"fmt"

	"github.com/redwingledge/redwingledge/rwctl/services/requester"
	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// ErrPlanNotShown reports that the audit trail has no line that shows the plan.
type ErrPlanNotShown struct{ Plan string }

// Error implements error.
func (e ErrPlanNotShown) Error() string {
	return fmt.Sprintf("the audit trail has no plan %q", e.Plan)
}

// IsErrPlanNotShown reports whether err is an ErrPlanNotShown.
func IsErrPlanNotShown(err error) bool {
	var target ErrPlanNotShown
	return errors.As(err, &target)
}

// showPlan prints the newest plan with the id as it was shown to the operator. It computes the
// hashes of the trail and of the text itself instead of trusting control.
func (c *auditCommand) showPlan(s *session) error {
	var shownLine auditor.Line
	var hash auditor.Hash
	if _, err := s.walkAudit(func(line auditor.Line, _ auditor.Head) error {
		if textHash, ok := auditor.ParsePlanShown(line); ok && line.Plan == c.Plan {
			shownLine, hash = line, textHash
		}
		return nil
	}); err != nil {
		return err
	}
	if shownLine.Sequence == 0 {
		return ErrPlanNotShown{Plan: c.Plan}
	}
	text, err := requester.Call[operator.GetPlanTextRequest, operator.PlanText](s.ctx, s.requester, operator.MethodGetPlanText, operator.GetPlanTextRequest{Hash: hash}, 0)
	if err != nil {
		return err
	}
	if got := auditor.HashPlanText(text.Text); text.Kept && got != hash {
		return auditor.ErrPlanTextChanged{Plan: c.Plan, Sequence: shownLine.Sequence, Want: hash, Got: got}
	}
	if !text.Kept {
		s.code = ExitError
	}
	return s.presenter.WritePlanText(shownLine, hash, text)
}
