package planner

import (
	"context"
	"crypto/sha256"
	"encoding/base32"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/services/collector"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Identity is an authenticated operator.
type Identity struct {
	Name string
	// Bootstrap reports whether the operator used the bootstrap token.
	Bootstrap bool
}

// Service turns requests of operators into commands and proposes them. It adds the
// time, random ids and load figures to each command. It is safe for concurrent use.
type Service struct {
	proposer Proposer
	machine  *Machine
	clock    timer.Service

	mu     sync.Mutex
	loads  *collector.Collector
	random io.Reader
}

// NewService returns a Service. Random ids are read from random.
func NewService(proposer Proposer, machine *Machine, clock timer.Service, random io.Reader) *Service {
	return &Service{proposer: proposer, machine: machine, clock: clock, loads: collector.New(), random: random}
}

// CreatePlan creates a plan. The caller must call ReadBarrier first, so that the
// load figures are selected for the configuration in force. Refusals are part of
// the answer. The error is an ErrNotLeader if this replica is not the leader, and
// ErrRequestID if the request id is invalid. After any other error the plan may
// have been created, and a resend with the same request id returns the answer.
func (s *Service) CreatePlan(ctx context.Context, identity Identity, req operator.CreatePlanRequest) (operator.PlanResponse, error) {
	request, err := s.newRequest(identity, req.RequestID, req)
	if err != nil {
		return operator.PlanResponse{}, err
	}
	intent, err := req.Intent.Unwrap()
	if err != nil {
		return s.refuse(ctx, identity, req.RequestID, operator.ReasonInvalid, err.Error())
	}
	command := CreatePlan{Request: request, BaseVersion: req.BaseVersion, Intent: req.Intent}
	if apply, ok := intent.(operator.Apply); ok {
		declared, err := cataloger.Parse(apply.Declaration)
		if err != nil {
			return s.refuse(ctx, identity, req.RequestID, operator.ReasonInvalid, err.Error())
		}
		command.Declared, command.Intent = &declared, operator.Wrap(operator.Apply{})
	}
	command.Load = selectLoad(s.SummariseLoad(), s.machine.Catalog(), intent, command.Declared)
	if command.PlanID, err = s.newPlanID(); err != nil {
		return operator.PlanResponse{}, err
	}
	return s.propose(ctx, command)
}

// ConfirmPlan executes a plan if it still holds. The caller must call ReadBarrier
// first. Errors are those of CreatePlan.
func (s *Service) ConfirmPlan(ctx context.Context, identity Identity, req operator.ConfirmPlanRequest) (operator.PlanResponse, error) {
	request, err := s.newRequest(identity, req.RequestID, req)
	if err != nil {
		return operator.PlanResponse{}, err
	}
	if len(req.PlanID) > operator.MaxPlanIDLength {
		return s.refuse(ctx, identity, req.RequestID, operator.ReasonNoPlan, fmt.Sprintf("a plan id has at most %d bytes", operator.MaxPlanIDLength))
	}
	command := ConfirmPlan{Request: request, PlanID: req.PlanID}
	if intent, declared, ok := s.machine.findIntent(req.PlanID); ok {
		command.Load = selectLoad(s.SummariseLoad(), s.machine.Catalog(), intent, declared)
	}
	if command.NewPlanID, err = s.newPlanID(); err != nil {
		return operator.PlanResponse{}, err
	}
	return s.propose(ctx, command)
}

// RecordRefusal adds a request that this replica refused to the audit trail. The
// error is an ErrNotLeader if this replica is not the leader; after any other error
// the refusal may have been recorded.
func (s *Service) RecordRefusal(ctx context.Context, identity Identity, requestID, text string) error {
	_, err := s.propose(ctx, RecordRefusal{Now: timer.ToTimestamp(s.clock.Now()), Operator: identity.Name, Request: requestID, Text: text})
	return err
}

// ExpirePlans closes the plans whose expiry time has passed. It does nothing if this
// replica is not the leader or no plan has expired.
func (s *Service) ExpirePlans(ctx context.Context) error {
	now := timer.ToTimestamp(s.clock.Now())
	if !s.proposer.Status().IsLeader || !s.machine.HasExpiredPlans(now) {
		return nil
	}
	_, err := s.propose(ctx, ExpirePlans{Now: now})
	return err
}

// AddLoadReport stores the load report of an entry or gateway and returns the interval
// until its next report.
func (s *Service) AddLoadReport(report observer.Report) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.Add(s.clock.Now(), report)
}

