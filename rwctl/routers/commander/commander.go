package commander

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"

	"github.com/redwingledge/redwingledge/rwctl/services/presenter"
	"github.com/redwingledge/redwingledge/rwctl/services/requester"
	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

// Exit codes of rwctl.
const (
	ExitSuccess  = 0
	ExitError    = 1 // invalid arguments, an invalid declaration, a local error, or a plan text that is not available
	ExitRefused  = 2 // control refused the request; nothing was changed
	ExitStale    = 3 // the plan is stale; nothing was changed
	ExitNoAnswer = 4 // no leader answered; the message tells whether the request may have been carried out
	ExitTampered = 5 // the audit trail was changed
)

type commands struct {
	settings

	Apply          applyCommand          `cmd:"" help:"Plan to put a declaration in force."`
	Drain          drainCommand          `cmd:"" help:"Plan to stop new flows to a backend server."`
	Undrain        undrainCommand        `cmd:"" help:"Plan to allow new flows to a drained backend server."`
	TakeOut        takeOutCommand        `cmd:"" help:"Plan to take a data centre out."`
	BringBack      bringBackCommand      `cmd:"" help:"Plan to bring a data centre back."`
	ReplaceReplica replaceReplicaCommand `cmd:"" help:"Plan to put another control replica in the place of one."`
	Confirm        confirmCommand        `cmd:"" help:"Carry a plan out."`
	Status         statusCommand         `cmd:"" help:"Show the state of the system."`
	Plans          plansCommand          `cmd:"" help:"List the open plans."`
	Watch          watchCommand          `cmd:"" help:"Show each new line of the audit trail until interrupted."`
	Explain        explainCommand        `cmd:"" help:"Show the life of one flow or backend server from log files, without asking control."`
	Where          whereCommand          `cmd:"" help:"Show what an entry would do with a new flow now, without asking control."`
	Audit          auditCommand          `cmd:"" help:"Show or check the audit trail, or show a plan as the operator saw it."`
}

// explainName is kong's name of the explain command, which needs no session.
const explainName = "explain <files>"

// session has the connection, output and exit code of one run of a command.
type session struct {
	ctx       context.Context
	requester *requester.Requester
	presenter *presenter.Presenter
	stderr    io.Writer
	code      int
}

const description = "Plans and confirms changes of redwingledge. Exit codes: 0 done, 1 wrong arguments or local fault, " +
	"2 refused, 3 the plan no longer holds, 4 no answer (repeat with the same --request-id), 5 the audit trail was changed."

// Run parses and runs the command line, and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var c commands
	exited := false
	parser, err := kong.New(&c, kong.Name("rwctl"), kong.Description(description), kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }), kong.Vars{"version": setting.Version()})
	if err != nil {
		fmt.Fprintln(stderr, "rwctl:", err)
		return ExitError
	}
	parsed, err := parser.Parse(args)
	if exited {
		return ExitSuccess
	}
	if err != nil {
		fmt.Fprintln(stderr, "rwctl:", err)
		return ExitError
	}
	switch parsed.Command() {
	case explainName:
		return finish(c.Explain.run(stdout), stderr)
	case whereName:
		return finish(c.Where.run(ctx, stdout, c.Output, c.Timeout), stderr)
	}
	s, err := newSession(ctx, &c.settings, stdout, stderr)
	if err == nil {
		defer s.requester.Close()
		err = parsed.Run(s)
	}
	if err != nil {
		fmt.Fprintln(stderr, "rwctl:", err)
		return exitCode(err)
	}
	return s.code
}

// finish prints the error, if any, of a command without a session and returns the exit code.
func finish(err error, stderr io.Writer) int {
	if err == nil {
		return ExitSuccess
	}
	fmt.Fprintln(stderr, "rwctl:", err)
	return exitCode(err)
}

func newSession(ctx context.Context, flags *settings, stdout, stderr io.Writer) (*session, error) {
	token, err := flags.loadToken()
	if err != nil {
		return nil, err
	}
	config, err := flags.loadTLS()
	if err != nil {
		return nil, err
	}
	return &session{
		ctx: ctx, stderr: stderr, presenter: presenter.New(stdout, flags.Output),
		requester: requester.New(flags.Control, config, token, flags.Timeout),
	}, nil
}

func exitCode(err error) int {
	var broken auditor.ErrChainBroken
	switch {
	// ErrNoAnswer must be checked first, because it may wrap an ErrNotAdmitted.
	case requester.IsErrNoAnswer(err):
		return ExitNoAnswer
	case requester.IsErrNotAdmitted(err):
		return ExitRefused
	case errors.As(err, &broken), auditor.IsErrPlanTextChanged(err):
		return ExitTampered
	default:
		return ExitError
	}
}

// sendChange sends a request with an id. It prints the id first, so that the operator can retry
// with the same id if there is no answer.
func sendChange[Req any](s *session, flags changeFlags, method string, newRequest func(id string) Req) error {
	id := flags.RequestID
	if id == "" {
		var random [8]byte
		if _, err := rand.Read(random[:]); err != nil {
			return fmt.Errorf("read random bytes: %w", err)
		}
		id = hex.EncodeToString(random[:])
	}
	fmt.Fprintf(s.stderr, "request id: %s\n", id)
	answer, err := requester.Call[Req, operator.PlanResponse](s.ctx, s.requester, method, newRequest(id), 0)
	if requester.IsErrNotAdmitted(err) && flags.RequestID != "" {
		// The earlier attempt with the same id may still have been carried out.
		return requester.ErrNoAnswer{Attempts: 1, MayHaveRun: true, Last: err}
	}
	if err != nil {
		return err
	}
	if r := answer.Refusal; r != nil {
		s.code = ExitRefused
		if r.Reason == operator.ReasonStale {
			s.code = ExitStale
		}
	}
	return s.presenter.WriteAnswer(id, answer)
}

func (s *session) createPlan(flags planFlags, intent operator.Intent) error {
	return sendChange(s, flags.changeFlags, operator.MethodCreatePlan, func(id string) operator.CreatePlanRequest {
		return operator.CreatePlanRequest{RequestID: id, BaseVersion: flags.BaseVersion, Intent: operator.Wrap(intent)}
	})
}

func (s *session) status(known uint64, wait time.Duration) (operator.Status, error) {
	return requester.Call[operator.GetStatusRequest, operator.Status](s.ctx, s.requester, operator.MethodGetStatus,
		operator.GetStatusRequest{Known: known, Wait: wait}, wait)
}

func (s *session) auditPage(after uint64, limit int) (operator.AuditPage, error) {
	return requester.Call[operator.ListAuditRequest, operator.AuditPage](s.ctx, s.requester, operator.MethodListAudit,
		operator.ListAuditRequest{After: after, Limit: limit}, 0)
}
