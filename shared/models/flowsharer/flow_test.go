package flowsharer_test

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/flowsharer"
)

func newFlow() flowsharer.HeldFlow {
	return flowsharer.HeldFlow{
		Source: netip.MustParseAddrPort("100.64.0.7:40001"), Destination: netip.MustParseAddrPort("198.18.0.1:443"), Token: 300, Acknowledged: 1<<32 - 1,
	}
}

// Guards against messages that lose a field, and against flows that take more of the links than the limits allow for.
func TestEncoding(t *testing.T) {
	t.Parallel()
	sent := flowsharer.WatchResponse{UpTo: flowsharer.Position{Epoch: 1 << 63, Sequence: 9}, Flows: []flowsharer.HeldFlow{newFlow()}}
	data, err := cbor.Marshal(sent)
	require.NoError(t, err)
	var received flowsharer.WatchResponse
	require.NoError(t, cbor.Unmarshal(data, &received))
	require.Equal(t, sent, received)
	flow, err := cbor.Marshal(newFlow())
	require.NoError(t, err)
	require.LessOrEqual(t, len(flow), flowsharer.FlowSize)
}

// Guards against flows that no entry can have published.
func TestInvalidFlowIsRefused(t *testing.T) {
	t.Parallel()
	require.NoError(t, flowsharer.PublishRequest{Entry: "entry-1", Flows: []flowsharer.HeldFlow{newFlow()}}.Check())
	require.ErrorIs(t, flowsharer.PublishRequest{Flows: []flowsharer.HeldFlow{newFlow()}}.Check(), flowsharer.ErrInvalid)
	require.ErrorIs(t, flowsharer.WatchResponse{Flows: make([]flowsharer.HeldFlow, flowsharer.MaxFlows+1)}.Check(), flowsharer.ErrInvalid)
	for name, change := range map[string]func(f *flowsharer.HeldFlow){
		"no source":      func(f *flowsharer.HeldFlow) { f.Source = netip.AddrPort{} },
		"no destination": func(f *flowsharer.HeldFlow) { f.Destination = netip.AddrPort{} },
		"no token":       func(f *flowsharer.HeldFlow) { f.Token = 0 },
	} {
		f := newFlow()
		change(&f)
		require.ErrorIs(t, flowsharer.WatchResponse{Flows: []flowsharer.HeldFlow{f}}.Check(), flowsharer.ErrInvalid, name)
	}
}
