package planner

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	trail "github.com/redwingledge/redwingledge/control/services/auditor"
	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Bounds of the state.
const (
	// maxAnswers is the number of stored answers, from the design page.
	maxAnswers = 10_000
	// maxOpenPlans bounds the memory of declarations in open plans, which have
	// about 100 kB each at the design size.
	maxOpenPlans = 100
	// maxClosedPlans and maxHistory bound what is listed; the audit trail keeps
	// everything.
	maxClosedPlans = 1000
	maxHistory     = 1000
	// maxChanges bounds the changes that a refusal names.
	maxChanges = 20
	// minCompressed is the least size of an answer, in bytes, that is compressed.
	// Plans have about 2 kB and most refusals below 300 bytes.
	minCompressed = 512
	// maxAnswerBytes bounds a stored answer when it is read.
	maxAnswerBytes = 16 << 20
	// maxMessageBytes bounds the message of a stored refusal, which may quote a
	// name from the request.
	maxMessageBytes = 16 << 10
)

// stateFormat is the version of the snapshot encoding.
const stateFormat = 1

// state is everything that the log determines.
type state struct {
	Format  uint              `cbor:"format"`
	Index   uint64            `cbor:"index"`
	Catalog cataloger.Catalog `cbor:"catalog"`
	History []operator.Change `cbor:"history"`
	Plans   []record          `cbor:"plans"`
	// Answers are in the order in which they were given.
	Answers []storedAnswer `cbor:"answers"`
	Trail   trail.Stored   `cbor:"trail"`
	// Texts are those of the newest plans, the oldest first.
	Texts []planText `cbor:"texts"`

	trail *trail.Trail
	// byRequest finds answers by their key.
	byRequest map[string]storedAnswer
}

// record is a plan with what it needs at confirmation.
type record struct {
	Plan   operator.Plan `cbor:"plan"`
	Intent operator.Body `cbor:"intent"`
	// Declared is dropped once the plan is closed.
	Declared *cataloger.Catalog `cbor:"declared,omitempty"`
}

func (r record) isExpired(now timer.Timestamp) bool {
	return r.Plan.State == operator.PlanOpen && now >= r.Plan.Expires
}

type storedAnswer struct {
	Key         string `cbor:"key"`
	Fingerprint []byte `cbor:"fingerprint"`
	// Data is the encoded answer.
	Data []byte `cbor:"data"`
	// Compressed tells that Data is compressed.
	Compressed bool `cbor:"compressed,omitempty"`
}

func (a storedAnswer) encoded() ([]byte, error) {
	if !a.Compressed {
		return a.Data, nil
	}
	return trail.Decompress(a.Data, maxAnswerBytes)
}

func newState() state {
	return state{Format: stateFormat, trail: new(trail.Trail), byRequest: make(map[string]storedAnswer)}
}

func decodeState(snapshot []byte) (state, error) {
	s := newState()
	if err := cbor.Unmarshal(snapshot, &s); err != nil {
		return state{}, fmt.Errorf("decode a snapshot: %w", err)
	}
	if s.Format != stateFormat {
		return state{}, fmt.Errorf("decode a snapshot: format %d is not known", s.Format)
	}
	if err := s.trail.Restore(s.Trail); err != nil {
		return state{}, err
	}
	s.Trail = trail.Stored{}
	for _, a := range s.Answers {
		s.byRequest[a.Key] = a
	}
	return s, nil
}

// answerOnce returns the stored answer of a resent request, or else carries the
// request out and stores the answer. Refusals for the role are not stored, so
// that operators without the role cannot displace the answers of others.
func (s *state) answerOnce(request Request, carryOut func() operator.Answer) []byte {
	key := request.Operator + "\x00" + request.ID
	if stored, ok := s.byRequest[key]; ok {
		if !bytes.Equal(stored.Fingerprint, request.Fingerprint) {
			return encodeAnswer(s.refuseAudited(request, "", operator.ReasonRequestID, "request id %q was already used for another request", request.ID))
		}
		data, err := stored.encoded()
		if err != nil {
			return encodeAnswer(s.refuse(operator.ReasonInvalid, "the first answer cannot be read: %v", err))
		}
		return data
	}
	answer := carryOut()
	if answer.Refusal != nil {
		answer.Refusal.Message = auditor.CutText(answer.Refusal.Message, maxMessageBytes)
	}
	data := encodeAnswer(answer)
	if answer.Refusal != nil && answer.Refusal.Reason == operator.ReasonRole {
		return data
	}
	stored := storedAnswer{Key: key, Fingerprint: request.Fingerprint, Data: data}
	if len(data) >= minCompressed {
		stored.Data, stored.Compressed = trail.Compress(data), true
	}
	s.byRequest[key] = stored
	s.Answers = append(s.Answers, stored)
	if len(s.Answers) > maxAnswers {
		delete(s.byRequest, s.Answers[0].Key)
		s.Answers = s.Answers[1:]
	}
	return data
}