// SummariseLoad returns the reported load of all services.
func (s *Service) SummariseLoad() observer.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads.Summarise(s.clock.Now(), s.machine.Catalog())
}

// ReadBarrier waits until the local state includes all commands that were committed
// before the call. It returns an ErrNotLeader if this replica is not the leader.
func (s *Service) ReadBarrier(ctx context.Context) error { return s.proposer.ReadBarrier(ctx) }

// Status returns what this replica knows about the leader.
func (s *Service) Status() Status { return s.proposer.Status() }

// Machine returns the replicated state machine.
func (s *Service) Machine() *Machine { return s.machine }

// Now returns the time of this replica.
func (s *Service) Now() time.Time { return s.clock.Now() }

// LeaderAddress returns the operator address of the leader, or the zero value if it
// is not known.
func (s *Service) LeaderAddress() netip.AddrPort {
	status := s.proposer.Status()
	if replica, err := s.machine.Catalog().GetReplica(status.Leader); err == nil {
		return replica.OperatorAddress
	}
	return status.LeaderAddress
}

func (s *Service) refuse(ctx context.Context, identity Identity, requestID string, reason operator.Reason, message string) (operator.PlanResponse, error) {
	if err := s.RecordRefusal(ctx, identity, requestID, string(reason)+": "+message); err != nil {
		return operator.PlanResponse{}, err
	}
	return operator.PlanResponse{Refusal: &operator.Refusal{Reason: reason, Message: message}, Version: s.machine.Catalog().Version}, nil
}

func (s *Service) propose(ctx context.Context, command Command) (operator.PlanResponse, error) {
	data, err := Encode(command)
	if err != nil {
		return operator.PlanResponse{}, err
	}
	result, err := s.proposer.Propose(ctx, data)
	if err != nil {
		return operator.PlanResponse{}, fmt.Errorf("propose %T: %w", command, err)
	}
	var answer operator.PlanResponse
	if err := cbor.Unmarshal(result, &answer); err != nil {
		return operator.PlanResponse{}, fmt.Errorf("decode the answer to %T: %w", command, err)
	}
	return answer, nil
}

// newRequest checks the request id and hashes the content of the request.
func (s *Service) newRequest(identity Identity, id string, content any) (Request, error) {
	if id == "" || len(id) > operator.MaxRequestIDLength {
		return Request{}, ErrRequestID
	}
	encoded, err := cbor.Marshal(content)
	if err != nil {
		return Request{}, fmt.Errorf("encode a request: %w", err)
	}
	fingerprint := sha256.Sum256(encoded)
	return Request{ID: id, Operator: identity.Name, Bootstrap: identity.Bootstrap, Fingerprint: fingerprint[:], Now: timer.ToTimestamp(s.clock.Now())}, nil
}

// ErrRequestID reports a request whose id is empty or too long.
var ErrRequestID = errors.New("a request id must have 1 to 64 bytes")

// newPlanID returns a random plan id of 8 letters and digits (40 bits), short enough
// to type. Machine refuses an id that a stored plan already has.
func (s *Service) newPlanID() (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var random [5]byte
	if _, err := io.ReadFull(s.random, random[:]); err != nil {
		return "", fmt.Errorf("read random bytes: %w", err)
	}
	const alphabet = "abcdefghjkmnpqrstuvwxyz023456789"
	return base32.NewEncoding(alphabet).EncodeToString(random[:]), nil
}
