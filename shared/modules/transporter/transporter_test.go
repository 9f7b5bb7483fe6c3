package transporter_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

type greeting struct {
	Name string         `cbor:"name"`
	From netip.AddrPort `cbor:"from"`
}

// Guards against fields that the codec does not encode, such as addresses.
func TestCallCarriesAllFields(t *testing.T) {
	t.Parallel()
	service := transporter.NewService("test.Greeter")
	transporter.Handle(service, "Greet", func(_ context.Context, req *greeting) (*greeting, error) {
		return &greeting{Name: "hello " + req.Name, From: req.From}, nil
	})
	server, err := transporter.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, service)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	defer server.Stop()

	pool := transporter.NewPool(nil)
	defer pool.Close()
	from := netip.MustParseAddrPort("[2001:db8::1]:80")
	resp, err := transporter.Call[greeting, greeting](t.Context(), pool, netip.MustParseAddrPort(server.Addr()),
		"/test.Greeter/Greet", &greeting{Name: "a", From: from})
	require.NoError(t, err)
	require.Equal(t, greeting{Name: "hello a", From: from}, *resp)
}

// Guards against a panic in one call that ends the process and so all other calls.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	t.Parallel()
	service := transporter.NewService("test.Greeter")
	transporter.Handle(service, "Greet", func(_ context.Context, req *greeting) (*greeting, error) {
		if req.Name == "" {
			panic("no name")
		}
		return req, nil
	})
	server, err := transporter.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, service)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	defer server.Stop()
	pool := transporter.NewPool(nil)
	defer pool.Close()
	greet := func(name string) error {
		_, err := transporter.Call[greeting, greeting](t.Context(), pool, netip.MustParseAddrPort(server.Addr()), "/test.Greeter/Greet", &greeting{Name: name})
		return err
	}
	require.Equal(t, codes.Internal, status.Code(greet("")))
	require.NoError(t, greet("a"))
}

// Guards against traffic that only one side counts. The bytes that one process sends are
// those that the other receives.
func TestTrafficCountsBothSides(t *testing.T) {
	t.Parallel()
	service := transporter.NewService("test.Greeter")
	transporter.Handle(service, "Greet", func(_ context.Context, req *greeting) (*greeting, error) { return req, nil })
	serving, calling := reporter.NewCounters(), reporter.NewCounters()
	server, err := transporter.ListenWithTraffic(netip.MustParseAddrPort("127.0.0.1:0"), nil, transporter.NewTraffic(serving), service)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	defer server.Stop()
	pool := transporter.NewPool(nil, transporter.WithTraffic(transporter.NewTraffic(calling)))
	defer pool.Close()
	const size, calls = 5000, 10
	for range calls {
		_, err := transporter.Call[greeting, greeting](t.Context(), pool, netip.MustParseAddrPort(server.Addr()), "/test.Greeter/Greet", &greeting{Name: strings.Repeat("a", size)})
		require.NoError(t, err)
	}
	for name, counters := range map[string]*reporter.Counters{"serving": serving, "calling": calling} {
		for _, direction := range []string{"control_bytes_sent", "control_bytes_received"} {
			bytes := counters.Int(direction).Value()
			require.GreaterOrEqual(t, bytes, int64(size*calls), "%s %s", name, direction)
			require.LessOrEqual(t, bytes, int64((size+300)*calls), "%s %s", name, direction)
		}
	}
}
