package loadsharer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// maxColumnBytes is the maximum size of a decompressed column, with up to 5 bytes for each number.
	maxColumnBytes = MaxSummaryServers * binary.MaxVarintLen32
	// minCompressedBytes is the size in bytes below which compression does not pay off.
	minCompressedBytes = 64
)

// column is the wire form of a list of numbers. The zero value is an empty list.
type column struct {
	_ struct{} `cbor:",toarray"`
	// IsCompressed reports whether Data is compressed with DEFLATE (RFC 1951).
	IsCompressed bool
	// Data has the numbers as variable-length integers.
	Data []byte
}

func packColumn(numbers []uint32) (column, error) {
	data := make([]byte, 0, 2*len(numbers))
	for _, number := range numbers {
		data = binary.AppendUvarint(data, uint64(number))
	}
	if len(data) < minCompressedBytes {
		return column{Data: data}, nil
	}
	compressed, err := compress(data)
	if err != nil {
		return column{}, err
	}
	if len(compressed) >= len(data) {
		return column{Data: data}, nil
	}
	return column{IsCompressed: true, Data: compressed}, nil
}

// unpack returns the numbers, or an error if they cannot be read or are more than any valid message
// has.
func (c column) unpack() ([]uint32, error) {
	data := c.Data
	if c.IsCompressed {
		var err error
		if data, err = decompress(data); err != nil {
			return nil, err
		}
	}
	// A column of 2,048 numbers fits, so the allocations are bounded also for an invalid message.
	if len(data) > maxColumnBytes {
		return nil, fmt.Errorf("servers: a column must have at most %d bytes", maxColumnBytes)
	}
	numbers := make([]uint32, 0, len(data))
	for len(data) > 0 {
		number, rest, err := takeNumber(data)
		if err != nil {
			return nil, err
		}
		numbers, data = append(numbers, number), rest
	}
	return numbers, nil
}

// compressors holds idle compressors, as each one takes about 0.7 MB.
var compressors = sync.Pool{New: func() any {
	// Huffman coding alone suffices: there are no names in a column, and repeated sequences are rare.
	w, err := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	if err != nil {
		return err
	}
	return w
}}

func compress(data []byte) ([]byte, error) {
	w, ok := compressors.Get().(*flate.Writer)
	if !ok {
		return nil, errors.New("compress a column: no compressor")
	}
	defer compressors.Put(w)
	var compressed bytes.Buffer
	w.Reset(&compressed)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress a column: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress a column: %w", err)
	}
	return compressed.Bytes(), nil
}

// decompressors holds idle decompressors, as each one takes about 40 KB.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// decompress returns at most one byte more than a valid column has.
func decompress(data []byte) ([]byte, error) {
	r, ok := decompressors.Get().(io.Reader)
	if !ok {
		return nil, errors.New("servers: decompress a column: no decompressor")
	}
	defer decompressors.Put(r)
	if resetter, ok := r.(flate.Resetter); ok {
		if err := resetter.Reset(bytes.NewReader(data), nil); err != nil {
			return nil, fmt.Errorf("servers: decompress a column: %w", err)
		}
	}
	columns, err := io.ReadAll(io.LimitReader(r, maxColumnBytes+1))
	if err != nil {
		return nil, fmt.Errorf("servers: decompress a column: %w", err)
	}
	return columns, nil
}