func encodeAnswer(answer operator.Answer) []byte {
	data, err := cbor.Marshal(answer)
	if err != nil {
		// Answers have only types that always have an encoding.
		panic(fmt.Sprintf("encode an answer: %v", err))
	}
	return data
}

func (s *state) audit(line auditor.Line) {
	line.Version = s.Catalog.Version
	s.trail.Append(line)
}

func (s *state) refuse(reason operator.Reason, format string, args ...any) operator.Answer {
	return operator.Answer{
		Refusal: &operator.Refusal{Reason: reason, Message: fmt.Sprintf(format, args...)},
		Version: s.Catalog.Version,
	}
}

func (s *state) refuseAudited(request Request, planID string, reason operator.Reason, format string, args ...any) operator.Answer {
	answer := s.refuse(reason, format, args...)
	s.auditRefusal(request, planID, *answer.Refusal)
	return answer
}

func (s *state) auditRefusal(request Request, planID string, refusal operator.Refusal) {
	s.audit(auditor.Line{
		Time: request.Now, Operator: request.Operator, Event: auditor.EventRefusal, Request: request.ID, Plan: planID,
		Text: fmt.Sprintf("%s: %s", refusal.Reason, refusal.Message),
	})
}

// checkRole returns a refusal if the operator may not do what needs the role.
func (s *state) checkRole(request Request, needed cataloger.Role, action string) *operator.Answer {
	if len(s.Catalog.Operators) == 0 && request.Bootstrap {
		return nil
	}
	o, err := s.Catalog.GetOperator(request.Operator)
	if err == nil && o.Role.Includes(needed) && !request.Bootstrap {
		return nil
	}
	var answer operator.Answer
	switch {
	case request.Bootstrap:
		answer = s.refuseAudited(request, "", operator.ReasonRole, "to %s: the bootstrap token is no longer valid, because the configuration has operators", action)
	case err != nil:
		answer = s.refuseAudited(request, "", operator.ReasonRole, "to %s: %v", action, err)
	default:
		answer = s.refuseAudited(request, "", operator.ReasonRole, "to %s needs the role %s; %s has the role %s", action, needed, request.Operator, o.Role)
	}
	return &answer
}

func (s *state) findPlan(id string) int {
	for i := range s.Plans {
		if s.Plans[i].Plan.ID == id {
			return i
		}
	}
	return -1
}

func (s *state) countOpenPlans() int {
	count := 0
	for i := range s.Plans {
		if s.Plans[i].Plan.State == operator.PlanOpen {
			count++
		}
	}
	return count
}

func (s *state) closePlan(i int, to operator.PlanState, by string, now timer.Timestamp) {
	r := &s.Plans[i]
	r.Plan.State, r.Plan.ClosedBy, r.Plan.Closed = to, by, now
	r.Declared = nil
	if len(s.Plans)-s.countOpenPlans() > maxClosedPlans {
		oldest := slices.IndexFunc(s.Plans, func(r record) bool { return r.Plan.State != operator.PlanOpen })
		s.Plans = slices.Delete(s.Plans, oldest, oldest+1)
	}
}

// changesSince returns the newest changes after the version.
func (s *state) changesSince(version uint64) []operator.Change {
	i := slices.IndexFunc(s.History, func(c operator.Change) bool { return c.Version > version })
	if i < 0 {
		return nil
	}
	return slices.Clone(s.History[max(i, len(s.History)-maxChanges):])
}
