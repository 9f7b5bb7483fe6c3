package replicator

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// Kind is the number of a message type on the wire. Numbers are never reused.
type Kind uint8

// Kinds of messages.
const (
	KindVoteRequest      Kind = 1
	KindVoteResponse     Kind = 2
	KindAppendRequest    Kind = 3
	KindAppendResponse   Kind = 4
	KindSnapshotRequest  Kind = 5
	KindSnapshotResponse Kind = 6
	KindVerifyRequest    Kind = 7
	KindVerifyResponse   Kind = 8
	KindJoinRequest      Kind = 9
	KindJoinResponse     Kind = 10
	KindHandOver         Kind = 11
)

// Message is one of the message types of this package.
type Message interface {
	// Kind returns the number of the type on the wire.
	Kind() Kind
	isMessage()
}

type sealedMessage struct{}

func (sealedMessage) isMessage() {}

// VoteRequest asks for a vote, or with Pre whether a vote would be given.
type VoteRequest struct {
	sealedMessage
	_         struct{} `cbor:",toarray"`
	Pre       bool
	Term      uint64
	LastIndex uint64
	LastTerm  uint64
	// HandedOver reports that the leader itself asked for the election.
	HandedOver bool
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	sealedMessage
	_    struct{} `cbor:",toarray"`
	Pre  bool
	Term uint64
	// For is the term of the request.
	For     uint64
	Granted bool
}

// AppendRequest carries entries after PrevIndex; without entries it is a
// heartbeat.
type AppendRequest struct {
	sealedMessage
	_         struct{} `cbor:",toarray"`
	Term      uint64
	PrevIndex uint64
	PrevTerm  uint64
	Commit    uint64
	// Round grows with each broadcast of the leader.
	Round uint64
	// SentAt is the leader's own clock in nanoseconds.
	SentAt  int64
	Entries []storer.Entry
}

// Echo is the part of a response that tells the leader which request and which
// start of the replica it comes from.
type Echo struct {
	_      struct{} `cbor:",toarray"`
	Round  uint64
	SentAt int64
	// Session is a random number of the replica's start.
	Session uint64
	// Verified reports that the replica may be counted towards a majority.
	Verified bool
}

// AppendResponse answers an AppendRequest.
type AppendResponse struct {
	sealedMessage
	_       struct{} `cbor:",toarray"`
	Term    uint64
	Echo    Echo
	Success bool
	// Match is the last index known to be equal in both logs, on success.
	Match uint64
	// Hint is the last index that may be equal, on failure.
	Hint uint64
}

// SnapshotRequest carries a part of a snapshot.
type SnapshotRequest struct {
	sealedMessage
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Round  uint64
	SentAt int64
	// Header is the snapshot without its data.
	Header storer.Snapshot
	Offset uint64
	Total  uint64
	Data   []byte
}

// SnapshotResponse answers a SnapshotRequest.
type SnapshotResponse struct {
	sealedMessage
	_    struct{} `cbor:",toarray"`
	Term uint64
	Echo Echo
	// Index is that of the snapshot.
	Index uint64
	// Offset is the number of bytes received.
	Offset uint64
	// Done reports that the replica has the state up to Index.
	Done bool
}

// VerifyRequest asks a voter for its term and the end of its log after a start.
type VerifyRequest struct {
	sealedMessage
	_     struct{} `cbor:",toarray"`
	Nonce uint64
}

// VerifyResponse answers a VerifyRequest with durable state.
type VerifyResponse struct {
	sealedMessage
	_               struct{} `cbor:",toarray"`
	Nonce           uint64
	Term            uint64
	LastIndex       uint64
	LastTerm        uint64
	MembershipIndex uint64
}

// JoinRequest asks for membership as a non-voter, or announces a new address.
type JoinRequest struct {
	sealedMessage
	_       struct{} `cbor:",toarray"`
	Nonce   uint64
	Name    string
	Address netip.AddrPort
}

// JoinResponse answers a JoinRequest.
type JoinResponse struct {
	sealedMessage
	_     struct{} `cbor:",toarray"`
	Nonce uint64
	Name  string
	// Empty reports that the sender belongs to no cluster.
	Empty bool
	// Leader is the address of the leader that the sender follows, if any. The
	// settings of a replacement do not list the leader that it replaces.
	Leader netip.AddrPort
}

