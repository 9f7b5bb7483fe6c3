package communicator_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// countBytes starts a proxy that forwards connections to target and counts the bytes of
// both directions.
func countBytes(t *testing.T, target netip.AddrPort) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	var bytes atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	forward := func(to, from net.Conn) {
		_, _ = io.Copy(to, io.TeeReader(from, countingWriter{&bytes}))
		_ = to.Close()
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = in.Close()
				return
			}
			go forward(in, out)
			go forward(out, in)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), &bytes
}

type countingWriter struct{ bytes *atomic.Int64 }

func (w countingWriter) Write(p []byte) (int, error) {
	w.bytes.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a gossip budget that underestimates the cost of a message: the bytes
// that a call adds to its body in both TCP streams must not exceed MessageOverhead.
func TestMessageOverhead(t *testing.T) {
	t.Parallel()
	service := transporter.NewService(messenger.PeerService)
	transporter.Handle(service, "Deliver", func(context.Context, *messenger.Envelope) (*messenger.DeliverResponse, error) {
		return &messenger.DeliverResponse{}, nil
	})
	config := newAuthority(t).config(t, "entry-001")
	target := reservertest.Address(t)
	serve(t, target, config, service)
	proxy, bytes := countBytes(t, target)
	pool := transporter.NewPool(config)
	defer pool.Close()
	env := messenger.Envelope{From: "entry-001", Incarnation: 1_700_000_000_000, Messages: []messenger.Message{
		messenger.Probe{Sequence: 1000, Address: target}, messenger.Rumours{Version: 12, AgeSeconds: 3},
	}}
	body, err := cbor.Marshal(env)
	require.NoError(t, err)
	call := func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := transporter.Call[messenger.Envelope, messenger.DeliverResponse](ctx, pool, proxy, messenger.DeliverMethod, &env)
		require.NoError(t, err)
	}
	for range 10 {
		call()
	}
	const calls = 100
	before := bytes.Load()
	for range calls {
		call()
	}
	overhead := float64(bytes.Load()-before)/calls - float64(len(body))
	t.Logf("body %d bytes, overhead %.0f bytes", len(body), overhead)
	require.LessOrEqual(t, overhead, float64(gossiper.MessageOverhead))
}
