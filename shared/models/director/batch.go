package director

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// compressionThreshold is the size in bytes above which a batch is compressed. A
	// smaller batch fits into one or two packets anyway.
	compressionThreshold = 2048
	// maxBatchBytes is the maximum size of a decompressed batch. A full view of the
	// design size has 1 MB.
	maxBatchBytes = 64 << 20
)

// ErrBatchTooLarge reports a batch that is larger than any valid view.
var ErrBatchTooLarge = errors.New("the batch of changes is too large")

// Batch is the wire form of several changes. It is encoded once for all receivers.
// The zero value has no changes.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// IsCompressed reports whether Data is compressed with DEFLATE (RFC 1951).
	IsCompressed bool
	Data         []byte
}

// EncodeBatch encodes changes and compresses them if they are large.
func EncodeBatch(changes []Change) (Batch, error) {
	if len(changes) == 0 {
		return Batch{}, nil
	}
	bodies := make([]Body, 0, len(changes))
	for _, change := range changes {
		bodies = append(bodies, Wrap(change))
	}
	data, err := cbor.Marshal(bodies)
	if err != nil {
		return Batch{}, fmt.Errorf("encode %d changes: %w", len(changes), err)
	}
	if len(data) <= compressionThreshold {
		return Batch{Data: data}, nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return Batch{}, fmt.Errorf("compress %d changes: %w", len(changes), err)
	}
	if _, err := w.Write(data); err != nil {
		return Batch{}, fmt.Errorf("compress %d changes: %w", len(changes), err)
	}
	if err := w.Close(); err != nil {
		return Batch{}, fmt.Errorf("compress %d changes: %w", len(changes), err)
	}
	return Batch{IsCompressed: true, Data: compressed.Bytes()}, nil
}

// Decode returns the changes, and the number of changes that were skipped because
// this version of the program does not know their type. It returns an error if
// the data is malformed, and ErrBatchTooLarge if the batch is too large.
func (b Batch) Decode() (changes []Change, unknown int, err error) {
	data := b.Data
	if len(data) == 0 {
		return nil, 0, nil
	}
	if b.IsCompressed {
		r := flate.NewReader(bytes.NewReader(data))
		if data, err = io.ReadAll(io.LimitReader(r, maxBatchBytes+1)); err != nil {
			return nil, 0, fmt.Errorf("decompress changes: %w", err)
		}
		if len(data) > maxBatchBytes {
			return nil, 0, ErrBatchTooLarge
		}
	}
	var bodies []Body
	if err := cbor.Unmarshal(data, &bodies); err != nil {
		return nil, 0, fmt.Errorf("decode changes: %w", err)
	}
	changes = make([]Change, 0, len(bodies))
	for _, body := range bodies {
		if change := body.Unwrap(); change != nil {
			changes = append(changes, change)
		} else {
			unknown++
		}
	}
	return changes, unknown, nil
}
