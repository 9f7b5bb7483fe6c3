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

// Limits of the state.
const (
	// maxAnswers is the maximum number of stored answers, from the design document.
	maxAnswers = 10_000
	// maxOpenPlans limits the memory for declarations in open plans, which take about
	// 100 kB each in a system of the design size.
	maxOpenPlans = 100
	// maxClosedPlans and maxHistory limit the closed plans and changes that are
	// kept; the audit trail keeps all of them.
	maxClosedPlans = 1000
	maxHistory     = 1000
	// maxRefusalChanges is the maximum number of changes that a refusal lists.
	maxRefusalChanges = 20
	// minCompressBytes is the minimum size, in bytes, of an answer that is
	// compressed. Plans take about 2 kB and most refusals less than 300 bytes.
	minCompressBytes = 512
	// maxAnswerBytes is the maximum size of a stored answer or plan text after
	// decompression.
	maxAnswerBytes = 16 << 20
	// maxMessageBytes is the maximum size of the message of a stored refusal, which
	// may quote a name from the request.
	maxMessageBytes = 16 << 10
)

// stateFormat is the version of the snapshot encoding.
const stateFormat = 1

// state is the replicated state. Its exported fields are the content of a snapshot.
type state struct {
	Format  uint              `cbor:"format"`
	Index   uint64            `cbor:"index"`
	Catalog cataloger.Catalog `cbor:"catalog"`
	History []operator.Change `cbor:"history"`
	Plans   []planRecord      `cbor:"plans"`
	// Answers are ordered from oldest to newest.
	Answers []storedAnswer `cbor:"answers"`
	Trail   trail.Stored   `cbor:"trail"`
	// Texts are the texts of the newest plans, ordered from oldest to newest.
	Texts []planText `cbor:"texts"`

	trail *trail.Trail
	// answersByKey indexes Answers by their key.
	answersByKey map[string]storedAnswer
}

// planRecord is a plan with the input that its confirmation needs.
type planRecord struct {
	Plan   operator.Plan `cbor:"plan"`
	Intent operator.Body `cbor:"intent"`
	// Declared is the parsed declaration of an operator.Apply intent. It is removed
	// when the plan is closed.
	Declared *cataloger.Catalog `cbor:"declared,omitempty"`
}

func (r planRecord) isExpired(now timer.Timestamp) bool {
	return r.Plan.State == operator.PlanOpen && now >= r.Plan.Expires
}

type storedAnswer struct {
	Key         string `cbor:"key"`
	Fingerprint []byte `cbor:"fingerprint"`
	// Data is the encoded answer.
	Data []byte `cbor:"data"`
	// Compressed reports whether Data is compressed.
	Compressed bool `cbor:"compressed,omitempty"`
}

func (a storedAnswer) encoded() ([]byte, error) {
	if !a.Compressed {
		return a.Data, nil
	}
	return trail.Decompress(a.Data, maxAnswerBytes)
}

func newState() state {
	return state{Format: stateFormat, trail: new(trail.Trail), answersByKey: make(map[string]storedAnswer)}
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
		s.answersByKey[a.Key] = a
	}
	return s, nil
}

// executeOnce returns the stored answer of a resent request. Otherwise it executes
// the request and stores the answer. Refusals because of the role are not stored, so
// that operators without the role cannot evict the answers of others.
func (s *state) executeOnce(request Request, execute func() operator.PlanResponse) []byte {
	key := request.Operator + "\x00" + request.ID
	if stored, ok := s.answersByKey[key]; ok {
		if !bytes.Equal(stored.Fingerprint, request.Fingerprint) {
			return encodeAnswer(s.refuseAudited(request, "", operator.ReasonRequestID, "request id %q was already used for another request", request.ID))
		}
		data, err := stored.encoded()
		if err != nil {
			return encodeAnswer(s.refuse(operator.ReasonInvalid, "the first answer cannot be read: %v", err))
		}
		return data
	}
	answer := execute()
	if answer.Refusal != nil {
		answer.Refusal.Message = auditor.TruncateText(answer.Refusal.Message, maxMessageBytes)
	}
	data := encodeAnswer(answer)
	if answer.Refusal != nil && answer.Refusal.Reason == operator.ReasonRole {
		return data
	}
	stored := storedAnswer{Key: key, Fingerprint: request.Fingerprint, Data: data}
	if len(data) >= minCompressBytes {
		stored.Data, stored.Compressed = trail.Compress(data), true
	}
	s.answersByKey[key] = stored
	s.Answers = append(s.Answers, stored)
	if len(s.Answers) > maxAnswers {
		delete(s.answersByKey, s.Answers[0].Key)
		s.Answers = s.Answers[1:]
	}
	return data
}

func encodeAnswer(answer operator.PlanResponse) []byte {
	data, err := cbor.Marshal(answer)
	if err != nil {
		// All types in an answer can be encoded.
		panic(fmt.Sprintf("encode an answer: %v", err))
	}
	return data
}

func (s *state) audit(line auditor.Line) {
	line.Version = s.Catalog.Version
	s.trail.Append(line)
}

func (s *state) refuse(reason operator.Reason, format string, args ...any) operator.PlanResponse {
	return operator.PlanResponse{
		Refusal: &operator.Refusal{Reason: reason, Message: fmt.Sprintf(format, args...)},
		Version: s.Catalog.Version,
	}
}

func (s *state) refuseAudited(request Request, planID string, reason operator.Reason, format string, args ...any) operator.PlanResponse {
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

// checkRole returns a refusal if the operator does not have the role that the action
// needs, and nil otherwise.
func (s *state) checkRole(request Request, required cataloger.Role, action string) *operator.PlanResponse {
	if len(s.Catalog.Operators) == 0 && request.Bootstrap {
		return nil
	}
	o, err := s.Catalog.GetOperator(request.Operator)
	if err == nil && o.Role.Includes(required) && !request.Bootstrap {
		return nil
	}
	var answer operator.PlanResponse
	switch {
	case request.Bootstrap:
		answer = s.refuseAudited(request, "", operator.ReasonRole, "to %s: the bootstrap token is no longer valid, because the configuration has operators", action)
	case err != nil:
		answer = s.refuseAudited(request, "", operator.ReasonRole, "to %s: %v", action, err)
	default:
		answer = s.refuseAudited(request, "", operator.ReasonRole, "to %s needs the role %s; %s has the role %s", action, required, request.Operator, o.Role)
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

func (s *state) closePlan(i int, planState operator.PlanState, closedBy string, now timer.Timestamp) {
	r := &s.Plans[i]
	r.Plan.State, r.Plan.ClosedBy, r.Plan.Closed = planState, closedBy, now
	r.Declared = nil
	if len(s.Plans)-s.countOpenPlans() > maxClosedPlans {
		oldest := slices.IndexFunc(s.Plans, func(r planRecord) bool { return r.Plan.State != operator.PlanOpen })
		s.Plans = slices.Delete(s.Plans, oldest, oldest+1)
	}
}

// changesSince returns the newest changes after the given version, at most
// maxRefusalChanges.
func (s *state) changesSince(version uint64) []operator.Change {
	i := slices.IndexFunc(s.History, func(c operator.Change) bool { return c.Version > version })
	if i < 0 {
		return nil
	}
	return slices.Clone(s.History[max(i, len(s.History)-maxRefusalChanges):])
}
