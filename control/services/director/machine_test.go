package director

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

var (
	addressA = netip.MustParseAddrPort("10.0.0.1:80")
	addressB = netip.MustParseAddrPort("10.0.0.2:80")
	routeA   = netip.MustParseAddrPort("198.18.0.1:443")
	routeB   = netip.MustParseAddrPort("198.18.0.2:443")
)

// commandLog applies commands to a Machine in the order of the log.
type commandLog struct {
	t       *testing.T
	machine *Machine
	index   uint64
}

func newCommandLog(t *testing.T) *commandLog { return &commandLog{t: t, machine: NewMachine()} }

func (l *commandLog) apply(command Command) error {
	l.t.Helper()
	data, err := Encode(command)
	require.NoError(l.t, err)
	l.index++
	_, err = l.machine.Apply(l.index, data)
	return err
}

func (l *commandLog) mustApply(command Command) {
	l.t.Helper()
	require.NoError(l.t, l.apply(command))
}

func announce(host string, address netip.AddrPort, incarnation, sequence uint64, draining bool) Announce {
	return Announce{Announcements: []Announcement{{Draining: draining, Server: director.Server{
		Host: host, Service: "orders", Address: address, DataCentre: "a", Slots: 2, Incarnation: incarnation, Sequence: sequence,
	}}}}
}

func declaration(version uint64, routes ...director.Route) Declare {
	d := director.Declaration{Version: version, Services: []director.DeclaredService{{Name: "orders"}, {Name: "manifests"}}}
	for _, r := range routes {
		d.Routes = append(d.Routes, director.DeclaredRoute{Name: r.Address.String(), Timeout: time.Second, Route: r})
	}
	return Declare{Declaration: d}
}

func route(address netip.AddrPort, service string) director.Route {
	return director.Route{Address: address, Kind: director.KindSafe, Shares: []director.Share{{Service: service, Weight: 1}}}
}

func (l *commandLog) requireStates(want map[string]director.State) {
	l.t.Helper()
	got := make(map[string]director.State)
	for _, s := range l.machine.Servers() {
		got[s.Host] = s.State
	}
	require.Equal(l.t, want, got)
}

