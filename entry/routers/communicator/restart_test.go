package communicator_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/routers/communicator"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// startProcess runs an entry until the returned function stops it without leaving.
func startProcess(t *testing.T, i int, addr netip.AddrPort, seeds []netip.AddrPort) (*communicator.Service, func()) {
	t.Helper()
	service := communicator.New(communicator.Options{
		Name: fmt.Sprintf("entry-%d", i), DataCentre: "dc-0", Region: "north", Seeds: seeds,
		Timer: timer.NewSystem(), Counters: reporter.NewCounters(), Logger: log.Discard(), Seed: uint64(time.Now().UnixNano()),
	})
	server, err := transporter.Listen(addr, nil, service.GRPCService())
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	service.Start(addr)
	return service, func() {
		server.Stop()
		service.Stop()
	}
}

// Guards against stale connections to the previous process that keep a restarted entry
// from joining, and against a failure that is not detected over gRPC.
func TestRestartedProcessRejoins(t *testing.T) {
	t.Parallel()
	seeds := reservertest.Addresses(t, 3)
	var entries []*communicator.Service
	for i := range 2 {
		entry, kill := startProcess(t, i, seeds[i], seeds)
		t.Cleanup(kill)
		entries = append(entries, entry)
	}
	third, kill := startProcess(t, 2, seeds[2], seeds)
	eventually := func(what string, done func(*communicator.Service) bool) {
		t.Helper()
		require.Eventually(t, func() bool { return done(entries[0]) && done(entries[1]) }, 15*time.Second, 20*time.Millisecond, what)
	}
	eventually("all members", func(e *communicator.Service) bool { return len(e.View().Members) == 3 })
	former, _ := third.View().GetMember("entry-2")
	kill()
	eventually("death", func(e *communicator.Service) bool { return len(e.View().Members) == 2 })
	restarted, kill := startProcess(t, 2, seeds[2], seeds)
	t.Cleanup(kill)
	eventually("return", func(e *communicator.Service) bool {
		m, live := e.View().GetMember("entry-2")
		return live && m.Incarnation > former.Incarnation
	})
	require.Eventually(t, func() bool { return len(restarted.View().Members) == 3 }, 5*time.Second, 20*time.Millisecond)
	require.True(t, entries[0].Send("entry-2"))
	require.False(t, entries[0].Send("entry-9"))
}
