package dialer_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/demo/modules/framer"
	"github.com/redwingledge/redwingledge/demo/services/dialer"
	"github.com/redwingledge/redwingledge/demo/services/responder"
)

// loopback delivers packets of the caller to the target and answers of the target to the
// caller, as a load balancer without faults does.
type loopback struct {
	target  *responder.Server
	backend netip.AddrPort
	service netip.AddrPort
	caller  *dialer.Caller
}

func (w *loopback) Send(segment framer.Segment) error {
	if segment.Source == w.backend {
		segment.Source = w.service
		w.caller.Receive(segment)
		return nil
	}
	segment.Destination = w.backend
	w.target.Receive(segment)
	return nil
}

// Checks that the simulated caller detects a flow that moved to a backend server which does not
// know it and resets it. This is the failure that all flow tests look for.
func TestFlowDetectsReset(t *testing.T) {
	t.Parallel()
	w := &loopback{backend: netip.MustParseAddrPort("10.0.0.1:80"), service: netip.MustParseAddrPort("192.0.2.1:80")}
	w.caller = dialer.NewCaller(w)
	w.target = responder.NewServer("s", "host-1", w.backend, w)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	flow, err := w.caller.Dial(ctx, true, netip.MustParseAddrPort("203.0.113.1:999"), w.service, "s")
	require.NoError(t, err)
	require.NoError(t, flow.Request(ctx))
	require.Equal(t, "host-1", flow.Host())

	w.target = responder.NewServer("s", "host-2", w.backend, w)
	var broken dialer.ErrFlowBroken
	require.True(t, errors.As(flow.Request(ctx), &broken))
	require.Equal(t, "reset", broken.Reason)
}

// Checks that the simulated caller detects answers of another backend server or service.
func TestFlowDetectsMove(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ service, host, want string }{
		{"s", "host-2", "moved from host-1 to host-2"},
		{"other", "host-1", "answered by service other"},
	} {
		w := &loopback{backend: netip.MustParseAddrPort("10.0.0.1:80"), service: netip.MustParseAddrPort("192.0.2.1:80")}
		w.caller = dialer.NewCaller(w)
		w.target = responder.NewServer("s", "host-1", w.backend, w)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		flow, err := w.caller.Dial(ctx, false, netip.MustParseAddrPort("203.0.113.1:999"), w.service, "s")
		require.NoError(t, err)
		require.NoError(t, flow.Request(ctx))
		w.target = responder.NewServer(c.service, c.host, w.backend, w)
		require.ErrorContains(t, flow.Request(ctx), c.want)
	}
}
