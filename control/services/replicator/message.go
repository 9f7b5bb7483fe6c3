package replicator

import (
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// Kind identifies a message type on the wire. Numbers are never reused.
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
	KindTimeoutNow       Kind = 11
	KindLeaveRequest     Kind = 12
	KindLeaveResponse    Kind = 13
)

// Message is implemented by the message types of this package.
type Message interface {
	// Kind returns the number that identifies the type on the wire.
	Kind() Kind
	isMessage()
}

type sealedMessage struct{}

func (sealedMessage) isMessage() {}

// VoteRequest asks for a vote. With PreVote it asks whether the receiver would grant one.
type VoteRequest struct {
	sealedMessage
	_         struct{} `cbor:",toarray"`
	PreVote   bool
	Term      uint64
	LastIndex uint64
	LastTerm  uint64
	// LeadershipTransfer reports that the leader requested this election.
	LeadershipTransfer bool
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	sealedMessage
	_       struct{} `cbor:",toarray"`
	PreVote bool
	Term    uint64
	// RequestTerm is the term of the request.
	RequestTerm uint64
	Granted     bool
}

// AppendRequest carries the log entries that follow PrevIndex. Without entries it is a
// heartbeat.
type AppendRequest struct {
	sealedMessage
	_            struct{} `cbor:",toarray"`
	Term         uint64
	PrevIndex    uint64
	PrevTerm     uint64
	LeaderCommit uint64
	// Round increases with each broadcast of the leader.
	Round uint64
	// SentAt is the leader's clock, in nanoseconds since its start.
	SentAt  int64
	Entries []storer.Entry
}

// Echo identifies, in a response to the leader, the request that it answers and the session of
// the replica that sent it.
type Echo struct {
	_      struct{} `cbor:",toarray"`
	Round  uint64
	SentAt int64
	// Session is a random number that the replica chooses at each start.
	Session uint64
	// Verified reports that the leader may count the replica towards a majority.
	Verified bool
}

// AppendResponse answers an AppendRequest.
type AppendResponse struct {
	sealedMessage
	_       struct{} `cbor:",toarray"`
	Term    uint64
	Echo    Echo
	Success bool
	// MatchIndex is, on success, the last index up to which both logs are known to be equal.
	MatchIndex uint64
	// RejectHint is, on failure, the last index at which both logs may be equal.
	RejectHint uint64
}

// SnapshotRequest carries one chunk of a snapshot.
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
	// Index is the index of the snapshot.
	Index uint64
	// Offset is the number of bytes received.
	Offset uint64
	// Done reports that the replica has the complete state up to Index.
	Done bool
}

// VerifyRequest asks a voter for its term and the end of its log. A replica sends it after a
// start.
type VerifyRequest struct {
	sealedMessage
	_     struct{} `cbor:",toarray"`
	Nonce uint64
}

// VerifyResponse answers a VerifyRequest. Its fields describe durable state.
type VerifyResponse struct {
	sealedMessage
	_               struct{} `cbor:",toarray"`
	Nonce           uint64
	Term            uint64
	LastIndex       uint64
	LastTerm        uint64
	MembershipIndex uint64
}

// JoinRequest asks to be added to the membership as a non-voter, or announces a new address of
// a member.
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
	// Unbootstrapped reports that the sender belongs to no cluster.
	Unbootstrapped bool
	// Leader is the address of the leader that the sender follows, if any. A replica that is to
	// replace the leader needs it to join, because the settings of a replacement do not list the
	// leader that it replaces.
	Leader netip.AddrPort
}

// TimeoutNow asks a replica that has the complete log to start an election at once. The leader
// sends it to transfer its leadership.
type TimeoutNow struct {
	sealedMessage
	_    struct{} `cbor:",toarray"`
	Term uint64
}

// LeaveRequest asks the leader to let another replica vote in place of the sender, which is about
// to stop as planned, or not to let the sender vote.
type LeaveRequest struct {
	sealedMessage
	_ struct{} `cbor:",toarray"`
	// Session is that of the sender, which may vote again after its next start.
	Session uint64
}

// LeaveResponse reports that the leader lets the receiver vote in no membership after the one at MembershipIndex. The
// receiver learns from its log whether it votes in that one.
type LeaveResponse struct {
	sealedMessage
	_ struct{} `cbor:",toarray"`
	// Session is that of the request.
	Session         uint64
	Term            uint64
	MembershipIndex uint64
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

// Kind returns KindTimeoutNow.
func (*TimeoutNow) Kind() Kind { return KindTimeoutNow }

// Kind returns KindLeaveRequest.
func (*LeaveRequest) Kind() Kind { return KindLeaveRequest }

// Kind returns KindLeaveResponse.
func (*LeaveResponse) Kind() Kind { return KindLeaveResponse }

// Envelope carries a message from one replica to another.
type Envelope struct {
	// Cluster is zero while the sender belongs to no cluster.
	Cluster storer.Identity
	From    storer.Identity
	// Address is the address of the sender.
	Address netip.AddrPort
	// To is zero if the sender does not know the identity of the receiver.
	To      storer.Identity
	Message Message
}

// messageOverheadBytes is about the size of an envelope on the wire without entries or data.
const messageOverheadBytes = 128

// Size returns the approximate size of the envelope on the wire, in bytes.
func (e Envelope) Size() int {
	switch message := e.Message.(type) {
	case *AppendRequest:
		return messageOverheadBytes + sizeOf(message.Entries)
	case *SnapshotRequest:
		return messageOverheadBytes + len(message.Data)
	default:
		return messageOverheadBytes
	}
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

// UnmarshalCBOR decodes the envelope. It returns ErrKindNotExist if the kind of the message is
// unknown.
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
	case KindTimeoutNow:
		return &TimeoutNow{}, nil
	case KindLeaveRequest:
		return &LeaveRequest{}, nil
	case KindLeaveResponse:
		return &LeaveResponse{}, nil
	default:
		return nil, ErrKindNotExist{Kind: kind}
	}
}
