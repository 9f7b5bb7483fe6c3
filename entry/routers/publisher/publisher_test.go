package publisher_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/viewer"
	"github.com/redwingledge/redwingledge/entry/routers/publisher"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/watcher"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// gateway watches the view of an entry as a gateway does.
type gateway struct {
	t       *testing.T
	pool    *transporter.Pool
	addr    netip.AddrPort
	request watcher.Request
	records map[announcer.ID]announcer.Record
	members []cataloger.Member
}

func startEntry(t *testing.T, builder *viewer.Builder, process uint64) netip.AddrPort {
	t.Helper()
	server, err := transporter.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil,
		publisher.NewService(publisher.Options{View: builder.Get, Process: process, Counters: reporter.NewCounters()}))
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(server.Stop)
	return netip.MustParseAddrPort(server.Addr())
}

func (g *gateway) watch(wait time.Duration) *watcher.Response {
	g.t.Helper()
	g.request.Wait = wait
	answer, err := transporter.Call[watcher.Request, watcher.Response](g.t.Context(), g.pool, g.addr, watcher.Method, &g.request)
	require.NoError(g.t, err)
	g.request.Known = answer.Position
	if answer.Catalog != nil {
		g.request.CatalogVersion = answer.Catalog.Version
	}
	if answer.AllRecords {
		clear(g.records)
	}
	for _, r := range answer.Records {
		g.records[r.ID] = r
	}
	for _, id := range answer.Removed {
		delete(g.records, id)
	}
	if answer.MembersChanged {
		g.members = answer.Members
	}
	return answer
}

func record(i int, sequence uint64) announcer.Record {
	return announcer.Record{Announcement: announcer.Announcement{ID: announcer.ID{Service: "s", Host: fmt.Sprintf("host-%04d", i)}, Sequence: sequence}}
}

// Guards against a gateway that misses changes or removals, including after it fell
// behind and after the entry was restarted.
func TestWatchFollowsTheView(t *testing.T) {
	t.Parallel()
	builder := viewer.NewBuilder()
	g := &gateway{t: t, pool: transporter.NewPool(nil), addr: startEntry(t, builder, 1), records: make(map[announcer.ID]announcer.Record)}
	defer g.pool.Close()
	requireSameView := func() {
		t.Helper()
		want := builder.Get()
		require.Len(t, g.records, len(want.Records))
		for _, r := range want.Records {
			require.Equal(t, r.Record, g.records[r.ID])
		}
		require.Len(t, g.members, len(want.Members))
	}
	builder.SetMembers([]messenger.Member{{Name: "e1", DataCentre: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
	builder.SetRecord(record(1, 1))
	builder.SetCatalog(&cataloger.Catalog{Version: 4})
	builder.Publish()
	require.NotNil(t, g.watch(time.Minute).Catalog)
	requireSameView()
	empty := g.watch(10 * time.Millisecond)
	require.Nil(t, empty.Catalog)
	require.False(t, empty.AllRecords || empty.MembersChanged || len(empty.Records) > 0)

	go func() {
		time.Sleep(20 * time.Millisecond)
		builder.SetRecord(record(2, 1))
		builder.RemoveRecord(record(1, 1).ID)
		builder.Publish()
	}()
	answer := g.watch(time.Minute)
	require.Len(t, answer.Records, 1)
	require.False(t, answer.AllRecords)
	requireSameView()

	builder.SetReady(true)
	builder.Publish()
	require.True(t, g.watch(time.Minute).Ready)

	for i := range 3000 {
		builder.SetRecord(record(i, 2))
		if i%100 == 0 {
			builder.Publish()
		}
		if i%2 == 0 {
			builder.RemoveRecord(record(i, 2).ID)
		}
	}
	builder.Publish()
	require.True(t, g.watch(time.Minute).AllRecords, "the view no longer remembers the removals")
	requireSameView()

	g.addr = startEntry(t, builder, 2)
	require.True(t, g.watch(time.Minute).AllRecords, "a position is valid for one process only")
	requireSameView()
}
