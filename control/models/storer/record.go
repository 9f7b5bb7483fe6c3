// Package storer keeps the durable state of a control replica in one bbolt file
// under the data folder: identity, term and vote, log and snapshot.
package storer

import (
	"encoding/hex"
	"net/netip"
	"slices"
)

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

// Member is one replica of a membership.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      Identity
	Name    string
	Address netip.AddrPort
	Voter   bool
}

// Membership is the set of replicas as of one position of the log.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	Cluster Identity
	Members []Member
}

// Get returns the member with the given identity.
func (m Membership) Get(id Identity) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id Identity) bool {
	member, ok := m.Get(id)
	return ok && member.Voter
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m.Members {
		if member.Voter {
			n++
		}
	}
	return n
}

// With returns a copy in which member is added, or replaces the one with the
// same identity.
func (m Membership) With(member Member) Membership {
	c := m.Without(member.ID)
	c.Members = append(c.Members, member)
	slices.SortFunc(c.Members, func(a, b Member) int { return slices.Compare(a.ID[:], b.ID[:]) })
	return c
}

// Without returns a copy that lacks the member with the given identity.
func (m Membership) Without(id Identity) Membership {
	c := Membership{Cluster: m.Cluster, Members: make([]Member, 0, len(m.Members)+1)}
	for _, member := range m.Members {
		if member.ID != id {
			c.Members = append(c.Members, member)
		}
	}
	return c
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
