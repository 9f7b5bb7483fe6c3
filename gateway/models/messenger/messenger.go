// Package messenger defines the messages between gateways (gRPC service
// redwingledge.gateway.Peer, encoded with CBOR). Points in time are sent as
// durations, because the clocks of gateways may differ.
package messenger

import (
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// ServiceName is the full name of the gRPC service.
const ServiceName = "redwingledge.gateway.Peer"

// Methods of the gRPC service.
const (
	MethodClaim      = "Claim"
	MethodRecord     = "Record"
	MethodGrantSlots = "GrantSlots"
	MethodHandOver   = "HandOver"
)

// Key identifies a non-idempotent request. On the wire, the client account is
// called member.
type Key struct {
	Service       string `cbor:"service"`
	ClientAccount string `cbor:"member"`
	Key           string `cbor:"key"`
}

// Attempt identifies one attempt of a gateway to claim a key.
type Attempt struct {
	Gateway string `cbor:"gateway"`
	ID      uint64 `cbor:"id"`
}

// ClaimRequest asks a member of the claim group for the key.
type ClaimRequest struct {
	Key         Key      `cbor:"key"`
	Attempt     Attempt  `cbor:"attempt"`
	Fingerprint [32]byte `cbor:"fingerprint"`
	// ListHashes are the hashes of the gateway lists that the claimant uses.
	ListHashes []uint64 `cbor:"lists"`
}

// ClaimStatus is a member's answer to a ClaimRequest.
type ClaimStatus uint8

// Answers to a ClaimRequest.
const (
	// ClaimGranted means that the member has stored the claim of this attempt.
	ClaimGranted ClaimStatus = 1
	// ClaimTaken means that another attempt holds the key at this member.
	ClaimTaken ClaimStatus = 2
	// ClaimRecovering means that the member may have lost claims.
	ClaimRecovering ClaimStatus = 3
	// ClaimFull means that the member has no claim on the key and no capacity for
	// another one.
	ClaimFull ClaimStatus = 4
	// ClaimStale means that the claimant lacks a gateway list that the member uses.
	ClaimStale ClaimStatus = 5
)

// ClaimAnswer answers a ClaimRequest.
type ClaimAnswer struct {
	Status ClaimStatus `cbor:"status"`
	// Claims are the attempts that hold the key at the member.
	Claims  []Claim                 `cbor:"claims,omitempty"`
	Outcome *recorder.StoredOutcome `cbor:"done,omitempty"`
	// OutcomeOf is the attempt that ended with Outcome.
	OutcomeOf Claim `cbor:"done_by,omitempty"`
	// Lists are the gateway lists that the member uses, if the claim is stale.
	Lists []GatewayList `cbor:"lists,omitempty"`
}

// Claim is an attempt that holds a key and has no outcome yet.
type Claim struct {
	Attempt     Attempt  `cbor:"attempt"`
	Fingerprint [32]byte `cbor:"fingerprint"`
	// Age is the time since the member granted the claim.
	Age time.Duration `cbor:"age"`
}

// GatewayList is a gateway list from which claim groups are chosen.
type GatewayList struct {
	Gateways []viewer.Gateway `cbor:"gateways"`
}

// RecordRequest records the outcome of an attempt, or releases its claim if it
// was never dispatched and never will be.
type RecordRequest struct {
	Key         Key                     `cbor:"key"`
	Attempt     Attempt                 `cbor:"attempt"`
	Fingerprint [32]byte                `cbor:"fingerprint"`
	Release     bool                    `cbor:"release,omitempty"`
	Outcome     *recorder.StoredOutcome `cbor:"outcome,omitempty"`
}

// RecordAnswer acknowledges a RecordRequest.
type RecordAnswer struct{}

// KeyState is the state of a key at a member of its claim group.
type KeyState struct {
	Key       Key                     `cbor:"key"`
	Claims    []Claim                 `cbor:"claims,omitempty"`
	Outcome   *recorder.StoredOutcome `cbor:"done,omitempty"`
	OutcomeOf Claim                   `cbor:"done_by,omitempty"`
	// Remaining is the time until the member deletes the key.
	Remaining time.Duration `cbor:"remaining"`
}

// HandOverRequest pushes keys to a peer or asks for a page of the peer's keys.
type HandOverRequest struct {
	From string     `cbor:"from"`
	Keys []KeyState `cbor:"keys,omitempty"`
	// WantsPage asks for the keys after the cursor whose claim group includes From.
	WantsPage bool `cbor:"copy,omitempty"`
	// EvenIfRecovering asks for the keys even if the peer is recovering.
	EvenIfRecovering bool   `cbor:"always,omitempty"`
	Cursor           uint64 `cbor:"cursor,omitempty"`
}

// HandOverAnswer answers a HandOverRequest.
type HandOverAnswer struct {
	// Epoch identifies the process of the peer; cursors are only valid within it.
	Epoch      uint64     `cbor:"epoch,omitempty"`
	Recovering bool       `cbor:"recovering,omitempty"`
	Keys       []KeyState `cbor:"keys,omitempty"`
	// Cursor is where the next page starts. More is set if there is one.
	Cursor uint64        `cbor:"cursor,omitempty"`
	More   bool          `cbor:"more,omitempty"`
	Lists  []GatewayList `cbor:"lists,omitempty"`
}

// GrantRequest asks the owner of backend servers for slots and reports results.
// Without demands it is a probe.
type GrantRequest struct {
	From string `cbor:"from"`
	// Epoch identifies the process that asks.
	Epoch uint64 `cbor:"epoch"`
	// Sequence grows with each request of one process.
	Sequence uint64   `cbor:"sequence"`
	Demands  []Demand `cbor:"demands"`
}

// Demand is the number of slots of one backend server that a gateway holds and needs.
type Demand struct {
	ID announcer.ID `cbor:"id"`
	// Held is the number of slots that the gateway may be using.
	Held int `cbor:"held"`
	// Wanted is the number of slots that the gateway has requests for.
	Wanted int `cbor:"want"`
	// Total is the number of slots of the whole service that the gateway may
	// be using; owners prefer gateways with a low total.
	Total  int    `cbor:"total"`
	Report Report `cbor:"report,omitempty"`
	// Spare is set if the slots beyond those held are for second attempts. They are granted only
	// while no other gateway waits for a slot of the backend server.
	Spare bool `cbor:"spare,omitempty"`
}

// Report counts results since the last request.
type Report struct {
	Answers  int `cbor:"answers,omitempty"`
	Sheds    int `cbor:"sheds,omitempty"`
	Failures int `cbor:"failures,omitempty"`
	// Latency is the sum over the answers and over the attempts that were cancelled because the
	// second attempt of their request was answered first.
	Latency time.Duration `cbor:"latency,omitempty"`
}

// GrantAnswer answers a GrantRequest.
type GrantAnswer struct {
	// Refused is set if the sequence number is outdated. The request then had no effect.
	Refused bool    `cbor:"refused,omitempty"`
	Grants  []Grant `cbor:"grants,omitempty"`
	// Leaving is set in answers to probes by a gateway that stops. It grants no more
	// slots.
	Leaving bool `cbor:"leaving,omitempty"`
	// Unreachable lists, in answers to probes, the gateways that do not answer the
	// probes of the answering gateway or that are leaving.
	Unreachable []string `cbor:"unheard,omitempty"`
	// FormerLeases lists, in answers to probes, the unexpired leases on backend servers that
	// the answering gateway no longer owns.
	FormerLeases []SlotLease `cbor:"former,omitempty"`
	// Relinquished lists, in answers to probes, the backend servers that the answering
	// gateway owned until now and whose new owner, in its view, is the probing
	// gateway. FormerLeases contains all unexpired leases on them.
	Relinquished []announcer.ID `cbor:"gave_up,omitempty"`
}

// SlotLease is a lease on slots of one backend server that a gateway may be using.
type SlotLease struct {
	ID        announcer.ID  `cbor:"id"`
	Gateway   string        `cbor:"gateway"`
	Slots     int           `cbor:"slots"`
	Remaining time.Duration `cbor:"remaining"`
}

// Grant is the number of slots that a gateway may use until the lease ends. The
// lease counts from the time at which the gateway sent its request.
type Grant struct {
	ID    announcer.ID  `cbor:"id"`
	Slots int           `cbor:"slots"`
	Lease time.Duration `cbor:"lease"`
	// Waiting is set by a new owner that does not grant slots yet. Slots that the
	// former owner granted stay usable until their lease ends.
	Waiting bool `cbor:"waiting,omitempty"`
	// Contended is set while another gateway waits for a slot of the backend server.
	Contended bool `cbor:"contended,omitempty"`
}
