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

// malformedMessageGenerator generates messages with inconsistent fields, as a faulty or newer
// sender may send them.
type malformedMessageGenerator struct {
	rng       *rand.Rand
	nearIndex uint64
	cluster   storer.Identity
	ids       []storer.Identity
}

func (g *malformedMessageGenerator) number() uint64 {
	switch g.rng.IntN(6) {
	case 0:
		return 0
	case 1:
		return math.MaxUint64 - uint64(g.rng.IntN(3))
	case 2:
		return uint64(g.rng.IntN(5))
	default:
		return g.nearIndex + uint64(g.rng.IntN(9)) - 4
	}
}

func (g *malformedMessageGenerator) id() storer.Identity { return g.ids[g.rng.IntN(len(g.ids))] }

func (g *malformedMessageGenerator) flag() bool { return g.rng.IntN(2) == 0 }

func (g *malformedMessageGenerator) bytes() []byte {
	data := make([]byte, g.rng.IntN(20))
	for i := range data {
		data[i] = byte(g.rng.IntN(256))
	}
	return data
}

func (g *malformedMessageGenerator) entries(after uint64) []storer.Entry {
	entries := make([]storer.Entry, g.rng.IntN(4))
	for i := range entries {
		entries[i] = storer.Entry{Index: after + 1 + uint64(i), Term: g.number(), Kind: storer.EntryKind(g.rng.IntN(5)), Data: g.bytes()}
	}
	return entries
}

func (g *malformedMessageGenerator) membership() storer.Membership {
	members := make([]storer.Member, g.rng.IntN(4))
	for i := range members {
		members[i] = storer.Member{ID: g.id(), Name: fmt.Sprint("r", g.rng.IntN(5)), Voter: g.flag()}
	}
	return storer.Membership{Cluster: g.cluster, Members: members}
}

func (g *malformedMessageGenerator) echo() Echo {
	return Echo{Round: g.number(), SentAt: int64(g.number()), Session: g.number(), Verified: g.flag()}
}

func (g *malformedMessageGenerator) message() Message {
	switch g.rng.IntN(12) {
	case 0:
		return &VoteRequest{PreVote: g.flag(), Term: g.number(), LastIndex: g.number(), LastTerm: g.number(), LeadershipTransfer: g.flag()}
	case 1:
		return &VoteResponse{PreVote: g.flag(), Term: g.number(), RequestTerm: g.number(), Granted: g.flag()}
	case 2, 3:
		previous := g.number()
		return &AppendRequest{
			Term: g.number(), PrevIndex: previous, PrevTerm: g.number(), LeaderCommit: g.number(), Round: g.number(),
			SentAt: int64(g.number()), Entries: g.entries(previous),
		}
	case 4:
		return &AppendResponse{Term: g.number(), Echo: g.echo(), Success: g.flag(), MatchIndex: g.number(), RejectHint: g.number()}
	case 5, 6:
		return &SnapshotRequest{
			Term: g.number(), Round: g.number(), SentAt: int64(g.number()), Offset: g.number(), Total: g.number(), Data: g.bytes(),
			Header: storer.Snapshot{Index: g.number(), Term: g.number(), MembershipIndex: g.number(), Membership: g.membership()},
		}
	case 7:
		return &SnapshotResponse{Term: g.number(), Echo: g.echo(), Index: g.number(), Offset: g.number(), Done: g.flag()}
	case 8:
		return &VerifyRequest{Nonce: g.number()}
	case 9:
		return &VerifyResponse{Nonce: g.number(), Term: g.number(), LastIndex: g.number(), LastTerm: g.number(), MembershipIndex: g.number()}
	case 10:
		return &JoinRequest{Nonce: g.number(), Name: fmt.Sprint("r", g.rng.IntN(5)), Address: netip.AddrPort{}}
	default:
		return &TimeoutNow{Term: g.number()}
	}
}

// Guards against a malformed message that ends the process by a panic. Whether its contents are
// true is not checked, because replicas trust each other.
func TestMalformedMessagesDoNotPanic(t *testing.T) {
	t.Parallel()
	for seed := range uint64(150) {
		sim := newSimulation(seed, 3, mutation{})
		require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
		sim.addClients(1, 20)
		sim.run(time.Second)
		g := &malformedMessageGenerator{rng: rand.New(rand.NewPCG(seed, 3)), ids: []storer.Identity{{}, {1}}}
		for _, n := range sim.nodes {
			g.ids = append(g.ids, n.disk.id)
		}
		for i := range 60 {
			n := sim.nodes[i%len(sim.nodes)]
			g.nearIndex, g.cluster = n.machine.log.last(), n.machine.membership().Cluster
			input := Receive{Now: sim.clock(n), Envelope: Envelope{Cluster: g.cluster, From: g.id(), To: n.disk.id, Message: g.message()}}
			require.NotPanics(t, func() {
				n.machine.Step(input)
				n.machine.Step(Tick{Now: sim.clock(n)})
			}, "seed %d: %T %+v", seed, input.Envelope.Message, input.Envelope.Message)
		}
	}
}
