package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against resets of open flows whose backend server responds where this entry cannot see it.
func TestAnsweredFlowIsNotReset(t *testing.T) {
	t.Parallel()
	for name, prepare := range map[string]func(n *network, flow uint64){
		"peer without the flow": func(*network, uint64) {},
		"peer taken for dead": func(n *network, flow uint64) {
			n.nodes[1].machine.Decide(n.now, Packet{Flow: flow, Flags: FlagSYN})
			n.step(n.nodes[0], MembersChanged{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := newNetwork(1, 2)
			n.lossRate = 0
			n.run(5 * time.Second)
			m, peer := n.nodes[0].machine, n.nodes[1].machine
			const answered, other = 1 << 40, 3 << 40
			target := m.Decide(n.now, Packet{Flow: answered, Flags: FlagSYN}).Backend
			m.Decide(n.now, Packet{Flow: other, Flags: FlagSYN})
			prepare(n, answered)
			for range 20 {
				n.run(time.Second)
				atPeer, _ := peer.BackendIndex(m.GetBackend(target).ID)
				m.Observe(n.now, Reply{Flow: other, Backend: target})
				peer.Observe(n.now, Reply{Flow: answered, Backend: atPeer})
				require.Equal(t, forward(target), m.Decide(n.now, Packet{Flow: answered}))
			}
		})
	}
}
