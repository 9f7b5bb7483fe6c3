package replicator

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// joinRetryHeartbeats is the number of heartbeat intervals between requests to join.
const joinRetryHeartbeats = 5

// rejoinElectionTimeouts is the number of election timeouts without contact to a leader after
// which a replica of an open membership asks to join although its log lists it as a member: the
// leader may have removed it while it did not respond.
const rejoinElectionTimeouts = 2

type joinState struct {
	nextRequestAt time.Time
	nonce         uint64
	// unbootstrapped has the names of the peers that answered the last request and belong to no
	// cluster.
	unbootstrapped map[string]bool
	// redirected reports that the request was also sent to a leader that a peer named. That
	// happens once per request, so that wrong leader addresses cannot cause a loop.
	redirected bool
}

func (m *Machine) isUnbootstrapped() bool { return m.membership().Cluster.IsZero() }

// tickJoining sends requests to join until the membership lists this replica with its current
// address.
func (m *Machine) tickJoining() {
	self, ok := m.membership().Get(m.id)
	if (ok && self.Address == m.settings.Address && !m.mayHaveBeenRemoved()) || m.now.Before(m.joinState.nextRequestAt) {
		return
	}
	m.joinState = joinState{
		nextRequestAt: m.now.Add(joinRetryHeartbeats * m.settings.Heartbeat), nonce: m.rng.Uint64(), unbootstrapped: make(map[string]bool),
	}
	req := &JoinRequest{Nonce: m.joinState.nonce, Name: m.settings.Name, Address: m.settings.Address}
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
	for _, address := range m.earlierContacts {
		if !m.isPeer(address) {
			m.sendTo(storer.Member{Address: address}, req)
		}
	}
	m.bootstrapIfReady()
}

// noteEarlierContact remembers the sender of a message to another identity at this address: a replica of the cluster to
// which this one belonged before it lost its disk. All peers in the settings may be lost at that time.
func (m *Machine) noteEarlierContact(env Envelope) {
	if m.isUnbootstrapped() && env.Address != m.settings.Address && len(m.earlierContacts) < maxAddresses && !slices.Contains(m.earlierContacts, env.Address) {
		m.earlierContacts = append(m.earlierContacts, env.Address)
	}
}

// mayHaveBeenRemoved reports whether the last contact to a leader is so long ago that the leader
// may have removed this replica.
func (m *Machine) mayHaveBeenRemoved() bool {
	return m.settings.OpenMembership && m.role != RoleLeader &&
		m.now.Sub(m.lastLeaderContact) >= rejoinElectionTimeouts*m.settings.ElectionTimeout
}

func (m *Machine) handleJoinRequest(from storer.Identity, req *JoinRequest) {
	resp := &JoinResponse{Nonce: req.Nonce, Name: m.settings.Name, Unbootstrapped: m.isUnbootstrapped()}
	if leader, ok := m.membership().Get(m.leader); ok && m.role == RoleFollower {
		resp.Leader = leader.Address
	}
	m.sendTo(storer.Member{ID: from, Name: req.Name, Address: req.Address}, resp)
	if m.role == RoleLeader && len(m.leaderState.joins) < maxAddresses {
		m.leaderState.joins[from] = storer.Member{ID: from, Name: req.Name, Address: req.Address}
	}
}

func (m *Machine) handleJoinResponse(_ storer.Identity, resp *JoinResponse) {
	if resp.Nonce != m.joinState.nonce {
		return
	}
	if resp.Leader.IsValid() && !m.joinState.redirected && !m.isPeer(resp.Leader) {
		m.joinState.redirected = true
		m.sendTo(storer.Member{Address: resp.Leader}, &JoinRequest{Nonce: m.joinState.nonce, Name: m.settings.Name, Address: m.settings.Address})
	}
	if resp.Unbootstrapped && m.isUnbootstrapped() {
		m.joinState.unbootstrapped[resp.Name] = true
		m.bootstrapIfReady()
	}
}

// isPeer reports whether the settings list the address.
func (m *Machine) isPeer(address netip.AddrPort) bool {
	return slices.ContainsFunc(m.settings.Peers, func(p Peer) bool { return p.Address == address })
}

// hasBootstrapAnswers reports whether enough peers have answered that they belong to no cluster.
func (m *Machine) hasBootstrapAnswers() bool {
	answered := 1
	for _, peer := range m.settings.Peers[1:] {
		if m.joinState.unbootstrapped[peer.Name] {
			answered++
		}
	}
	// A peer may be lost before the cluster exists, and its replacement can only join one.
	after := m.settings.BootstrapMajorityAfter
	isMajority := after > 0 && m.now.Sub(m.started) >= after && answered >= m.majority(len(m.settings.Peers))
	return isMajority || answered == len(m.settings.Peers)
}

// bootstrapIfReady creates a cluster with this replica as the only voter if no peer belongs to a
// cluster. The peers join it afterwards.
func (m *Machine) bootstrapIfReady() {
	if !m.settings.Bootstrap || !m.isUnbootstrapped() || len(m.settings.Peers) == 0 || m.settings.Peers[0].Name != m.settings.Name || !m.hasBootstrapAnswers() {
		return
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
		panic(err) // every Membership can be encoded
	}
	return data
}
