package flowkeeper_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/services/flowkeeper"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
)

var start = time.Unix(1_000_000, 0)

// flows returns flows from different ports, which the backend server of token holds.
func flows(first, count int, token director.Token) []flowsharer.HeldFlow {
	held := make([]flowsharer.HeldFlow, 0, count)
	for i := range count {
		source := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(first+i))
		held = append(held, flowsharer.HeldFlow{Source: source, Destination: netip.MustParseAddrPort("198.18.0.1:443"), Token: token})
	}
	return held
}

// requireSince checks the flows after a position and returns the position that is reached.
func requireSince(t *testing.T, k *flowkeeper.Keeper, after flowsharer.Position, onlyPublished bool, expected []flowsharer.HeldFlow) flowsharer.Position {
	t.Helper()
	response, _ := k.Since(flowsharer.WatchRequest{After: after, OnlyPublished: onlyPublished}, start)
	require.Equal(t, expected, response.Flows)
	return response.UpTo
}

// Guards against flows that an entry or another replica misses or gets again and again.
func TestFlowsAreReadInOrder(t *testing.T) {
	t.Parallel()
	k := flowkeeper.New(7)
	k.Add(flows(1, 2, 5), true, start)
	k.Add(flows(3, 1, 5), false, start)
	reached := requireSince(t, k, flowsharer.Position{}, false, flows(1, 3, 5))
	requireSince(t, k, flowsharer.Position{}, true, flows(1, 2, 5))
	requireSince(t, k, reached, false, nil)
	requireSince(t, k, flowsharer.Position{Epoch: 6, Sequence: 100}, false, flows(1, 3, 5))

	_, changed := k.Since(flowsharer.WatchRequest{After: reached}, start)
	k.Add(flows(1, 3, 5), false, start)
	requireSince(t, k, reached, false, nil)
	k.Add(flows(2, 1, 9), true, start)
	<-changed
	requireSince(t, k, reached, false, flows(2, 1, 9))
	require.Equal(t, 3, k.Len())

	k.Add(flows(3, 1, 5), true, start)
	requireSince(t, k, flowsharer.Position{}, true, append(flows(1, 1, 5), append(flows(2, 1, 9), flows(3, 1, 5)...)...))
}

// Guards against a message that its receiver refuses, and against memory that grows.
func TestFlowsAreBounded(t *testing.T) {
	t.Parallel()
	k := flowkeeper.New(7)
	for first := 0; first < 6000; first += 500 {
		k.Add(flows(first, 500, 5), true, start)
	}
	count := 0
	for reached := (flowsharer.Position{}); ; {
		response, _ := k.Since(flowsharer.WatchRequest{After: reached}, start)
		require.NoError(t, response.Check())
		if len(response.Flows) == 0 {
			break
		}
		count, reached = count+len(response.Flows), response.UpTo
	}
	require.Equal(t, 4096, count)
	require.Equal(t, 4096, k.Len())
	response, _ := k.Since(flowsharer.WatchRequest{}, start.Add(flowsharer.MaxAge+time.Second))
	require.Empty(t, response.Flows)
	require.Zero(t, k.Len())
}

// Guards against all flows in the answer to an entry that has followed another replica until a moment ago.
func TestOldFlowsOfOtherReplicaAreLeftOut(t *testing.T) {
	t.Parallel()
	k := flowkeeper.New(7)
	k.Add(flows(1, 2, 5), true, start)
	k.Add(flows(3, 1, 5), true, start.Add(10*time.Second))
	later := start.Add(11 * time.Second)
	for within, expected := range map[time.Duration][]flowsharer.HeldFlow{0: flows(1, 3, 5), 5 * time.Second: flows(3, 1, 5)} {
		response, _ := k.Since(flowsharer.WatchRequest{After: flowsharer.Position{Epoch: 6, Sequence: 9}, Within: within}, later)
		require.Equal(t, expected, response.Flows)
	}
	response, _ := k.Since(flowsharer.WatchRequest{After: flowsharer.Position{Epoch: 7}, Within: 5 * time.Second}, later)
	require.Equal(t, flows(1, 3, 5), response.Flows)
}
