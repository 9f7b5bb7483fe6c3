package communicator_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/routers/communicator"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Guards against a backend server that impersonates an entry: its certificate may come
// from the same authority.
func TestOnlyEntriesDeliver(t *testing.T) {
	t.Parallel()
	issuer := newAuthority(t)
	addr := reservertest.Address(t)
	control, current := startControl(t, issuer.config(t, "control-0"))
	service := communicator.New(communicator.Options{
		Name: "entry-0", DataCentre: "dc-0", Region: "north", Control: []netip.AddrPort{control}, TLS: issuer.config(t, "entry-0"), Timer: timer.NewSystem(),
		Counters: reporter.NewCounters(), Logger: log.Discard(),
	})
	serve(t, addr, issuer.config(t, "entry-0"), service.GRPCService())
	service.Start(addr)
	t.Cleanup(service.Stop)
	deliver := func(certificate, from string) codes.Code {
		pool := transporter.NewPool(issuer.config(t, certificate))
		defer pool.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		env := messenger.Envelope{From: from, Incarnation: 1, Messages: []messenger.Message{messenger.ProbeAck{Sequence: 1}}}
		_, err := transporter.Call[messenger.Envelope, messenger.DeliverResponse](ctx, pool, addr, messenger.DeliverMethod, &env)
		return status.Code(err)
	}
	require.Equal(t, codes.OK, deliver("entry-1", "entry-1"))
	require.Equal(t, codes.PermissionDenied, deliver("host-1", "entry-1"))
	require.Equal(t, codes.InvalidArgument, deliver("entry-1", ""))

	current.Store(&cataloger.Catalog{Version: 1, Entries: []cataloger.Member{{Name: "entry-0"}, {Name: "entry-1"}}})
	require.Eventually(t, func() bool { return service.View().Catalog != nil }, 10*time.Second, 20*time.Millisecond)
	require.Equal(t, codes.OK, deliver("entry-1", "entry-1"))
	require.Equal(t, codes.PermissionDenied, deliver("host-1", "host-1"))
}
