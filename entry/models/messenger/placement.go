package messenger

// Kinds of the placement messages, 50 to 99.
const (
	KindPlacements    Kind = 50
	KindFlowQuery     Kind = 51
	KindFlowAnswer    Kind = 52
	KindDigest        Kind = 53
	KindDigestAck     Kind = 54
	KindStanding      Kind = 55
	KindSilenceQuery  Kind = 56
	KindSilenceAnswer Kind = 57
	KindPlacementsAck Kind = 58
)

// Fingerprints and lines are packed into byte strings, because a CBOR array costs
// one more byte for each number and the control budget is 5 KB/s.

// Placements states which backend servers flows are on: copies for the successor
// of an owner, hints for an entry that relayed a packet, and the hand-over of a
// leaving entry.
type Placements struct {
	sealed `cbor:"-"`
	// Targets are the identity hashes of the backend servers that lines name.
	Targets []uint64 `cbor:"1,keyasint"`
	// Lines are 9 bytes each: the flow's fingerprint (big endian), then the
	// position of its target in the low 7 bits and whether it is UDP in the top bit.
	Lines []byte `cbor:"2,keyasint"`
	// IsReplacing is set if the lines override what the receiver has, because the
	// flows were closed and opened again.
	IsReplacing bool `cbor:"3,keyasint,omitempty"`
	// Sequence, unless 0, asks for a PlacementsAck that names it.
	Sequence uint64 `cbor:"4,keyasint,omitempty"`
}

// Kind returns KindPlacements.
func (Placements) Kind() Kind { return KindPlacements }

// PlacementsAck states that the sender has taken over Placements.
type PlacementsAck struct {
	sealed   `cbor:"-"`
	Sequence uint64 `cbor:"1,keyasint"`
}

// Kind returns KindPlacementsAck.
func (PlacementsAck) Kind() Kind { return KindPlacementsAck }

// FlowQuery asks which of the flows the receiver has.
type FlowQuery struct {
	sealed `cbor:"-"`
	ID     uint32 `cbor:"1,keyasint"`
	// Flows are fingerprints of 8 bytes each.
	Flows []byte `cbor:"2,keyasint"`
	// Service is the hash of the service's name if the receiver, as the owner of the
	// flows, must place those that it does not have, because they are new. Otherwise
	// it is 0.
	Service uint64 `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindFlowQuery.
func (FlowQuery) Kind() Kind { return KindFlowQuery }

// FlowAnswer answers a FlowQuery with the flows that the sender has, as in
// Placements. The sender does not have the other flows of the query.
type FlowAnswer struct {
	sealed  `cbor:"-"`
	ID      uint32   `cbor:"1,keyasint"`
	Targets []uint64 `cbor:"2,keyasint,omitempty"`
	Lines   []byte   `cbor:"3,keyasint,omitempty"`
}

// Kind returns KindFlowAnswer.
func (FlowAnswer) Kind() Kind { return KindFlowAnswer }

// Phase tells what the parts of a digest list.
type Phase uint8

// Phases of digests.
const (
	// PhaseTransfer lists all that a starting entry must know.
	PhaseTransfer Phase = iota
	// PhaseOwned lists the flows that the sender owns.
	PhaseOwned
	// PhaseCorrection lists the sender's flows that are in no PhaseOwned digest.
	PhaseCorrection
	// PhaseInformed is empty: the sender has all corrections.
	PhaseInformed
	// PhaseFacts lists flows outside a round: the hand-over of a leaving entry, or
	// the rest of a round that ended before a starting entry had it.
	PhaseFacts
	// Phases is the number of phases.
	Phases
)

// Digest is one part of a list of flows that stay on another target than the one
// that the active table of the sender names for their bucket.
type Digest struct {
	sealed `cbor:"-"`
	// Service is the hash of the service's name.
	Service uint64 `cbor:"1,keyasint"`
	// Version is the hash of the sender's active view of the service and of the
	// entries that take part.
	Version uint64 `cbor:"2,keyasint"`
	// Stream numbers the list at the sender. It grows, also over restarts.
	Stream uint64 `cbor:"3,keyasint"`
	Phase  Phase  `cbor:"4,keyasint"`
	// Part numbers the parts from 0.
	Part   uint16 `cbor:"5,keyasint"`
	IsLast bool   `cbor:"6,keyasint,omitempty"`
	// Targets are the identity hashes of the backend servers that groups name.
	Targets []uint64 `cbor:"7,keyasint,omitempty"`
	// Groups are: bucket (2 bytes), the position of the target in the low 7 bits
	// and whether the flows are UDP in the top bit (1 byte), count (1 byte), and
	// that many 32-bit fingerprints. A count of 0 states that the bucket is
	// contested and that the target is a former one.
	Groups []byte `cbor:"8,keyasint,omitempty"`
	// Maps are: the position of a target (1 byte) and a bitmap of the buckets that
	// are contested and of which it is a former target (bucket 0 is the lowest bit
	// of the first byte).
	Maps []byte `cbor:"9,keyasint,omitempty"`
}

// Kind returns KindDigest.
func (Digest) Kind() Kind { return KindDigest }

// DigestAck states that the sender has received a part of a digest.
type DigestAck struct {
	sealed `cbor:"-"`
	Stream uint64 `cbor:"1,keyasint"`
	Part   uint16 `cbor:"2,keyasint"`
}

// Kind returns KindDigestAck.
func (DigestAck) Kind() Kind { return KindDigestAck }

// Standing states whether the sender may own flows.
type Standing struct {
	sealed  `cbor:"-"`
	IsReady bool `cbor:"1,keyasint"`
	// Sequence grows with each change of the sender's standing.
	Sequence uint64 `cbor:"2,keyasint"`
	// WantsAnswer asks for the standing of the receiver.
	WantsAnswer bool `cbor:"3,keyasint,omitempty"`
	// WantsTransfer asks a receiver that is ready for a PhaseTransfer digest of each
	// service.
	WantsTransfer bool `cbor:"4,keyasint,omitempty"`
	// IsLeaving is set if the sender will not be ready again.
	IsLeaving bool `cbor:"5,keyasint,omitempty"`
}

// Kind returns KindStanding.
func (Standing) Kind() Kind { return KindStanding }

// SilenceQuery asks whether the receiver has seen responses on flows.
type SilenceQuery struct {
	sealed `cbor:"-"`
	ID     uint32 `cbor:"1,keyasint"`
	// Flows are 10 bytes each: the fingerprint, then the age in seconds of the
	// oldest caller packet without a response.
	Flows []byte `cbor:"2,keyasint"`
}

// Kind returns KindSilenceQuery.
func (SilenceQuery) Kind() Kind { return KindSilenceQuery }

// SilenceAnswer lists the fingerprints of the query on which the sender has seen a
// response within the stated age.
type SilenceAnswer struct {
	sealed `cbor:"-"`
	ID     uint32 `cbor:"1,keyasint"`
	Flows  []byte `cbor:"2,keyasint,omitempty"`
}

// Kind returns KindSilenceAnswer.
func (SilenceAnswer) Kind() Kind { return KindSilenceAnswer }

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
	case KindStanding:
		return decodeAs[Standing](w)
	case KindSilenceQuery:
		return decodeAs[SilenceQuery](w)
	case KindSilenceAnswer:
		return decodeAs[SilenceAnswer](w)
	default:
		return nil, ErrKindNotExist{Kind: w.Kind}
	}
}
