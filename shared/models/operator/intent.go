// Package operator defines the messages between rwctl, control and entries:
// intents, plans, responses, status and the audit trail.
package operator

import (
	"errors"
	"fmt"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Intent is a change that an operator requests. The types of this file implement
// it.
type Intent interface {
	// String describes the intent, such as "drain sack-orders/host-3".
	String() string
	isIntent()
}

type sealed struct{}

func (sealed) isIntent() {}

// Apply replaces the declared part of the configuration.
type Apply struct {
	sealed `cbor:"-" json:"-"`
	// Declaration is the text of the declaration in YAML.
	Declaration []byte `cbor:"declaration,omitempty" json:"-"`
}

// Drain stops new flows to a backend server.
type Drain struct {
	sealed `cbor:"-" json:"-"`
	announcer.ID
}

// Undrain allows new flows to a drained backend server again.
type Undrain struct {
	sealed `cbor:"-" json:"-"`
	announcer.ID
}

// TakeOut takes a data centre out of service.
type TakeOut struct {
	sealed     `cbor:"-" json:"-"`
	DataCentre string `cbor:"data_centre" json:"data_centre"`
	// AcceptOverload allows a plan that overloads the remaining data centres.
	AcceptOverload bool `cbor:"accept_overload" json:"accept_overload"`
}

// BringBack puts a taken-out data centre back into service.
type BringBack struct {
	sealed     `cbor:"-" json:"-"`
	DataCentre string `cbor:"data_centre" json:"data_centre"`
}

// ReplaceReplica replaces the named control replica by another one.
type ReplaceReplica struct {
	sealed      `cbor:"-" json:"-"`
	Name        string            `cbor:"name" json:"name"`
	Replacement cataloger.Replica `cbor:"replacement" json:"replacement"`
}

// String describes the intent.
func (Apply) String() string { return "apply a declaration" }

// String describes the intent.
func (i Drain) String() string { return "drain " + i.ID.String() }

// String describes the intent.
func (i Undrain) String() string { return "undrain " + i.ID.String() }

// String describes the intent.
func (i TakeOut) String() string { return "take out " + i.DataCentre }

// String describes the intent.
func (i BringBack) String() string { return "bring back " + i.DataCentre }

// String describes the intent.
func (i ReplaceReplica) String() string {
	return fmt.Sprintf("replace control replica %s by %s at %s", i.Name, i.Replacement.Name, i.Replacement.Address)
}

// Body is the wire form of one intent. Exactly one field is set.
type Body struct {
	Apply          *Apply          `cbor:"apply,omitempty" json:"apply,omitempty"`
	Drain          *Drain          `cbor:"drain,omitempty" json:"drain,omitempty"`
	Undrain        *Undrain        `cbor:"undrain,omitempty" json:"undrain,omitempty"`
	TakeOut        *TakeOut        `cbor:"take_out,omitempty" json:"take_out,omitempty"`
	BringBack      *BringBack      `cbor:"bring_back,omitempty" json:"bring_back,omitempty"`
	ReplaceReplica *ReplaceReplica `cbor:"replace_replica,omitempty" json:"replace_replica,omitempty"`
}

// Wrap returns the wire form of the intent.
func Wrap(intent Intent) Body {
	switch i := intent.(type) {
	case Apply:
		return Body{Apply: &i}
	case Drain:
		return Body{Drain: &i}
	case Undrain:
		return Body{Undrain: &i}
	case TakeOut:
		return Body{TakeOut: &i}
	case BringBack:
		return Body{BringBack: &i}
	case ReplaceReplica:
		return Body{ReplaceReplica: &i}
	default:
		return Body{}
	}
}

// ErrIntentCount reports a body that has several intents, or none that this version
// of the program knows.
var ErrIntentCount = errors.New("a message must carry exactly one known intent")

// Unwrap returns the intent of the body. It returns ErrIntentCount if there is not
// exactly one.
func (b Body) Unwrap() (Intent, error) {
	var found []Intent
	if b.Apply != nil {
		found = append(found, *b.Apply)
	}
	if b.Drain != nil {
		found = append(found, *b.Drain)
	}
	if b.Undrain != nil {
		found = append(found, *b.Undrain)
	}
	if b.TakeOut != nil {
		found = append(found, *b.TakeOut)
	}
	if b.BringBack != nil {
		found = append(found, *b.BringBack)
	}
	if b.ReplaceReplica != nil {
		found = append(found, *b.ReplaceReplica)
	}
	if len(found) != 1 {
		return nil, ErrIntentCount
	}
	return found[0], nil
}
