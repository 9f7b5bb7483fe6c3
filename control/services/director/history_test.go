package director

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// declareRoutes declares versions of many routes. Each version moves all of them to the other of two services.
func declareRoutes(l *commandLog, count int, versions ...uint64) {
	for _, version := range versions {
		routes := make([]director.Route, 0, count)
		for i := range count {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
			routes = append(routes, route(address, []string{"orders", "manifests"}[version%2]))
		}
		l.mustApply(declaration(version, routes...))
	}
}

// Guards against answers to entries that are behind which are too large to be decoded, and against a process that ends
// for its memory: each change of a thousand routes was kept, as if it were one.
func TestHistoryOfLargeChangesIsBounded(t *testing.T) {
	t.Parallel()
	l := newCommandLog(t)
	const count = 1000
	declareRoutes(l, count, 1, 2)
	behind := l.machine.Index()
	follower := director.NewDirectory()
	for _, change := range l.machine.directory.Changes() {
		follower.Apply(change)
	}
	requireCaughtUp := func(wantComplete bool) {
		t.Helper()
		changes, reached, complete := l.machine.ChangesSince(behind)
		require.Equal(t, wantComplete, complete)
		if complete {
			follower = director.NewDirectory()
		} else {
			require.LessOrEqual(t, len(changes), maxHistoryChanges)
		}
		for _, change := range changes {
			follower.Apply(change)
		}
		require.Equal(t, l.machine.directory.Changes(), follower.Changes())
		behind = reached
	}
	declareRoutes(l, count, 3, 4, 5, 6)
	requireCaughtUp(false)
	for version := uint64(7); version < 20; version++ {
		declareRoutes(l, count, version)
	}
	requireCaughtUp(true)
	total := 0
	for _, set := range l.machine.history {
		total += len(set.changes)
	}
	require.LessOrEqual(t, total, maxHistoryChanges)
	declareRoutes(l, maxHistoryChanges+1, 20)
	requireCaughtUp(true)
	declareRoutes(l, 10, 21)
	requireCaughtUp(true)
}
