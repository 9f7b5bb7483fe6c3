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

// Command is an entry of the replicated log. The types of this file implement
// it. Times, random ids and load figures are chosen by the proposing replica, so
// that Apply is deterministic.
type Command interface{ isCommand() }

type sealed struct{}

func (sealed) isCommand() {}

// Request identifies who sent a command, so that a resend gets the first answer.
type Request struct {
	ID       string `cbor:"id"`
	Operator string `cbor:"operator"`
	// Bootstrap tells that the operator used the bootstrap token, which is valid
	// until the configuration has operators.
	Bootstrap bool `cbor:"bootstrap,omitempty"`
	// Fingerprint is the hash of the content. The same id with another content
	// is refused.
	Fingerprint []byte          `cbor:"fingerprint"`
	Now         timer.Timestamp `cbor:"now"`
}

// CreatePlan makes a plan from an intent.
type CreatePlan struct {
	sealed      `cbor:"-"`
	Request     Request       `cbor:"request"`
	PlanID      string        `cbor:"plan_id"`
	BaseVersion uint64        `cbor:"base_version"`
	Intent      operator.Body `cbor:"intent"`
	// Declared is the parsed declaration of an apply. The text is left out,
	// because a later version of the parser might read it differently.
	Declared *cataloger.Catalog `cbor:"declared,omitempty"`
	Load     observer.Summary   `cbor:"load"`
}

// ConfirmPlan carries out a plan if it still holds.
type ConfirmPlan struct {
	sealed  `cbor:"-"`
	Request Request `cbor:"request"`
	PlanID  string  `cbor:"plan_id"`
	// NewPlanID is the id of the new plan if the plan no longer holds.
	NewPlanID string           `cbor:"new_plan_id"`
	Load      observer.Summary `cbor:"load"`
}

// ExpirePlans closes the plans whose time is over.
type ExpirePlans struct {
	sealed `cbor:"-"`
	Now    timer.Timestamp `cbor:"now"`
}

// RecordRefusal records in the audit trail what a replica refused by itself.
type RecordRefusal struct {
	sealed   `cbor:"-"`
	Now      timer.Timestamp `cbor:"now"`
	Operator string          `cbor:"operator"`
	Request  string          `cbor:"request,omitempty"`
	Text     string          `cbor:"text"`
}

// commandBody carries one command. Exactly one field is set.
type commandBody struct {
	CreatePlan    *CreatePlan    `cbor:"1,keyasint,omitempty"`
	ConfirmPlan   *ConfirmPlan   `cbor:"2,keyasint,omitempty"`
	ExpirePlans   *ExpirePlans   `cbor:"3,keyasint,omitempty"`
	RecordRefusal *RecordRefusal `cbor:"4,keyasint,omitempty"`
}

// errUnknownCommand reports a command that this version does not know. A new
// kind of command may be proposed only once all replicas know it.
var errUnknownCommand = errors.New("the command is of an unknown kind")

// Encode returns the log entry of a command.
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
