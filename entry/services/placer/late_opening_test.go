package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// newContestedNetwork returns a network without loss in which the buckets of host-0 are contested, and a flow
// of one of them that the first entry does not own.
func newContestedNetwork(t *testing.T) (*network, *Machine, uint64) {
	t.Helper()
	n := newNetwork(1, 8)
	n.lossRate = 0
	n.run(5 * time.Second)
	n.drain(0)
	n.run(time.Second)
	m := n.nodes[0].machine
	svc := m.services[m.serviceByName[services[0]]]
	for flow := uint64(1); flow < uint64(len(svc.buckets)); flow++ {
		if svc.buckets[flow].state == contested && m.owner(svc, flow) != self {
			return n, m, flow
		}
	}
	t.Fatal("no contested bucket of another owner")
	return nil, nil, 0
}

func requireLate(t *testing.T, d Decision) {
	t.Helper()
	require.Equal(t, drop(ReasonLateOpening), d)
}

// Guards against a flow that the owner places a second time because another entry relays a copy of its opening
// packet late.
func TestLateOpeningPacketIsNotRelayed(t *testing.T) {
	t.Parallel()
	t.Run("to the owner of a contested bucket", func(t *testing.T) {
		t.Parallel()
		n, m, flow := newContestedNetwork(t)
		require.Equal(t, ActionRelay, m.Decide(n.now, Packet{Flow: flow, Flags: FlagSYN, Waited: maxOpeningWait - 1}).Action)
		requireLate(t, m.Decide(n.now, Packet{Flow: flow, Flags: FlagSYN, Waited: maxOpeningWait}))
		require.Equal(t, ActionRelay, m.Decide(n.now, Packet{Flow: flow, Waited: time.Second}).Action, "a packet of an open flow")
	})
	t.Run("after a pause", func(t *testing.T) {
		t.Parallel()
		n := newNetwork(1, 8)
		n.run(5 * time.Second)
		m, resumed := n.nodes[0].machine, n.now.Add(2*time.Second)
		requireLate(t, m.Decide(resumed, Packet{Flow: 1, Flags: FlagSYN, Waited: 2 * time.Second}))
		require.Equal(t, ActionRelay, m.Decide(resumed, Packet{Flow: 1, Flags: FlagSYN}).Action)
	})
	t.Run("as a query to the owner", func(t *testing.T) {
		t.Parallel()
		n, m, flow := newContestedNetwork(t)
		relayed := Packet{Flow: flow, Flags: FlagSYN, RelayedBy: HashEntry("entry-1"), Waited: maxOpeningWait}
		requireLate(t, m.Decide(n.now, relayed))
		relayed.Waited = 0
		require.Equal(t, ActionHold, m.Decide(n.now, relayed).Action)
	})
}

// Guards against a copy of an opening packet that is taken for a new flow on a port used again, after the
// backend server of its flow has begun to drain.
func TestCopyOfOpeningPacketStartsNoFlow(t *testing.T) {
	t.Parallel()
	const sequence = 7
	openAndDrain := func(t *testing.T, then Flags) (*network, *Machine, announcer.ID, Packet) {
		t.Helper()
		n, m := newSingleEntry()
		opening := Packet{Flow: 12345<<32 | 77, Flags: FlagSYN, Sequence: sequence}
		id := m.GetBackend(m.Decide(n.now, opening).Backend).ID
		m.Decide(n.now, Packet{Flow: opening.Flow, Flags: then, Sequence: sequence + 1})
		record := n.records[id]
		record.State, record.Sequence = announcer.StateDraining, record.Sequence+1
		n.receiveRecord(n.nodes[0], record)
		return n, m, id, opening
	}
	for name, then := range map[string]Flags{"of an open flow": 0, "of a closed flow": FlagFIN} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, m, id, opening := openAndDrain(t, then)
			for range 2 {
				require.Equal(t, id, m.GetBackend(m.Decide(n.now, opening).Backend).ID)
				n.run(10 * time.Second)
			}
			require.Zero(t, m.ContestedBuckets(services[0]))
			require.Equal(t, id, m.GetBackend(m.Decide(n.now, opening).Backend).ID, "after the drain has settled")
		})
	}
	t.Run("but a new flow does", func(t *testing.T) {
		t.Parallel()
		n, m, id, opening := openAndDrain(t, FlagFIN)
		opening.Sequence++
		d := m.Decide(n.now, opening)
		require.Equal(t, ActionForward, d.Action)
		require.NotEqual(t, id, m.GetBackend(d.Backend).ID)
		require.Equal(t, d, m.Decide(n.now, opening), "a copy of the new opening packet")
	})
	t.Run("nor does a late one of unknown origin", func(t *testing.T) {
		t.Parallel()
		n, m, _, opening := openAndDrain(t, FlagFIN)
		opening.Sequence, opening.Waited = sequence+1, maxOpeningWait
		requireLate(t, m.Decide(n.now, opening))
	})
}
