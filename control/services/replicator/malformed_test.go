package replicator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// malformer draws messages whose fields do not fit together, as a faulty or newer sender
// may send them.
type malformer struct {
	rng     *rand.Rand
	near    uint64
	cluster storer.Identity
	ids     []storer.Identity
}

func (f *malformer) number() uint64 {
	switch f.rng.IntN(6) {
	case 0:
		return 0
	case 1:
		return math.MaxUint64 - uint64(f.rng.IntN(3))
	case 2:
		return uint64(f.rng.IntN(5))
	default:
		return f.near + uint64(f.rng.IntN(9)) - 4
	}
}

func (f *malformer) id() storer.Identity { return f.ids[f.rng.IntN(len(f.ids))] }

func (f *malformer) yes() bool { return f.rng.IntN(2) == 0 }

func (f *malformer) bytes() []byte {
	data := make([]byte, f.rng.IntN(20))
	for i := range data {
		data[i] = byte(f.rng.IntN(256))
	}
	return data
}

func (f *malformer) entries(after uint64) []storer.Entry {
	entries := make([]storer.Entry, f.rng.IntN(4))
	for i := range entries {
		entries[i] = storer.Entry{Index: after + 1 + uint64(i), Term: f.number(), Kind: storer.EntryKind(f.rng.IntN(5)), Data: f.bytes()}
	}
	return entries
}

func (f *malformer) membership() storer.Membership {
	members := make([]storer.Member, f.rng.IntN(4))
	for i := range members {
		members[i] = storer.Member{ID: f.id(), Name: fmt.Sprint("r", f.rng.IntN(5)), Voter: f.yes()}
	}
	return storer.Membership{Cluster: f.cluster, Members: members}
}

func (f *malformer) echo() Echo {
	return Echo{Round: f.number(), SentAt: int64(f.number()), Session: f.number(), Verified: f.yes()}
}

func (f *malformer) message() Message {
	switch f.rng.IntN(12) {
	case 0:
		return &VoteRequest{Pre: f.yes(), Term: f.number(), LastIndex: f.number(), LastTerm: f.number(), HandedOver: f.yes()}
	case 1:
		return &VoteResponse{Pre: f.yes(), Term: f.number(), For: f.number(), Granted: f.yes()}
	case 2, 3:
		previous := f.number()
		return &AppendRequest{
			Term: f.number(), PrevIndex: previous, PrevTerm: f.number(), Commit: f.number(), Round: f.number(),
			SentAt: int64(f.number()), Entries: f.entries(previous),
		}
	case 4:
		return &AppendResponse{Term: f.number(), Echo: f.echo(), Success: f.yes(), Match: f.number(), Hint: f.number()}
	case 5, 6:
		return &SnapshotRequest{
			Term: f.number(), Round: f.number(), SentAt: int64(f.number()), Offset: f.number(), Total: f.number(), Data: f.bytes(),
			Header: storer.Snapshot{Index: f.number(), Term: f.number(), MembershipIndex: f.number(), Membership: f.membership()},
		}
	case 7:
		return &SnapshotResponse{Term: f.number(), Echo: f.echo(), Index: f.number(), Offset: f.number(), Done: f.yes()}
	case 8:
		return &VerifyRequest{Nonce: f.number()}
	case 9:
		return &VerifyResponse{Nonce: f.number(), Term: f.number(), LastIndex: f.number(), LastTerm: f.number(), MembershipIndex: f.number()}
	case 10:
		return &JoinRequest{Nonce: f.number(), Name: fmt.Sprint("r", f.rng.IntN(5)), Address: netip.AddrPort{}}
	default:
		return &HandOver{Term: f.number()}
	}
}

// Guards against a message that ends the process. What such a message claims is not
// checked here: replicas trust each other.
func TestMalformedMessagesEndNoReplica(t *testing.T) {
	t.Parallel()
	for seed := range uint64(150) {
		w := newWorld(seed, 3, mutation{})
		require.True(t, w.settle(10*time.Second), w.describe())
		w.addClients(1, 20)
		w.run(time.Second)
		f := &malformer{rng: rand.New(rand.NewPCG(seed, 3)), ids: []storer.Identity{{}, {1}}}
		for _, n := range w.nodes {
			f.ids = append(f.ids, n.disk.id)
		}
		for i := range 60 {
			n := w.nodes[i%len(w.nodes)]
			f.near, f.cluster = n.machine.log.last(), n.machine.membership().Cluster
			input := Receive{Now: w.clock(n), Envelope: Envelope{Cluster: f.cluster, From: f.id(), To: n.disk.id, Message: f.message()}}
			require.NotPanics(t, func() {
				n.machine.Step(input)
				n.machine.Step(Tick{Now: w.clock(n)})
			}, "seed %d: %T %+v", seed, input.Envelope.Message, input.Envelope.Message)
		}
	}
}
