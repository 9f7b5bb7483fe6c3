// Package transporter provides gRPC clients and servers with CBOR encoding
// (RFC 8949) and mutual TLS for the messages between the processes of the system.
package transporter

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// codecName is the content subtype of the messages.
const codecName = "cbor"

type codec struct{}

// Marshal encodes v.
func (codec) Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal decodes data into v.
func (codec) Unmarshal(data []byte, v any) error {
	if err := cbor.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// Name returns the content subtype.
func (codec) Name() string { return codecName }
