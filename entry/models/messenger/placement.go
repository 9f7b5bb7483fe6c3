package messenger

// Kinds of the placement messages, 50 to 99. Entries of earlier versions send 56 and 57.
const (
	KindPlacements    Kind = 50
	KindFlowQuery     Kind = 51
	KindFlowAnswer    Kind = 52
	KindDigest        Kind = 53
	KindDigestAck     Kind = 54
	KindReadiness     Kind = 55
	KindPlacementsAck Kind = 58
)

// Fingerprints and placements are packed into byte strings, because a CBOR array costs
// one more byte per number and the budget for control traffic is 5 KB/s.

// Placements tells the receiver which backend servers flows are placed on. It is sent
// as a copy to the successor of the owner, as a hint to an entry that relayed a packet,
// and as the hand-over of a leaving entry.
type Placements struct {
	sealed `cbor:"-"`
	// Targets are the identity hashes of the backend servers that Flows refers to.
	Targets []uint64 `cbor:"1,keyasint"`
	// Flows has 9 bytes for each flow: the fingerprint (big endian), then one byte
	// with the index of its target in the low 7 bits and the UDP flag in the top bit.
	Flows []byte `cbor:"2,keyasint"`
	// IsReplacing is set if the receiver must overwrite its own placements of these
	// flows, because they were closed and opened again.
	IsReplacing bool `cbor:"3,keyasint,omitempty"`
	// Sequence, unless 0, requests a PlacementsAck with the same number.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
}

// Kind returns KindPlacements.
func (Placements) Kind() Kind { return KindPlacements }

// PlacementsAck acknowledges that the sender has stored Placements.
type PlacementsAck struct {
	sealed   `cbor:"-"`
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind returns KindPlacementsAck.
func (PlacementsAck) Kind() Kind { return KindPlacementsAck }

// FlowQuery asks which of the flows the receiver knows.
type FlowQuery struct {
	sealed `cbor:"-"`
	ID     uint32 `cbor:"1,keyasint"`
	// Flows are fingerprints of 8 bytes each.
	Flows []byte `cbor:"2,keyasint"`
	// Service is the hash of the service's name if the flows are new and the receiver
	// owns them. The receiver must then place those that it does not know. Otherwise
	// it is 0.
	Service uint64 `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindFlowQuery.
func (FlowQuery) Kind() Kind { return KindFlowQuery }

// FlowAnswer answers a FlowQuery with the flows that the sender knows, encoded as in
// Placements. The sender does not know the other flows of the query.
type FlowAnswer struct {
	sealed  `cbor:"-"`
	ID      uint32   `cbor:"1,keyasint"`
	Targets []uint64 `cbor:"2,keyasint,omitempty"`
	Flows   []byte   `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindFlowAnswer.
func (FlowAnswer) Kind() Kind { return KindFlowAnswer }

// Phase determines which flows a digest lists.
type Phase uint8

// Phases of digests.
const (
	// PhaseTransfer lists all flows that a starting entry must know.
	PhaseTransfer Phase = iota
	// PhaseOwned lists the flows that the sender owns.
	PhaseOwned
	// PhaseCorrection lists the sender's flows that are in no PhaseOwned digest.
	PhaseCorrection
	// PhaseComplete lists nothing. It states that the sender has all corrections.
	PhaseComplete
	// PhaseUnsolicited lists flows outside a round: the hand-over of a leaving entry, or
	// the rest of a round that ended before a starting entry had it.
	PhaseUnsolicited
	// Phases is the number of phases.
	Phases
)

// Digest is one part of a list of exceptions: flows that stay on another target than
// the one that the sender's active table assigns to their bucket.
type Digest struct {
	sealed `cbor:"-"`
	// Service is the hash of the service's name.
	Service uint64 `cbor:"1,keyasint"`
	// Version is the hash of the sender's active view of the service and of the
	// participating entries.
	Version uint64 `cbor:"2,keyasint"`
	// Stream is the sender's number of the list. It increases, also across restarts.
	Stream uint64 `cbor:"3,keyasint"`
	Phase  Phase  `cbor:"4,keyasint"`
	// Part is the index of the part within the list, starting at 0.
	Part   uint16 `cbor:"5,keyasint"`
	IsLast bool   `cbor:"6,keyasint,omitempty"`
	// Targets are the identity hashes of the backend servers that Groups and Bitmaps
	// refer to.
	Targets []uint64 `cbor:"7,keyasint,omitempty"`
	// Groups is a sequence of groups of flows. Each group has the bucket (2 bytes), one
	// byte with the index of the target in the low 7 bits and the UDP flag in the top
	// bit, a count (1 byte), and that many 32-bit fingerprints. A count of 0 states
	// that the bucket is contested and that the target is a former one.
	Groups []byte `cbor:"8,keyasint,omitempty"`
	// Bitmaps is a sequence of items. Each has the index of a target (1 byte) and a
	// bitmap of the contested buckets of which it is a former target. Bucket 0 is the
	// lowest bit of the first byte.
	Bitmaps []byte `cbor:"9,keyasint,omitempty"`
}

// Kind returns KindDigest.
func (Digest) Kind() Kind { return KindDigest }

// DigestAck acknowledges one part of a digest.
type DigestAck struct {
	sealed `cbor:"-"`
	Stream uint64 `cbor:"1,keyasint"`
	Part   uint16 `cbor:"2,keyasint"`
}

// Kind returns KindDigestAck.
func (DigestAck) Kind() Kind { return KindDigestAck }

// Readiness reports whether the sender is ready to own flows.
type Readiness struct {
	sealed  `cbor:"-"`
	IsReady bool `cbor:"1,keyasint"`
	// Sequence increases with each change of the sender's readiness.
	Sequence uint64 `cbor:"2,keyasint"`
	// WantsAnswer requests the readiness of the receiver.
	WantsAnswer bool `cbor:"3,keyasint,omitempty"`
	// WantsTransfer requests a PhaseTransfer digest of each service if the receiver is
	// ready.
	WantsTransfer bool `cbor:"4,keyasint,omitempty"`
	// IsLeaving is set if the sender is leaving and will not become ready again.
	IsLeaving bool `cbor:"5,keyasint,omitempty"`
}

// Kind returns KindReadiness.
func (Readiness) Kind() Kind { return KindReadiness }

func decodePlacement(w wireMessage) (Message, error) {
	switch w.Kind {
	case KindPlacements:
		return decodeAs[Placements](w)
	case KindPlacementsAck:
		return decodeAs[PlacementsAck](w)
	case KindFlowQuery:
		return decodeAs[FlowQuery](w)
	case KindFlowAnswer:
		return decodeAs[FlowAnswer](w)
	case KindDigest:
		return decodeAs[Digest](w)
	case KindDigestAck:
		return decodeAs[DigestAck](w)
	case KindReadiness:
		return decodeAs[Readiness](w)
	default:
		return nil, ErrKindNotExist{Kind: w.Kind}
	}
}
