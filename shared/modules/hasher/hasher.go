// Package hasher provides the 64-bit hash functions (xxHash) for flow placement and
// member ranking. All processes of a system must use the same functions.
package hasher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// String returns the hash of s.
func String(s string) uint64 { return xxhash.Sum64String(s) }

// Bytes returns the hash of b.
func Bytes(b []byte) uint64 { return xxhash.Sum64(b) }

// Pair returns the hash of two 64-bit values. It does not allocate.
func Pair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
