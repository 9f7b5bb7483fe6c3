package watcher_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/services/watcher"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	messages "github.com/redwingledge/redwingledge/shared/models/watcher"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// startEntry starts an entry that serves the answers in turn, and then blocks until the caller
// cancels.
func startEntry(t *testing.T, answers ...messages.Response) netip.AddrPort {
	t.Helper()
	service := transporter.NewService(messages.Service)
	transporter.Handle(service, "Watch", func(ctx context.Context, _ *messages.Request) (*messages.Response, error) {
		if len(answers) == 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		answer := answers[0]
		answers = answers[1:]
		return &answer, nil
	})
	server, err := transporter.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, service)
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(server.Addr())
}

func record(host string, incarnation uint64) announcer.Record {
	return announcer.Record{Announcement: announcer.Announcement{
		ID: announcer.ID{Service: "orders", Host: host}, DataCentre: "a", Incarnation: incarnation, State: announcer.StateReady,
	}}
}

// Guards against a view that reverts when an entry with an older state answers, against
// gateways of other regions in the view, and against removals that are not applied.
func TestEntrySourceNeverReverts(t *testing.T) {
	t.Parallel()
	catalog := func(version uint64) *cataloger.Catalog {
		return &cataloger.Catalog{
			Version:     version,
			DataCentres: []cataloger.DataCentre{{Name: "a", Region: "north"}, {Name: "z", Region: "south"}},
			Services:    []cataloger.Service{{Name: "orders", Kind: cataloger.KindRequest}, {Name: "flows", Kind: cataloger.KindFlow}},
			Gateways:    []cataloger.Member{{Name: "g1", DataCentre: "a"}, {Name: "g2", DataCentre: "z"}},
		}
	}
	newer := startEntry(t,
		messages.Response{Catalog: catalog(5), AllRecords: true, Records: []announcer.Record{record("h1", 3), record("h2", 1)}},
		messages.Response{},
		messages.Response{Removed: []announcer.ID{{Service: "orders", Host: "h2"}}},
		messages.Response{Catalog: catalog(4), AllRecords: true, Records: []announcer.Record{record("h1", 2), record("h3", 1)}},
	)
	pool := transporter.NewPool(nil)
	defer pool.Close()
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	source := watcher.NewEntrySource("g1", []netip.AddrPort{unreachable, newer}, pool)

	_, err := source.Watch(t.Context(), 0)
	require.Error(t, err, "the first entry does not answer")
	view, err := source.Watch(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, []string{"orders"}, view.Services)
	require.Len(t, view.Gateways, 1)
	require.Len(t, view.Backends, 2)
	view, err = source.Watch(t.Context(), view.Version)
	require.NoError(t, err)
	require.Len(t, view.Backends, 1)
	view, err = source.Watch(t.Context(), view.Version)
	require.NoError(t, err)
	require.EqualValues(t, 3, view.Backends[0].Incarnation)
	require.Equal(t, "h3", view.Backends[1].Host)
}
