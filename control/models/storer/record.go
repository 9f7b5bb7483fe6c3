// Package storer keeps the durable state of a control replica in one bbolt file
// under the data folder: identity, term and vote, log and snapshot.
package storer

import "encoding/hex"

// Identity is the random 128-bit identifier of a replica's data folder, or of a
// cluster.
type Identity [16]byte

// String returns the identity as 32 hexadecimal digits.
func (i Identity) String() string { return hex.EncodeToString(i[:]) }

// IsZero reports whether the identity is not set.
func (i Identity) IsZero() bool { return i == Identity{} }

// EntryKind determines how the data of an entry is decoded. Numbers are never reused.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryEmpty has no data; a leader appends one at the start of its term.
	EntryEmpty EntryKind = 1
	// EntryCommand carries a command for the Applier.
	EntryCommand EntryKind = 2
	// EntryMembership carries an encoded Membership.
	EntryMembership EntryKind = 3
)

// Entry is one position of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// Vote is the current term and the replica voted for in it. A zero Candidate
// means that the replica has not voted in this term.
type Vote struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	Candidate Identity
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	// MembershipIndex is the index of the entry that set Membership.
	MembershipIndex uint64
	Membership      Membership
	Data            []byte
}

// State is everything that a store holds.
type State struct {
	Identity Identity
	// IsNew reports that this call of Open created the identity.
	IsNew    bool
	Vote     Vote
	Snapshot *Snapshot
	// Entries have consecutive indexes. The first is at most one position after
	// the snapshot and may be covered by it.
	Entries []Entry
}

// Batch is a set of changes that is stored atomically.
type Batch struct {
	// Vote replaces the stored vote if not nil.
	Vote *Vote
	// Snapshot replaces the stored snapshot if not nil.
	Snapshot *Snapshot
	// Reset deletes all entries before others are added.
	Reset bool
	// CompactBefore deletes the entries below this index.
	CompactBefore uint64
	// Entries are appended. Each first deletes all stored entries with the same
	// or a greater index.
	Entries []Entry
}

// IsEmpty reports whether the batch changes nothing.
func (b *Batch) IsEmpty() bool {
	return b.Vote == nil && b.Snapshot == nil && !b.Reset && b.CompactBefore == 0 && len(b.Entries) == 0
}
