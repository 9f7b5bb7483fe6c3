// Package auditor keeps the audit trail of control: an append-only list of lines
// that form a hash chain. Each line contains the SHA-256 of the previous line.
//
// The trail is part of the replicated state and is never truncated, so every
// snapshot contains all of it. To limit the cost of a snapshot, a full segment is
// compressed once and the compressed bytes are reused in later snapshots.
package auditor

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/models/auditor"
)

// segmentSize is the number of lines of a full segment. Listing up to segmentSize
// lines decompresses at most two segments.
const segmentSize = 1024

// maxSegmentBytes limits the memory that decompressing a damaged segment takes. A
// line takes less than 4 KiB.
const maxSegmentBytes = segmentSize * 4096

// Maximum lengths of the fields of a line, in bytes. They keep a segment below
// maxSegmentBytes; a larger segment could not be read after a restart.
const (
	MaxTextLength = 2048
	maxNameLength = 256
)

// Trail is the audit trail. The zero value is empty. It is not safe for
// concurrent use.
type Trail struct {
	sealed [][]byte
	open   []auditor.Line
	head   auditor.Head
}

// Stored is the form of a Trail in a snapshot.
type Stored struct {
	// Sealed holds the full segments: CBOR lists of lines, compressed with
	// DEFLATE (RFC 1951).
	Sealed [][]byte       `cbor:"sealed"`
	Open   []auditor.Line `cbor:"open"`
	Head   auditor.Head   `cbor:"head"`
}

// Append adds the line. It sets the sequence number and the hash of the previous
// line, and truncates overlong fields.
func (t *Trail) Append(line auditor.Line) {
	line.Sequence = t.head.Sequence + 1
	line.Previous = t.head.Hash
	line.Text = auditor.TruncateText(line.Text, MaxTextLength)
	line.Operator = auditor.TruncateText(line.Operator, maxNameLength)
	line.Request = auditor.TruncateText(line.Request, maxNameLength)
	line.Plan = auditor.TruncateText(line.Plan, maxNameLength)
	t.open = append(t.open, line)
	t.head = auditor.Head{Sequence: line.Sequence, Hash: line.Hash()}
	if len(t.open) == segmentSize {
		t.sealed = append(t.sealed, encodeSegment(t.open))
		t.open = nil
	}
}

// Head returns the sequence number and hash of the last line.
func (t *Trail) Head() auditor.Head { return t.head }

// List returns up to limit lines after the given sequence number. It returns an
// ErrChainBroken if a line is missing or a segment cannot be decoded.
func (t *Trail) List(after uint64, limit int) ([]auditor.Line, error) {
	var page []auditor.Line
	for after < t.head.Sequence && len(page) < limit {
		lines, err := t.segment(int(after / segmentSize))
		if err != nil {
			return nil, err
		}
		start := int(after % segmentSize)
		if start >= len(lines) {
			return nil, auditor.ErrChainBroken{Sequence: after + 1, Reason: "the line is missing"}
		}
		count := min(limit-len(page), len(lines)-start)
		page = append(page, lines[start:start+count]...)
		after += uint64(count)
	}
	return page, nil
}

// Verify recomputes the whole hash chain. It returns an ErrChainBroken that names the
// first line that does not match, or the line after the last one if the trail does
// not end with its recorded head.
func (t *Trail) Verify() error {
	var head auditor.Head
	for i := range len(t.sealed) + 1 {
		lines, err := t.segment(i)
		if err != nil {
			return err
		}
		for _, line := range lines {
			if head, err = head.Next(line); err != nil {
				return err
			}
		}
	}
	if head != t.head {
		return auditor.ErrChainBroken{Sequence: head.Sequence + 1, Reason: fmt.Sprintf("the trail ends with %s and not with %s", head, t.head)}
	}
	return nil
}

// Store returns the trail for a snapshot. The result shares its lines with the trail,
// because appended lines never change.
func (t *Trail) Store() Stored {
	return Stored{Sealed: t.sealed[:len(t.sealed):len(t.sealed)], Open: t.open[:len(t.open):len(t.open)], Head: t.head}
}

// Restore replaces the trail with a stored one. It verifies the stored trail first;
// if that fails, it returns an ErrChainBroken and keeps the previous trail.
func (t *Trail) Restore(stored Stored) error {
	restored := Trail{sealed: stored.Sealed, open: stored.Open, head: stored.Head}
	if err := restored.Verify(); err != nil {
		return fmt.Errorf("restore the audit trail: %w", err)
	}
	*t = restored
	return nil
}

func (t *Trail) segment(i int) ([]auditor.Line, error) {
	if i >= len(t.sealed) {
		return t.open, nil
	}
	lines, err := decodeSegment(t.sealed[i])
	if err != nil {
		return nil, auditor.ErrChainBroken{Sequence: uint64(i*segmentSize) + 1, Reason: err.Error()}
	}
	return lines, nil
}

func encodeSegment(lines []auditor.Line) []byte {
	encoded, err := cbor.Marshal(lines)
	if err != nil {
		// All field types of a line can be encoded.
		panic(fmt.Sprintf("encode an audit segment: %v", err))
	}
	return Compress(encoded)
}

func decodeSegment(data []byte) ([]auditor.Line, error) {
	encoded, err := Decompress(data, maxSegmentBytes)
	if err != nil {
		return nil, fmt.Errorf("the segment cannot be read: %w", err)
	}
	var lines []auditor.Line
	if err := cbor.Unmarshal(encoded, &lines); err != nil {
		return nil, fmt.Errorf("the segment cannot be read: %w", err)
	}
	return lines, nil
}

// writers pools DEFLATE writers, because a new one allocates several hundred kB.
var writers sync.Pool

// Compress returns data compressed with DEFLATE (RFC 1951).
func Compress(data []byte) []byte {
	var b bytes.Buffer
	w, ok := writers.Get().(*flate.Writer)
	if !ok {
		// NewWriter fails only on an invalid compression level.
		w, _ = flate.NewWriter(nil, flate.BestSpeed)
	}
	defer writers.Put(w)
	w.Reset(&b)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// Decompress reverses Compress. It returns an error if the data is damaged or
// decompresses to more than limit bytes.
func Decompress(data []byte, limit int64) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if int64(len(plain)) > limit {
		return nil, fmt.Errorf("decompress: more than %d bytes", limit)
	}
	return plain, nil
}
