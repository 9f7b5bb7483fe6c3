// Package messenger defines the messages that entries send each other and their
// encoding (CBOR, RFC 8949).
package messenger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the number of a message type on the wire. Numbers are never reused.
// Membership uses 1 to 49, placement 50 to 99.
type Kind uint8

// Message is implemented by the message types of this package.
type Message interface {
	// Kind returns the number of the message type on the wire.
	Kind() Kind
	isMessage()
}

// sealed is embedded by all message types, so that other packages cannot add any.
type sealed struct{}

func (sealed) isMessage() {}

// Envelope carries messages from one entry to another. It is encoded as an array.
type Envelope struct {
	// From is the name of the sender.
	From string
	// Incarnation is the incarnation of the sender.
	Incarnation uint64
	Messages    []Message
}

// ErrKindNotExist reports a message of an unknown kind, which may come from a newer
// version.
type ErrKindNotExist struct {
	Kind Kind
}

// Error returns the message of the error.
func (e ErrKindNotExist) Error() string { return fmt.Sprintf("message kind %d does not exist", e.Kind) }

type wireEnvelope struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	Messages    []wireMessage
}

type wireMessage struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// MarshalCBOR encodes the envelope.
func (e Envelope) MarshalCBOR() ([]byte, error) {
	wire := wireEnvelope{From: e.From, Incarnation: e.Incarnation, Messages: make([]wireMessage, 0, len(e.Messages))}
	for _, m := range e.Messages {
		body, err := cbor.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("encode %T: %w", m, err)
		}
		wire.Messages = append(wire.Messages, wireMessage{Kind: m.Kind(), Body: body})
	}
	return cbor.Marshal(wire)
}

// UnmarshalCBOR decodes the envelope. It skips messages of unknown kinds.
func (e *Envelope) UnmarshalCBOR(data []byte) error {
	var wire wireEnvelope
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return fmt.Errorf("decode envelope: %w", err)
	}
	*e = Envelope{From: wire.From, Incarnation: wire.Incarnation}
	for _, w := range wire.Messages {
		m, err := decode(w)
		if _, unknown := err.(ErrKindNotExist); unknown { //nolint:errorlint // decode returns it unwrapped
			continue
		} else if err != nil {
			return err
		}
		e.Messages = append(e.Messages, m)
	}
	return nil
}

func decode(w wireMessage) (Message, error) {
	switch {
	case w.Kind <= lastMembershipKind:
		return decodeMembership(w)
	default:
		return decodePlacement(w)
	}
}

func decodeAs[T Message](w wireMessage) (Message, error) {
	var m T
	if err := cbor.Unmarshal(w.Body, &m); err != nil {
		return nil, fmt.Errorf("decode message kind %d: %w", w.Kind, err)
	}
	return m, nil
}
