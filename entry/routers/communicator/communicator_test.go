package communicator_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/routers/communicator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

func serve(t *testing.T, addr netip.AddrPort, config *tls.Config, service *transporter.Service) {
	t.Helper()
	server, err := transporter.Listen(addr, config, service)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Stop)
}

// startControl starts a fake control replica. It returns its address and the pointer
// through which a test sets the catalog that it serves.
func startControl(t *testing.T, config *tls.Config) (netip.AddrPort, *atomic.Pointer[cataloger.Catalog]) {
	t.Helper()
	var current atomic.Pointer[cataloger.Catalog]
	service := transporter.NewService("redwingledge.control.Configuration")
	transporter.Handle(service, "Fetch", func(ctx context.Context, req *cataloger.FetchRequest) (*cataloger.FetchResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, req.Wait)
		defer cancel()
		for ctx.Err() == nil {
			if c := current.Load(); c != nil && c.Version > req.Known {
				return &cataloger.FetchResponse{Catalog: c}, nil
			}
			time.Sleep(10 * time.Millisecond)
		}
		return &cataloger.FetchResponse{}, nil
	})
	addr := reservertest.Address(t)
	serve(t, addr, config, service)
	return addr, &current
}

func startEntry(t *testing.T, i int, seeds, control []netip.AddrPort) (*communicator.Service, netip.AddrPort) {
	t.Helper()
	addr := reservertest.Address(t)
	service := communicator.New(communicator.Options{
		Name: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), Region: "north", PacketAddress: addr,
		Seeds: seeds, Control: control, Timer: timer.NewSystem(), Counters: reporter.NewCounters(), Logger: log.Discard(), Seed: uint64(i),
	})
	if i == 0 {
		service.RegisterHandler(1, 49, func(string, messenger.Message) { t.Error("membership messages must not reach a registered handler") })
	}
	serve(t, addr, nil, service.GRPCService())
	service.Start(addr)
	t.Cleanup(service.Stop)
	return service, addr
}

// Guards against outputs of the state machines that are not carried out: members, records
// and the configuration must reach every process over gRPC.
func TestEntriesShareOneView(t *testing.T) {
	t.Parallel()
	control, current := startControl(t, nil)
	var entries []*communicator.Service
	var seeds []netip.AddrPort
	for i := range 6 {
		entry, addr := startEntry(t, i, seeds, []netip.AddrPort{control})
		entries, seeds = append(entries, entry), append(seeds, addr)
	}
	eventually := func(what string, done func(*communicator.Service) bool) {
		t.Helper()
		require.Eventually(t, func() bool {
			for _, e := range entries {
				if !done(e) {
					return false
				}
			}
			return true
		}, 10*time.Second, 20*time.Millisecond, what)
	}
	eventually("members", func(e *communicator.Service) bool { return len(e.View().Members) == 6 && e.View().Joined })

	current.Store(&cataloger.Catalog{Version: 3, DataCentres: []cataloger.DataCentre{{Name: "dc-0", Region: "north"}}})
	eventually("catalog", func(e *communicator.Service) bool {
		return e.View().Catalog != nil && e.View().Catalog.Version == 3 && e.View().Ready
	})
	next, err := current.Load().WithVersion(4).WithTakenOut("dc-0", true)
	require.NoError(t, err)
	current.Store(&next)
	eventually("change", func(e *communicator.Service) bool { return e.View().Catalog.IsTakenOut("dc-0") })

	a := announcer.Announcement{
		ID: announcer.ID{Service: "sack-orders", Host: "host-1"}, Address: netip.MustParseAddrPort("127.0.0.1:9"), DataCentre: "dc-1",
		Slots: 2, Connections: 2000, Incarnation: 1, Sequence: 1, State: announcer.StateReady,
	}
	answer, err := entries[2].Announce(t.Context(), a)
	require.NoError(t, err)
	require.False(t, answer.Stale)
	eventually("record", func(e *communicator.Service) bool {
		return len(e.View().Records) == 1 && e.View().Records[0].Announcement == a
	})

	entries[5].Leave(t.Context())
	entries = entries[:5]
	eventually("departure", func(e *communicator.Service) bool { return len(e.View().Members) == 5 })
}
