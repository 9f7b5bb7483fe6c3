// Package auditor defines the lines of the audit trail and verifies their hash
// chain.
package auditor

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Event is the kind of event that a line records.
type Event string

// Events of the audit trail.
const (
	EventIntent       Event = "intent"
	EventPlanShown    Event = "plan_shown"
	EventConfirmation Event = "confirmation"
	EventOutcome      Event = "outcome"
	EventRefusal      Event = "refusal"
)

// Hash is a SHA-256 hash. Its text form is hexadecimal.
type Hash [sha256.Size]byte

// String returns the hash in lower-case hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in lower-case hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes hexadecimal digits. It returns an error if text is not a
// SHA-256 hash.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return fmt.Errorf("%q is not a SHA-256 in hexadecimal digits", text)
	}
	copy(h[:], decoded)
	return nil
}

// Line is one line of the audit trail.
type Line struct {
	// Sequence is the number of the line, counted from 1 without gaps.
	Sequence uint64          `cbor:"sequence" json:"sequence"`
	Time     timer.Timestamp `cbor:"time" json:"time"`
	// Operator is the authenticated operator, or "" for an unauthenticated caller.
	Operator string `cbor:"operator" json:"operator"`
	Event    Event  `cbor:"event" json:"event"`
	Request  string `cbor:"request,omitempty" json:"request,omitempty"`
	Plan     string `cbor:"plan,omitempty" json:"plan,omitempty"`
	// Version is the version of the configuration after the event.
	Version uint64 `cbor:"version" json:"version"`
	Text    string `cbor:"text" json:"text"`
	// Previous is the hash of the previous line, or zero for the first line.
	Previous Hash `cbor:"previous" json:"previous"`
}

// chainedLine is the hashed form of a Line. Its encoding, which includes the order
// of the fields, must never change: the hashes of stored lines depend on it.
type chainedLine struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Time     int64
	Operator string
	Event    string
	Request  string
	Plan     string
	Version  uint64
	Text     string
	Previous []byte
}

// Hash returns the SHA-256 of the line, encoded as a CBOR array (RFC 8949) of
// all fields in the order of Line.
func (l Line) Hash() Hash {
	encoded, err := cbor.Marshal(chainedLine{
		Sequence: l.Sequence, Time: int64(l.Time), Operator: l.Operator, Event: string(l.Event), Request: l.Request,
		Plan: l.Plan, Version: l.Version, Text: l.Text, Previous: l.Previous[:],
	})
	if err != nil {
		// CBOR can encode all numbers, strings and byte strings.
		panic(fmt.Sprintf("encode an audit line: %v", err))
	}
	return sha256.Sum256(encoded)
}

// Head identifies the last line of an audit trail. The zero value is the head of
// an empty trail.
type Head struct {
	Sequence uint64 `cbor:"sequence" json:"sequence"`
	Hash     Hash   `cbor:"hash" json:"hash"`
}

// String returns the sequence and the hash, joined by a colon.
func (h Head) String() string { return fmt.Sprintf("%d:%s", h.Sequence, h.Hash) }

// ParseHead parses the format that String returns.
func ParseHead(text string) (Head, error) {
	var head Head
	var digits string
	if _, err := fmt.Sscanf(text, "%d:%s", &head.Sequence, &digits); err != nil {
		return Head{}, fmt.Errorf("%q is not SEQUENCE:HASH: %w", text, err)
	}
	if err := head.Hash.UnmarshalText([]byte(digits)); err != nil {
		return Head{}, err
	}
	return head, nil
}

// Next returns the head of the trail after line is appended. It returns
// ErrChainBroken if line does not continue the hash chain.
func (h Head) Next(line Line) (Head, error) {
	if line.Sequence != h.Sequence+1 {
		return h, ErrChainBroken{Sequence: h.Sequence + 1, Reason: fmt.Sprintf("the next line has sequence %d", line.Sequence)}
	}
	if line.Previous != h.Hash {
		return h, ErrChainBroken{Sequence: line.Sequence, Reason: fmt.Sprintf("its previous hash is %s, but the previous line has the hash %s", line.Previous, h.Hash)}
	}
	return Head{Sequence: line.Sequence, Hash: line.Hash()}, nil
}

// ErrChainBroken reports that a line was changed, added or removed.
type ErrChainBroken struct {
	// Sequence is the number of the first line that does not continue the chain.
	Sequence uint64
	Reason   string
}

// Error returns the message of the error.
func (e ErrChainBroken) Error() string {
	return fmt.Sprintf("the audit trail was changed at or before line %d: %s", e.Sequence, e.Reason)
}