func TestAnnounce(t *testing.T) {
	t.Parallel()
	t.Run("a delayed announcement does not end a drain", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 1, false))
		l.mustApply(announce("h1", addressA, 100, 5, true))
		require.True(t, IsErrStaleAnnouncement(l.apply(announce("h1", addressA, 100, 4, false))))
		l.requireStates(map[string]director.State{"h1": director.StateDraining})
	})
	t.Run("a new start at an address supersedes the one before", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 1, false))
		l.mustApply(announce("h2", addressA, 200, 1, false))
		l.requireStates(map[string]director.State{"h1": director.StateDraining, "h2": director.StateReady})
		l.mustApply(Expire{Lapsed: []director.Token{1}})
		l.mustApply(announce("h2", addressA, 200, 2, false))
		l.requireStates(map[string]director.State{"h1": director.StateGone, "h2": director.StateReady})
	})
	t.Run("an announcement from before the new start is refused", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h2", addressA, 200, 1, false))
		require.True(t, IsErrStaleAnnouncement(l.apply(announce("h1", addressA, 100, 9, false))))
		l.requireStates(map[string]director.State{"h2": director.StateReady})
	})
	t.Run("a restart under the same name gets another token", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 50, false))
		l.mustApply(announce("h1", addressA, 200, 1, false))
		servers := l.machine.Servers()
		require.Len(t, servers, 2)
		require.Equal(t, director.StateDraining, servers[0].State)
		require.Equal(t, director.StateReady, servers[1].State)
	})
	t.Run("a delayed announcement from before a restart opens no flows and does not end the new start", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 50, false))
		l.mustApply(announce("h1", addressA, 200, 1, false))
		l.mustApply(announce("h1", addressA, 100, 60, false))
		l.requireToken(1, director.StateDraining)
		l.requireToken(2, director.StateReady)
		l.mustApply(Expire{Lapsed: []director.Token{1}})
		l.mustApply(announce("h1", addressA, 200, 2, false))
		l.mustApply(announce("h1", addressA, 200, 3, false))
		l.requireToken(1, director.StateDraining)
		l.mustApply(announce("h1", addressA, 100, 61, false))
		l.requireToken(1, director.StateDraining)
		l.requireToken(2, director.StateReady)
	})
	t.Run("a stopped backend server does not come back", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 1, false))
		l.mustApply(Withdraw{Host: "h1", Incarnation: 100})
		require.True(t, IsErrStaleAnnouncement(l.apply(announce("h1", addressA, 100, 2, false))))
	})
	t.Run("a withdrawal of an earlier start changes nothing", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 200, 1, false))
		l.mustApply(Withdraw{Host: "h1", Incarnation: 100})
		l.requireStates(map[string]director.State{"h1": director.StateReady})
	})
	t.Run("a lapsed backend server is ready again after an announcement", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 1, false))
		l.mustApply(Expire{Lapsed: []director.Token{1}})
		l.requireStates(map[string]director.State{"h1": director.StateLapsed})
		l.mustApply(announce("h1", addressA, 100, 2, false))
		l.requireStates(map[string]director.State{"h1": director.StateReady})
		require.Len(t, l.machine.Servers(), 1)
	})
	t.Run("a new cold start is recorded, its remaining time is not", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		cold := announce("h1", addressA, 100, 2, false)
		cold.Announcements[0].Server.ColdStart = 2 * time.Second
		l.mustApply(announce("h1", addressA, 100, 1, false))
		l.mustApply(cold)
		cold.Announcements[0].Server.ColdStart = time.Second
		cold.Announcements[0].Server.Sequence = 3
		l.mustApply(cold)
		require.Equal(t, 2*time.Second, l.machine.Servers()[0].ColdStart)
		l.mustApply(announce("h1", addressA, 100, 4, false))
		require.False(t, l.machine.Servers()[0].IsCold())
	})
	t.Run("tokens are never used twice", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 1, false))
		l.mustApply(Withdraw{Host: "h1", Incarnation: 100})
		l.mustApply(Expire{Forget: []director.Token{1}})
		l.mustApply(announce("h1", addressA, 200, 1, false))
		require.Equal(t, director.Token(2), l.machine.Servers()[0].Token)
	})
}

func TestDeclare(t *testing.T) {
	t.Parallel()
	t.Run("an older version, and other content with the current version, change nothing", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(declaration(7, route(routeA, "orders")))
		l.mustApply(declaration(6))
		l.mustApply(declaration(7, route(routeB, "orders")))
		require.Equal(t, uint64(7), l.machine.Declared().Version)
		require.Equal(t, routeA, l.machine.Declared().Routes[0].Route.Address)
	})
	t.Run("a route keeps the services that it named before", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(declaration(1, route(routeA, "orders")))
		l.mustApply(declaration(2, route(routeA, "manifests")))
		changes, _, _ := l.machine.ChangesSince(1)
		require.Contains(t, changes, director.RouteChanged{Route: director.Route{
			Address: routeA, Kind: director.KindSafe, Shares: []director.Share{{Service: "manifests", Weight: 1}}, FormerServices: []string{"orders"},
		}})
	})
	t.Run("only what changed is sent", func(t *testing.T) {
		t.Parallel()
		l := newCommandLog(t)
		l.mustApply(declaration(1, route(routeA, "orders"), route(routeB, "orders")))
		l.mustApply(declaration(2, route(routeA, "orders")))
		changes, index, complete := l.machine.ChangesSince(1)
		require.Equal(t, []director.Change{director.RouteRemoved{Address: routeB}, director.VersionChanged{Version: 2}}, changes)
		require.Equal(t, uint64(2), index)
		require.False(t, complete)
	})
}

