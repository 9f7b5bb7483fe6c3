package replicator

import "github.com/redwingledge/redwingledge/control/models/storer"

// maxAddresses bounds the stored addresses of senders and the pending requests to join. A
// cluster has at most 7 replicas.
const maxAddresses = 64

func (m *Machine) receive(env Envelope) {
	cluster := m.membership().Cluster
	if (!env.To.IsZero() && env.To != m.id) || env.From == m.id ||
		(!cluster.IsZero() && !env.Cluster.IsZero() && cluster != env.Cluster) || !isValid(env.Message) {
		m.counts.MessagesRefused++
		if !env.To.IsZero() && env.To != m.id && isValid(env.Message) {
			m.noteEarlierContact(env)
		}
		return
	}
	if len(m.addresses) >= maxAddresses {
		clear(m.addresses)
	}
	m.addresses[env.From] = env.Address
	switch msg := env.Message.(type) {
	case *VoteRequest:
		m.handleVoteRequest(env.From, msg)
	case *VoteResponse:
		m.handleVoteResponse(env.From, msg)
	case *AppendRequest:
		m.handleAppendRequest(env.From, msg)
	case *AppendResponse:
		m.handleAppendResponse(env.From, msg)
	case *SnapshotRequest:
		m.handleSnapshotRequest(env.From, msg)
	case *SnapshotResponse:
		m.handleSnapshotResponse(env.From, msg)
	case *VerifyRequest:
		m.handleVerifyRequest(env.From, msg)
	case *VerifyResponse:
		m.handleVerifyResponse(env.From, msg)
	case *JoinRequest:
		m.handleJoinRequest(env.From, msg)
	case *JoinResponse:
		m.handleJoinResponse(env.From, msg)
	case *TimeoutNow:
		m.handleTimeoutNow(env.From, msg)
	case *LeaveRequest:
		m.handleLeaveRequest(env.From, msg)
	case *LeaveResponse:
		m.handleLeaveResponse(env.From, msg)
	}
}

// send sends a message to a replica. A replica that is not a member, such as a candidate that
// this replica does not know yet, gets it at the address from its own messages.
func (m *Machine) send(to storer.Identity, message Message) { m.sendTo(m.recipient(to), message) }

func (m *Machine) recipient(id storer.Identity) storer.Member {
	if member, ok := m.membership().Get(id); ok {
		return member
	}
	return storer.Member{ID: id, Address: m.addresses[id]}
}

func (m *Machine) sendTo(to storer.Member, message Message) {
	m.emit(Send{To: to, Envelope: m.envelope(to, message)})
}

// sendEarly sends a message that promises nothing that is not durable yet.
func (m *Machine) sendEarly(to storer.Member, message Message) {
	m.emit(Send{To: to, Envelope: m.envelope(to, message), MayPrecedeSaves: true})
}

func (m *Machine) envelope(to storer.Member, message Message) Envelope {
	return Envelope{Cluster: m.membership().Cluster, From: m.id, Address: m.settings.Address, To: to.ID, Message: message}
}
