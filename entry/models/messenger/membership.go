package messenger

import (
	"fmt"
	"net/netip"
)

// Kinds of the membership messages, 1 to 49.
const (
	KindProbe         Kind = 1
	KindProbeAck      Kind = 2
	KindIndirectProbe Kind = 3
	KindRumours       Kind = 4
	KindJoin          Kind = 5
	KindSyncRoots     Kind = 6
	KindSyncBuckets   Kind = 7
	KindSyncPull      Kind = 8
	KindSyncItems     Kind = 9
	KindRenewalBatch  Kind = 10
	KindSummary       Kind = 11

	lastMembershipKind Kind = 49
)

// MemberState is the state of a member as its peers see it. Of two states of the same
// incarnation the greater one takes precedence.
type MemberState uint8

// States of a member, in ascending order of precedence.
const (
	MemberAlive   MemberState = 0
	MemberSuspect MemberState = 1
	MemberLeaving MemberState = 2
	MemberDead    MemberState = 3
)

// String returns the name of the state.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberLeaving:
		return "leaving"
	case MemberDead:
		return "dead"
	default:
		return fmt.Sprintf("state %d", uint8(s))
	}
}

// Member is an entry and its state. Rumours of states other than MemberAlive carry
// only the name, incarnation and state.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	State       MemberState
	DataCentre  string
	Region      string
	// Address is the gRPC address.
	Address netip.AddrPort
	// PacketAddress is the UDP address for packets relayed between entries.
	PacketAddress netip.AddrPort
}

// Probe asks a peer whether it is alive.
type Probe struct {
	sealed   `cbor:"-"`
	Sequence uint64 `cbor:"1,keyasint"`
	// Address is the gRPC address of the sender, so that a peer that does not know
	// the sender can answer.
	Address netip.AddrPort `cbor:"2,keyasint"`
}

// Kind returns KindProbe.
func (Probe) Kind() Kind { return KindProbe }

// ProbeAck answers a Probe.
type ProbeAck struct {
	sealed   `cbor:"-"`
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind returns KindProbeAck.
func (ProbeAck) Kind() Kind { return KindProbeAck }

// IndirectProbe asks a peer to probe Target on behalf of the sender.
type IndirectProbe struct {
	sealed   `cbor:"-"`
	Sequence uint64         `cbor:"1,keyasint"`
	Target   string         `cbor:"2,keyasint"`
	Address  netip.AddrPort `cbor:"3,keyasint"`
}

// Kind returns KindIndirectProbe.
func (IndirectProbe) Kind() Kind { return KindIndirectProbe }

// Rumours is a gossip message. It carries the sender's configuration version and
// changes of members and records.
type Rumours struct {
	sealed  `cbor:"-"`
	Version uint64   `cbor:"1,keyasint,omitempty"`
	Members []Member `cbor:"2,keyasint,omitempty"`
	Records []Record `cbor:"3,keyasint,omitempty"`
	// AgeSeconds is the time since control confirmed Version, rounded up; 0 if it is
	// not known.
	AgeSeconds uint32 `cbor:"4,keyasint,omitempty"`
}

// Kind returns KindRumours.
func (Rumours) Kind() Kind { return KindRumours }

// Join announces the sender to a peer and requests the full state of that peer.
type Join struct {
	sealed `cbor:"-"`
	Self   Member `cbor:"1,keyasint"`
}

// Kind returns KindJoin.
func (Join) Kind() Kind { return KindJoin }

// SyncRoots starts an anti-entropy exchange. It carries the root hashes of the
// sender's members and records.
type SyncRoots struct {
	sealed  `cbor:"-"`
	Self    Member `cbor:"1,keyasint"`
	Members uint64 `cbor:"2,keyasint"`
	Records uint64 `cbor:"3,keyasint"`
}

// Kind returns KindSyncRoots.
func (SyncRoots) Kind() Kind { return KindSyncRoots }

// SyncBuckets answers SyncRoots whose hashes differ with the hashes of all buckets.
type SyncBuckets struct {
	sealed  `cbor:"-"`
	Self    Member   `cbor:"1,keyasint"`
	Members []uint64 `cbor:"2,keyasint"`
	Records []uint64 `cbor:"3,keyasint"`
}

// Kind returns KindSyncBuckets.
func (SyncBuckets) Kind() Kind { return KindSyncBuckets }

// ItemDigest identifies the version of a member or record that a peer holds.
type ItemDigest struct {
	_ struct{} `cbor:",toarray"`
	// Key is the hash of the name.
	Key uint64
	// Value is the hash of the name and the version.
	Value uint64
}

// SyncPull requests the items of the given buckets that differ from the digests.
type SyncPull struct {
	sealed        `cbor:"-"`
	MemberBuckets []uint8      `cbor:"1,keyasint,omitempty"`
	RecordBuckets []uint8      `cbor:"2,keyasint,omitempty"`
	Members       []ItemDigest `cbor:"3,keyasint,omitempty"`
	Records       []ItemDigest `cbor:"4,keyasint,omitempty"`
}

// Kind returns KindSyncPull.
func (SyncPull) Kind() Kind { return KindSyncPull }

// SyncItems carries members and records in answer to Join or SyncPull.
type SyncItems struct {
	sealed  `cbor:"-"`
	Members []Member `cbor:"1,keyasint,omitempty"`
	Records []Record `cbor:"2,keyasint,omitempty"`
	// WantedMembers and WantedRecords are the keys of items that the sender requests
	// in return.
	WantedMembers []uint64 `cbor:"3,keyasint,omitempty"`
	WantedRecords []uint64 `cbor:"4,keyasint,omitempty"`
	// JoinDone is set on the last message that answers a Join.
	JoinDone bool `cbor:"5,keyasint,omitempty"`
}

// Kind returns KindSyncItems.
func (SyncItems) Kind() Kind { return KindSyncItems }

// Renewal reports that a backend server has announced itself again without a change.
type Renewal struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Host        string
	Incarnation uint64
	Sequence    uint64
}

