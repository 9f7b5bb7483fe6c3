package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against resets of open flows whose backend server responds where this entry cannot see it.
func TestAnsweredFlowIsNotReset(t *testing.T) {
	t.Parallel()
	sendSYN := func(n *network, flow uint64) {
		n.nodes[1].machine.Decide(n.now, Packet{Flow: flow, Flags: FlagSYN})
	}
	for name, prepare := range map[string]func(n *network, flow uint64){
		"peer with the flow":    sendSYN,
		"peer without the flow": func(*network, uint64) {},
		"peer taken for dead": func(n *network, flow uint64) {
			sendSYN(n, flow)
			n.step(n.nodes[0], MembersChanged{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireNoReset(t, prepare, func(n *network, flow uint64, backend uint32) {
				peer := n.nodes[1].machine
				atPeer, _ := peer.BackendIndex(n.nodes[0].machine.GetBackend(backend).ID)
				peer.Observe(n.now, Reply{Flow: flow, Backend: atPeer})
			})
		})
	}
}

// Guards against taking the lack of responses at all entries for a proof that a backend server lost a flow.
func TestSilentFlowIsNotReset(t *testing.T) {
	t.Parallel()
	for name, prepare := range map[string]func(n *network, flow uint64){
		"peers that carry the flow": func(n *network, flow uint64) {
			n.nodes[1].machine.Decide(n.now, Packet{Flow: flow, Flags: FlagSYN})
		},
		"no peer": func(n *network, _ uint64) { n.step(n.nodes[0], MembersChanged{}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireNoReset(t, prepare, func(*network, uint64, uint32) {})
		})
	}
}

// requireNoReset asserts that an entry forwards each packet of a flow to its backend server, while
// that responds to this entry on another flow only.
func requireNoReset(t *testing.T, prepare func(n *network, flow uint64), respond func(n *network, flow uint64, backend uint32)) {
	t.Helper()
	const open, other = 1 << 40, 3 << 40
	n := newNetwork(1, 2)
	n.lossRate = 0
	n.run(5 * time.Second)
	m := n.nodes[0].machine
	backend := m.Decide(n.now, Packet{Flow: open, Flags: FlagSYN}).Backend
	m.Decide(n.now, Packet{Flow: other, Flags: FlagSYN})
	prepare(n, open)
	for range 20 {
		n.run(time.Second)
		m.Observe(n.now, Reply{Flow: other, Backend: backend})
		respond(n, open, backend)
		require.Equal(t, forward(backend), m.Decide(n.now, Packet{Flow: open}))
	}
}
