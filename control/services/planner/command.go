package planner

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Command is an entry of the replicated log. It is implemented by the command
// types in this file. The proposing replica sets times, random ids and load
// figures, so that Apply is deterministic.
type Command interface{ isCommand() }

type sealed struct{}

func (sealed) isCommand() {}

// Request identifies the request behind a command and the operator who sent it.
// ID is an idempotency key: a resent request gets the stored answer.
type Request struct {
	ID       string `cbor:"id"`
	Operator string `cbor:"operator"`
	// Bootstrap reports whether the operator used the bootstrap token, which is
	// valid until the configuration has operators.
	Bootstrap bool `cbor:"bootstrap,omitempty"`
	// Fingerprint is the SHA-256 of the request content. A request that reuses an
	// id with different content is refused.
	Fingerprint []byte          `cbor:"fingerprint"`
	Now         timer.Timestamp `cbor:"now"`
}

// CreatePlan creates a plan from an intent.
type CreatePlan struct {
	sealed      `cbor:"-"`
	Request     Request       `cbor:"request"`
	PlanID      string        `cbor:"plan_id"`
	BaseVersion uint64        `cbor:"base_version"`
	Intent      operator.Body `cbor:"intent"`
	// Declared is the parsed declaration of an operator.Apply intent. The command
	// does not contain the declaration text, because a later version of the parser
	// might interpret it differently.
	Declared *cataloger.Catalog `cbor:"declared,omitempty"`
	Load     observer.Summary   `cbor:"load"`
}

// ConfirmPlan executes a plan if its base version and facts still hold.
type ConfirmPlan struct {
	sealed  `cbor:"-"`
	Request Request `cbor:"request"`
	PlanID  string  `cbor:"plan_id"`
	// NewPlanID is the id of the plan that replaces this one if it is stale.
	NewPlanID string           `cbor:"new_plan_id"`
	Load      observer.Summary `cbor:"load"`
}

// ExpirePlans closes the open plans whose expiry time has passed.
type ExpirePlans struct {
	sealed `cbor:"-"`
	Now    timer.Timestamp `cbor:"now"`
}

// RecordRefusal adds to the audit trail a request that a replica refused without
// proposing it as a command.
type RecordRefusal struct {
	sealed   `cbor:"-"`
	Now      timer.Timestamp `cbor:"now"`
	Operator string          `cbor:"operator"`
	Request  string          `cbor:"request,omitempty"`
	Text     string          `cbor:"text"`
}

// commandBody is the encoded form of a command. Exactly one field is set.
type commandBody struct {
	CreatePlan    *CreatePlan    `cbor:"1,keyasint,omitempty"`
	ConfirmPlan   *ConfirmPlan   `cbor:"2,keyasint,omitempty"`
	ExpirePlans   *ExpirePlans   `cbor:"3,keyasint,omitempty"`
	RecordRefusal *RecordRefusal `cbor:"4,keyasint,omitempty"`
}

// errUnknownCommand reports a command kind that this version does not support. A
// new kind of command may be proposed only once all replicas support it.
var errUnknownCommand = errors.New("the command is of an unknown kind")

// Encode returns the command in the encoding of the replicated log. It returns an
// error for a type that is not one of the command types.
func Encode(command Command) ([]byte, error) {
	var body commandBody
	switch c := command.(type) {
	case CreatePlan:
		body.CreatePlan = &c
	case ConfirmPlan:
		body.ConfirmPlan = &c
	case ExpirePlans:
		body.ExpirePlans = &c
	case RecordRefusal:
		body.RecordRefusal = &c
	default:
		return nil, errUnknownCommand
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", command, err)
	}
	return data, nil
}

func decode(data []byte) (Command, error) {
	var body commandBody
	if err := cbor.Unmarshal(data, &body); err != nil {
		return nil, fmt.Errorf("decode a command: %w", err)
	}
	switch {
	case body.CreatePlan != nil:
		return *body.CreatePlan, nil
	case body.ConfirmPlan != nil:
		return *body.ConfirmPlan, nil
	case body.ExpirePlans != nil:
		return *body.ExpirePlans, nil
	case body.RecordRefusal != nil:
		return *body.RecordRefusal, nil
	default:
		return nil, errUnknownCommand
	}
}
