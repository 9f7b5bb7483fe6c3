package replicator

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// joinPeriods is the number of heartbeats between requests to join.
const joinPeriods = 5

// forgottenPeriods is the number of election timeouts without a leader after which
// a replica of an open membership asks to join although it believes to be a
// member: the leader may have removed it while it did not answer.
const forgottenPeriods = 2

type joining struct {
	askAt time.Time
	nonce uint64
	// empty has the names of the peers that answered the last request and belong
	// to no cluster.
	empty map[string]bool
	// referred tells that the request was sent to a leader that a peer named. It
	// is sent on once, so that wrong names cannot make a loop.
	referred bool
}

func (m *Machine) isEmpty() bool { return m.membership().Cluster.IsZero() }

// tickJoining asks for membership until the membership has this replica with its
// address.
func (m *Machine) tickJoining() {
	self, ok := m.membership().Get(m.id)
	if (ok && self.Address == m.settings.Address && !m.mayBeForgotten()) || m.now.Before(m.joining.askAt) {
		return
	}
	m.joining = joining{
		askAt: m.now.Add(joinPeriods * m.settings.Heartbeat), nonce: m.rng.Uint64(), empty: make(map[string]bool),
	}
	req := &JoinRequest{Nonce: m.joining.nonce, Name: m.settings.Name, Address: m.settings.Address}
	for _, peer := range m.settings.Peers {
		if peer.Name != m.settings.Name {
			m.sendTo(storer.Member{Name: peer.Name, Address: peer.Address}, req)
		}
	}
	for _, member := range m.membership().Members {
		if member.ID != m.id && !m.isPeer(member.Address) {
			m.sendTo(storer.Member{Name: member.Name, Address: member.Address}, req)
		}
	}
	m.reviewFounding()
}

// mayBeForgotten reports whether no leader has been heard for so long that it may
// have removed this replica.
func (m *Machine) mayBeForgotten() bool {
	return m.settings.OpenMembership && m.role != RoleLeader &&
		m.now.Sub(m.leaderSeen) >= forgottenPeriods*m.settings.ElectionTimeout
}

func (m *Machine) handleJoinRequest(from storer.Identity, req *JoinRequest) {
	resp := &JoinResponse{Nonce: req.Nonce, Name: m.settings.Name, Empty: m.isEmpty()}
	if leader, ok := m.membership().Get(m.leader); ok && m.role == RoleFollower {
		resp.Leader = leader.Address
	}
	m.sendTo(storer.Member{ID: from, Name: req.Name, Address: req.Address}, resp)
	if m.role == RoleLeader && len(m.leading.joins) < maxAddresses {
		m.leading.joins[from] = storer.Member{ID: from, Name: req.Name, Address: req.Address}
	}
}

func (m *Machine) handleJoinResponse(_ storer.Identity, resp *JoinResponse) {
	if resp.Nonce != m.joining.nonce {
		return
	}
	if resp.Leader.IsValid() && !m.joining.referred && !m.isPeer(resp.Leader) {
		m.joining.referred = true
		m.sendTo(storer.Member{Address: resp.Leader}, &JoinRequest{Nonce: m.joining.nonce, Name: m.settings.Name, Address: m.settings.Address})
	}
	if resp.Empty && m.isEmpty() {
		m.joining.empty[resp.Name] = true
		m.reviewFounding()
	}
}

// isPeer reports whether the address is in the settings.
func (m *Machine) isPeer(address netip.AddrPort) bool {
	return slices.ContainsFunc(m.settings.Peers, func(p Peer) bool { return p.Address == address })
}

// reviewFounding creates a cluster with this replica as the only voter if all
// peers are empty. The others join it.
func (m *Machine) reviewFounding() {
	if !m.settings.Bootstrap || !m.isEmpty() || m.settings.Peers[0].Name != m.settings.Name {
		return
	}
	for _, peer := range m.settings.Peers[1:] {
		if !m.joining.empty[peer.Name] {
			return
		}
	}
	var cluster storer.Identity
	binary.LittleEndian.PutUint64(cluster[:8], m.rng.Uint64())
	binary.LittleEndian.PutUint64(cluster[8:], m.rng.Uint64())
	self := storer.Member{ID: m.id, Name: m.settings.Name, Address: m.settings.Address, Voter: true}
	membership := storer.Membership{Cluster: cluster}.With(self)
	m.setTerm(m.term+1, voteBlocked)
	m.appendEntries([]storer.Entry{{
		Index: 1, Term: m.term, Kind: storer.EntryMembership, Data: encodeMembership(membership),
	}})
	m.verification.done = true
}

func encodeMembership(membership storer.Membership) []byte {
	data, err := cbor.Marshal(membership)
	if err != nil {
		panic(err) // a Membership has no types that cannot be encoded
	}
	return data
}
