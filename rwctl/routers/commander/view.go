package commander

import (
	"errors"
	"fmt"

	"github.com/redwingledge/redwingledge/rwctl/services/requester"
	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

type statusCommand struct{}

// Run prints the status of the system.
func (c *statusCommand) Run(s *session) error {
	status, err := s.status(0, 0)
	if err != nil {
		return err
	}
	return s.presenter.WriteStatus(status)
}

type plansCommand struct {
	All bool `name:"all" help:"List closed plans too."`
}

// Run prints the plans.
func (c *plansCommand) Run(s *session) error {
	list, err := requester.Call[operator.ListPlansRequest, operator.PlanList](s.ctx, s.requester, operator.MethodListPlans, operator.ListPlansRequest{All: c.All}, 0)
	if err != nil {
		return err
	}
	return s.presenter.WritePlans(list.Plans)
}

type watchCommand struct {
	After *uint64 `name:"after" placeholder:"N" help:"Start after this line instead of the last one."`
}

// Run prints new lines of the audit trail until the context ends. After a lost connection it
// continues after the last line printed.
func (c *watchCommand) Run(s *session) error {
	var after uint64
	if c.After != nil {
		after = *c.After
	} else {
		status, err := s.status(0, 0)
		if err != nil {
			return err
		}
		after = status.AuditHead.Sequence
	}
	for s.ctx.Err() == nil {
		if err := c.showNewLines(s, &after); requester.IsErrNoAnswer(err) && s.ctx.Err() == nil {
			fmt.Fprintln(s.stderr, "rwctl:", err)
		} else if err != nil && s.ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// showNewLines waits for lines after the given one and prints them.
func (c *watchCommand) showNewLines(s *session, after *uint64) error {
	if _, err := s.status(*after, operator.MaxWait); err != nil {
		return err
	}
	page, err := s.auditPage(*after, 0)
	if err != nil {
		return err
	}
	for _, line := range page.Lines {
		if err := s.presenter.WriteLine(line); err != nil {
			return err
		}
		*after = line.Sequence
	}
	return nil
}

type auditCommand struct {
	Check  bool   `name:"check" help:"Check the hash chain of the whole trail instead of showing it."`
	Expect string `name:"expect" placeholder:"SEQUENCE:HASH" help:"With --check: a head that an earlier check printed and that must still be part of the trail."`
	Plan   string `name:"plan" placeholder:"ID" help:"Show a plan as the operator saw it, checked against the hash in the audit trail."`
	After  uint64 `name:"after" placeholder:"N" help:"Show the lines after this one."`
	Limit  int    `name:"limit" placeholder:"N" help:"Show at most this many lines; 0 shows all."`
}

// AfterApply validates the flags.
func (c *auditCommand) AfterApply() error {
	if c.Expect != "" && !c.Check {
		return errors.New("--expect: needs --check")
	}
	if c.Check && (c.After != 0 || c.Limit != 0) {
		return errors.New("--check: always checks the whole trail; leave --after and --limit out")
	}
	if c.Plan != "" && (c.Check || c.After != 0 || c.Limit != 0) {
		return errors.New("--plan: always checks the whole trail; leave --check, --after and --limit out")
	}
	if c.Limit < 0 {
		return errors.New("--limit: must not be negative")
	}
	return nil
}

// Run prints or checks the audit trail, or prints a plan from it.
func (c *auditCommand) Run(s *session) error {
	if c.Check {
		return c.check(s)
	}
	if c.Plan != "" {
		return c.showPlan(s)
	}
	remaining := c.Limit
	for after := c.After; ; {
		page, err := s.auditPage(after, remaining)
		if err != nil {
			return err
		}
		for _, line := range page.Lines {
			if err := s.presenter.WriteLine(line); err != nil {
				return err
			}
			after = line.Sequence
		}
		remaining -= len(page.Lines)
		if len(page.Lines) == 0 || (c.Limit > 0 && remaining <= 0) {
			return nil
		}
	}
}

// check recomputes all hashes instead of trusting those from control.
func (c *auditCommand) check(s *session) error {
	var expected auditor.Head
	if c.Expect != "" {
		var err error
		if expected, err = auditor.ParseHead(c.Expect); err != nil {
			return fmt.Errorf("--expect: %w", err)
		}
	}
	head, err := s.walkAudit(func(_ auditor.Line, head auditor.Head) error {
		if head.Sequence == expected.Sequence && head != expected {
			return auditor.ErrChainBroken{Sequence: head.Sequence, Reason: fmt.Sprintf("the hash of the line is %s and not the expected one", head.Hash)}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if head.Sequence < expected.Sequence {
		return auditor.ErrChainBroken{Sequence: head.Sequence + 1, Reason: fmt.Sprintf("the trail ends before the expected line %d", expected.Sequence)}
	}
	return s.presenter.WriteCheck(head)
}

// walkAudit fetches the whole audit trail and computes its hash chain. It calls visit for each line
// with the head after it.
func (s *session) walkAudit(visit func(auditor.Line, auditor.Head) error) (auditor.Head, error) {
	var head auditor.Head
	for {
		page, err := s.auditPage(head.Sequence, 0)
		if err != nil {
			return head, err
		}
		for _, line := range page.Lines {
			if head, err = head.Next(line); err != nil {
				return head, err
			}
			if err := visit(line, head); err != nil {
				return head, err
			}
		}
		if len(page.Lines) > 0 {
			continue
		}
		if page.Head != head {
			return head, auditor.ErrChainBroken{Sequence: head.Sequence, Reason: fmt.Sprintf("control reports the head %s, but the lines end with the head %s", page.Head, head)}
		}
		return head, nil
	}
}
