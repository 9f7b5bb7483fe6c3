package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Guards against too many flows to the backend servers of a data centre that is brought back: they
// have turned cold meanwhile, and entries learn that only with their next announcements.
func TestReturnedDataCentreIsColdUntilAnnounced(t *testing.T) {
	t.Parallel()
	d := declaration(1, route(routeA, "orders"), route(routeB, "manifests"))
	d.Declaration.Services[0].ColdRate, d.Declaration.Services[0].ColdStart = 2, 2*time.Second
	d.Declaration.Services[1].ColdStart = 2 * time.Second
	manifests := announce("h2", addressB, 100, 1, false)
	manifests.Announcements[0].Server.Service = "manifests"
	l := newCommandLog(t)
	l.mustApply(d)
	l.mustApply(announce("h1", addressA, 100, 1, false))
	l.mustApply(manifests)
	l.mustApply(TakeOut{DataCentre: "a", TakenOut: true})
	l.mustApply(TakeOut{DataCentre: "a", TakenOut: false})
	servers := l.machine.Servers()
	require.Equal(t, 2*time.Second, servers[0].ColdStart)
	require.False(t, servers[1].IsCold(), "a service without a limit for cold backend servers")
	changes, _, _ := l.machine.ChangesSince(l.index - 1)
	require.IsType(t, director.DataCentreChanged{}, changes[len(changes)-1], "back before its backend servers are cold")
	l.mustApply(announce("h1", addressA, 100, 2, false))
	require.False(t, l.machine.Servers()[0].IsCold())
	require.Equal(t, director.StateReady, l.machine.Servers()[0].State)
}