// Observation reports the responses and failures of a backend server that the packet
// path of an entry has counted.
type Observation struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Host      string
	Responses uint32
	// Failures counts resets.
	Failures uint32
}

// RenewalBatch forwards renewals and observations to the holder of the records.
type RenewalBatch struct {
	sealed       `cbor:"-"`
	Renewals     []Renewal     `cbor:"1,keyasint,omitempty"`
	Observations []Observation `cbor:"2,keyasint,omitempty"`
}

// Kind returns KindRenewalBatch.
func (RenewalBatch) Kind() Kind { return KindRenewalBatch }

// Summary informs another region about a data centre and its configuration version.
type Summary struct {
	sealed       `cbor:"-"`
	Region       string         `cbor:"1,keyasint"`
	DataCentre   string         `cbor:"2,keyasint"`
	Version      uint64         `cbor:"3,keyasint"`
	Entries      uint32         `cbor:"4,keyasint"`
	ReadyServers uint32         `cbor:"5,keyasint"`
	Address      netip.AddrPort `cbor:"6,keyasint"`
}

// Kind returns KindSummary.
func (Summary) Kind() Kind { return KindSummary }

func decodeMembership(w wireMessage) (Message, error) {
	switch w.Kind {
	case KindProbe:
		return decodeAs[Probe](w)
	case KindProbeAck:
		return decodeAs[ProbeAck](w)
	case KindIndirectProbe:
		return decodeAs[IndirectProbe](w)
	case KindRumours:
		return decodeAs[Rumours](w)
	case KindJoin:
		return decodeAs[Join](w)
	case KindSyncRoots:
		return decodeAs[SyncRoots](w)
	case KindSyncBuckets:
		return decodeAs[SyncBuckets](w)
	case KindSyncPull:
		return decodeAs[SyncPull](w)
	case KindSyncItems:
		return decodeAs[SyncItems](w)
	case KindRenewalBatch:
		return decodeAs[RenewalBatch](w)
	case KindSummary:
		return decodeAs[Summary](w)
	default:
		return nil, ErrKindNotExist{Kind: w.Kind}
	}
}

// IsMembership reports whether k is a kind of membership message.
func IsMembership(k Kind) bool { return k <= lastMembershipKind }
