// Package auditor keeps the audit trail of control: an append-only list of
// lines, each with the SHA-256 of the line before.
//
// The trail is part of the replicated state and is never shortened, so it is in
// every snapshot. To bound the work of a snapshot, full segments are compressed
// once and copied afterwards.
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

// segmentSize is the number of lines of a full segment. A page of the trail
// decompresses at most two segments.
const segmentSize = 1024

// maxSegmentBytes bounds what a damaged segment can decompress to. Lines are
// below 4 KiB.
const maxSegmentBytes = segmentSize * 4096

// Bounds of the fields of a line, in bytes. With them a segment stays below
// maxSegmentBytes; a longer one could not be read after a restart.
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

// Stored is a trail in a snapshot.
type Stored struct {
	// Sealed holds the full segments: CBOR lists of lines, compressed with
	// DEFLATE (RFC 1951).
	Sealed [][]byte       `cbor:"sealed"`
	Open   []auditor.Line `cbor:"open"`
	Head   auditor.Head   `cbor:"head"`
}

// Append adds the line with the next sequence and the hash of the line before.
// Overlong fields are cut.
func (t *Trail) Append(line auditor.Line) {
	line.Sequence = t.head.Sequence + 1
	line.Previous = t.head.Hash
	line.Text = auditor.CutText(line.Text, MaxTextLength)
	line.Operator = auditor.CutText(line.Operator, maxNameLength)
	line.Request = auditor.CutText(line.Request, maxNameLength)
	line.Plan = auditor.CutText(line.Plan, maxNameLength)
	t.open = append(t.open, line)
	t.head = auditor.Head{Sequence: line.Sequence, Hash: line.Hash()}
	if len(t.open) == segmentSize {
		t.sealed = append(t.sealed, seal(t.open))
		t.open = nil
	}
}

// Head returns the sequence and hash of the last line.
func (t *Trail) Head() auditor.Head { return t.head }

// List returns up to limit lines after the given sequence.
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

// Verify recomputes all hashes. It returns an ErrChainBroken at the first line
// that was changed, or at the end if lines are missing.
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

// Store returns the trail for a snapshot. It shares the full segments, which
// never change.
func (t *Trail) Store() Stored {
	return Stored{Sealed: t.sealed[:len(t.sealed):len(t.sealed)], Open: t.open[:len(t.open):len(t.open)], Head: t.head}
}

// Restore replaces the trail by a stored one. It verifies the stored trail first
// and keeps the earlier one if that fails.
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
	lines, err := unseal(t.sealed[i])
	if err != nil {
		return nil, auditor.ErrChainBroken{Sequence: uint64(i*segmentSize) + 1, Reason: err.Error()}
	}
	return lines, nil
}

func seal(lines []auditor.Line) []byte {
	encoded, err := cbor.Marshal(lines)
	if err != nil {
		// Numbers, strings and bytes always have an encoding.
		panic(fmt.Sprintf("encode an audit segment: %v", err))
	}
	return Compress(encoded)
}

func unseal(data []byte) ([]auditor.Line, error) {
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

// writers are reused because a new one allocates several hundred kilobytes.
var writers sync.Pool

// Compress returns data compressed with DEFLATE (RFC 1951).
func Compress(data []byte) []byte {
	var b bytes.Buffer
	w, ok := writers.Get().(*flate.Writer)
	if !ok {
		// The level is valid.
		w, _ = flate.NewWriter(nil, flate.BestSpeed)
	}
	defer writers.Put(w)
	w.Reset(&b)
	// Writing to a buffer does not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// Decompress returns what Compress was given. It returns an error for damaged
// data and for more than limit bytes.
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
