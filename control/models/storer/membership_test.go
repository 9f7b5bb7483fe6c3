package storer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func simpleMajority(n int) int { return n/2 + 1 }

// newMembership returns a membership of voters and one more member that does not vote, with the identities 1, 2 and so on.
func newMembership(voters byte) Membership {
	membership := Membership{Cluster: Identity{9}}
	for i := range voters + 1 {
		membership = membership.With(Member{ID: Identity{i + 1}, Name: string('a' + rune(i)), Voter: i < voters})
	}
	return membership
}

func requireMajority(t *testing.T, membership Membership, want bool, ids ...byte) {
	t.Helper()
	has := membership.HasMajority(simpleMajority, func(id Identity) bool {
		for _, i := range ids {
			if id == (Identity{i}) {
				return true
			}
		}
		return false
	})
	assert.Equal(t, want, has, "replicas %v", ids)
}

// Guards against one majority that decides alone while a vote passes from one replica to another.
func TestJointMembershipNeedsBothMajorities(t *testing.T) {
	t.Parallel()
	before := newMembership(3)
	joint := before.WithVoterReplaced(before.Members[2], before.Members[3])
	requireMajority(t, before, true, 2, 3)
	requireMajority(t, joint, false, 2, 3)
	requireMajority(t, joint, false, 2, 4)
	requireMajority(t, joint, true, 2, 3, 4)
	requireMajority(t, joint, true, 1, 2)
	requireMajority(t, joint.WithoutOutgoing(), true, 2, 4)
	requireMajority(t, joint.WithoutOutgoing(), false, 2, 3)
	require.Equal(t, 3, joint.Voters())
	for _, member := range joint.Members {
		assert.True(t, joint.IsVoter(member.ID))
	}
	assert.False(t, joint.WithoutOutgoing().IsVoter(Identity{3}))
	requireMajority(t, Membership{}, false)
	require.False(t, before.IsJoint())
	require.True(t, before.Members[2].Voter, "the membership before the change changes as well")
}

// Guards against logs and snapshots of earlier versions that cannot be read, and against outgoing voters that are lost
// when a membership is stored.
func TestMembershipEncoding(t *testing.T) {
	t.Parallel()
	settled := newMembership(3)
	data, err := cbor.Marshal(settled)
	require.NoError(t, err)
	earlier, err := cbor.Marshal([]any{settled.Cluster, settled.Members})
	require.NoError(t, err)
	require.Equal(t, earlier, data)
	for name, membership := range map[string]Membership{
		"empty": {}, "settled": settled, "joint": settled.WithVoterReplaced(settled.Members[0], settled.Members[3]),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			data, err := cbor.Marshal(Snapshot{Index: 3, Membership: membership})
			require.NoError(t, err)
			var decoded Snapshot
			require.NoError(t, cbor.Unmarshal(data, &decoded))
			require.Equal(t, membership, decoded.Membership)
		})
	}
	for _, data := range [][]byte{{}, {0x80}, {0x81, 0x00}, {0x84, 0, 0, 0, 0}, {0xa0}} {
		require.Error(t, new(Membership).UnmarshalCBOR(data))
	}
}
