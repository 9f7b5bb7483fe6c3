package storer

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Member is one replica of a membership.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      Identity
	Name    string
	Address netip.AddrPort
	Voter   bool
}

// Membership is the set of replicas as of one position of the log. While a vote passes from one
// replica to another it is joint: it needs a majority of the voters and one of the outgoing voters
// (joint consensus in section 6 of the Raft paper by Ongaro and Ousterhout, 2014).
type Membership struct {
	Cluster Identity
	Members []Member
	// Outgoing has the voters before the change if the membership is joint. One that votes no longer need not be a
	// member.
	Outgoing []Identity
}

// settledRecord and jointRecord are the encodings of a membership.
type settledRecord struct {
	_       struct{} `cbor:",toarray"`
	Cluster Identity
	Members []Member
}

type jointRecord struct {
	_        struct{} `cbor:",toarray"`
	Cluster  Identity
	Members  []Member
	Outgoing []Identity
}

// MarshalCBOR encodes the membership. Without outgoing voters the encoding is the one of versions that had no joint
// memberships.
func (m Membership) MarshalCBOR() ([]byte, error) {
	if m.IsJoint() {
		return cbor.Marshal(jointRecord{Cluster: m.Cluster, Members: m.Members, Outgoing: m.Outgoing})
	}
	return cbor.Marshal(settledRecord{Cluster: m.Cluster, Members: m.Members})
}

// UnmarshalCBOR decodes both encodings.
func (m *Membership) UnmarshalCBOR(data []byte) error {
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(data, &fields); err != nil {
		return fmt.Errorf("decode a membership: %w", err)
	}
	var record jointRecord
	if len(fields) == 2 {
		var settled settledRecord
		if err := cbor.Unmarshal(data, &settled); err != nil {
			return fmt.Errorf("decode a membership: %w", err)
		}
		record.Cluster, record.Members = settled.Cluster, settled.Members
	} else if err := cbor.Unmarshal(data, &record); err != nil {
		return fmt.Errorf("decode a joint membership: %w", err)
	}
	*m = Membership{Cluster: record.Cluster, Members: record.Members, Outgoing: record.Outgoing}
	return nil
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

// IsJoint reports whether a vote is passing from one replica to another.
func (m Membership) IsJoint() bool { return len(m.Outgoing) > 0 }

// IsVoter reports whether id is a voter or an outgoing one.
func (m Membership) IsVoter(id Identity) bool {
	member, ok := m.Get(id)
	return ok && member.Voter || slices.Contains(m.Outgoing, id)
}

// Voters returns the number of voters, without those that are outgoing only.
func (m Membership) Voters() int { return len(m.voters()) }

func (m Membership) voters() []Identity {
	voters := make([]Identity, 0, len(m.Members))
	for _, member := range m.Members {
		if member.Voter {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// VoterSets returns the sets of replicas of each of which a majority is needed: the voters and, in a joint membership,
// those before the change.
func (m Membership) VoterSets() [][]Identity {
	if m.IsJoint() {
		return [][]Identity{m.voters(), m.Outgoing}
	}
	return [][]Identity{m.voters()}
}

// HasMajority reports whether enough replicas of each set of voters meet the condition. The majority of n voters is
// given by a function.
func (m Membership) HasMajority(majority func(n int) int, condition func(Identity) bool) bool {
	for _, voters := range m.VoterSets() {
		n := 0
		for _, id := range voters {
			if condition(id) {
				n++
			}
		}
		if n < majority(len(voters)) {
			return false
		}
	}
	return true
}

// With returns a copy in which member is added at the end, or replaces the one with the same identity. So the members are
// in the order in which they joined.
func (m Membership) With(member Member) Membership {
	i := slices.IndexFunc(m.Members, func(other Member) bool { return other.ID == member.ID })
	m.Members = slices.Clone(m.Members)
	if i < 0 {
		m.Members = append(m.Members, member)
	} else {
		m.Members[i] = member
	}
	return m
}

// Without returns a copy that lacks the member with the given identity.
func (m Membership) Without(id Identity) Membership {
	c := Membership{Cluster: m.Cluster, Members: make([]Member, 0, len(m.Members)+1), Outgoing: m.Outgoing}
	for _, member := range m.Members {
		if member.ID != id {
			c.Members = append(c.Members, member)
		}
	}
	return c
}

// WithVoterReplaced returns a joint copy in which one member votes in place of another one.
func (m Membership) WithVoterReplaced(replaced, successor Member) Membership {
	voters := m.voters()
	replaced.Voter, successor.Voter = false, true
	c := m.With(replaced).With(successor)
	c.Outgoing = voters
	return c
}

// WithoutOutgoing returns a copy that needs only a majority of its voters.
func (m Membership) WithoutOutgoing() Membership {
	m.Outgoing = nil
	return m
}