// Guards against entries that miss a change or return to an older state. ChangesSince must
// lead to the same state from every index, on a running and on a restored replica.
func TestChangesSinceLeadsToTheSameState(t *testing.T) {
	t.Parallel()
	l := newCommandLog(t)
	l.mustApply(declaration(1, route(routeA, "orders")))
	l.mustApply(announce("h1", addressA, 100, 1, false))
	l.mustApply(announce("h2", addressB, 100, 1, false))
	l.mustApply(TakeOut{DataCentre: "a", TakenOut: true})
	l.mustApply(announce("h3", addressA, 300, 1, false))
	l.mustApply(declaration(2, route(routeA, "manifests"), route(routeB, "orders")))
	l.mustApply(Withdraw{Host: "h2"})
	snapshot, err := l.machine.Snapshot()
	require.NoError(t, err)
	restored := NewMachine()
	require.NoError(t, restored.Restore(snapshot))
	want, _, _ := l.machine.ChangesSince(0)
	for name, m := range map[string]*Machine{"running": l.machine, "restored": restored} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for from := range l.index + 1 {
				copied := director.NewDirectory()
				if from > 0 {
					early := newCommandLog(t)
					replay(t, early, from)
					changes, _, _ := early.machine.ChangesSince(0)
					applyAll(copied, changes)
				}
				changes, index, complete := m.ChangesSince(from)
				if complete {
					copied = director.NewDirectory()
				}
				applyAll(copied, changes)
				require.Equal(t, l.index, index)
				require.Equal(t, want, copied.Changes(), "from %d", from)
			}
		})
	}
}

// replay applies the first commands of TestChangesSinceLeadsToTheSameState.
func replay(t *testing.T, l *commandLog, count uint64) {
	t.Helper()
	commands := []Command{
		declaration(1, route(routeA, "orders")), announce("h1", addressA, 100, 1, false), announce("h2", addressB, 100, 1, false),
		TakeOut{DataCentre: "a", TakenOut: true},
		announce("h3", addressA, 300, 1, false),
		declaration(2, route(routeA, "manifests"), route(routeB, "orders")),
		Withdraw{Host: "h2"},
	}
	for _, c := range commands[:count] {
		l.mustApply(c)
	}
}

func applyAll(d *director.Directory, changes []director.Change) {
	for _, c := range changes {
		d.Apply(c)
	}
}

// Guards against an index that differs from the records, and two starts with new flows at one address.
func TestStartIndexFollowsState(t *testing.T) {
	t.Parallel()
	l := newCommandLog(t)
	l.mustApply(declaration(1, route(routeA, "orders")))
	for _, command := range []Command{
		announce("h1", addressA, 100, 1, false), announce("h2", addressB, 100, 1, false),
		announce("h1", addressB, 200, 1, false),
		Expire{Lapsed: []director.Token{3}},
		Withdraw{Host: "h1"},
		announce("h3", addressA, 300, 1, false), announce("h3", addressA, 400, 1, true),
		announce("h3", addressA, 300, 2, false), announce("h1", addressB, 200, 2, false),
		Expire{Forget: []director.Token{1, 2, 3}},
	} {
		l.mustApply(command)
		requireStartIndex(t, l.machine)
		requireStartIndex(t, l.restart().machine)
	}
}

func requireStartIndex(t *testing.T, m *Machine) {
	t.Helper()
	want := newStartIndex()
	ready := make(map[netip.AddrPort]director.Token)
	for _, s := range m.Servers() {
		want.add(s)
		if s.State == director.StateReady {
			require.Zero(t, ready[s.Address], "two backend servers at %s get new flows", s.Address)
			ready[s.Address] = s.Token
		}
	}
	require.Equal(t, want, m.starts)
	for token := range m.marks {
		_, ok := m.directory.Server(token)
		require.True(t, ok, "marks of token %d, which does not exist", token)
	}
}