// HandOver asks a replica that has the whole log to lead at once.
type HandOver struct {
	sealedMessage
	_    struct{} `cbor:",toarray"`
	Term uint64
}

// Kind returns KindVoteRequest.
func (*VoteRequest) Kind() Kind { return KindVoteRequest }

// Kind returns KindVoteResponse.
func (*VoteResponse) Kind() Kind { return KindVoteResponse }

// Kind returns KindAppendRequest.
func (*AppendRequest) Kind() Kind { return KindAppendRequest }

// Kind returns KindAppendResponse.
func (*AppendResponse) Kind() Kind { return KindAppendResponse }

// Kind returns KindSnapshotRequest.
func (*SnapshotRequest) Kind() Kind { return KindSnapshotRequest }

// Kind returns KindSnapshotResponse.
func (*SnapshotResponse) Kind() Kind { return KindSnapshotResponse }

// Kind returns KindVerifyRequest.
func (*VerifyRequest) Kind() Kind { return KindVerifyRequest }

// Kind returns KindVerifyResponse.
func (*VerifyResponse) Kind() Kind { return KindVerifyResponse }

// Kind returns KindJoinRequest.
func (*JoinRequest) Kind() Kind { return KindJoinRequest }

// Kind returns KindJoinResponse.
func (*JoinResponse) Kind() Kind { return KindJoinResponse }

// Kind returns KindHandOver.
func (*HandOver) Kind() Kind { return KindHandOver }

// Envelope carries a message from one replica to another.
type Envelope struct {
	// Cluster is zero while the sender belongs to none.
	Cluster storer.Identity
	From    storer.Identity
	// Address is that of the sender.
	Address netip.AddrPort
	// To is zero if the sender does not know the identity of the receiver.
	To      storer.Identity
	Message Message
}

type wireEnvelope struct {
	_       struct{} `cbor:",toarray"`
	Cluster storer.Identity
	From    storer.Identity
	Address netip.AddrPort
	To      storer.Identity
	Kind    Kind
	Body    cbor.RawMessage
}

// MarshalCBOR encodes the envelope.
func (e Envelope) MarshalCBOR() ([]byte, error) {
	body, err := cbor.Marshal(e.Message)
	if err != nil {
		return nil, fmt.Errorf("encode message of kind %d: %w", e.Message.Kind(), err)
	}
	return cbor.Marshal(wireEnvelope{Cluster: e.Cluster, From: e.From, Address: e.Address, To: e.To, Kind: e.Message.Kind(), Body: body})
}

// UnmarshalCBOR decodes the envelope. It returns ErrKindNotExist for a message
// of an unknown kind.
func (e *Envelope) UnmarshalCBOR(data []byte) error {
	var wire wireEnvelope
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return fmt.Errorf("decode envelope: %w", err)
	}
	message, err := newMessage(wire.Kind)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(wire.Body, message); err != nil {
		return fmt.Errorf("decode message of kind %d: %w", wire.Kind, err)
	}
	*e = Envelope{Cluster: wire.Cluster, From: wire.From, Address: wire.Address, To: wire.To, Message: message}
	return nil
}

func newMessage(kind Kind) (Message, error) {
	switch kind {
	case KindVoteRequest:
		return &VoteRequest{}, nil
	case KindVoteResponse:
		return &VoteResponse{}, nil
	case KindAppendRequest:
		return &AppendRequest{}, nil
	case KindAppendResponse:
		return &AppendResponse{}, nil
	case KindSnapshotRequest:
		return &SnapshotRequest{}, nil
	case KindSnapshotResponse:
		return &SnapshotResponse{}, nil
	case KindVerifyRequest:
		return &VerifyRequest{}, nil
	case KindVerifyResponse:
		return &VerifyResponse{}, nil
	case KindJoinRequest:
		return &JoinRequest{}, nil
	case KindJoinResponse:
		return &JoinResponse{}, nil
	case KindHandOver:
		return &HandOver{}, nil
	default:
		return nil, ErrKindNotExist{Kind: kind}
	}
}
