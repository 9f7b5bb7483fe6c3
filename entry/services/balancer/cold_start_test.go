package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Many callers open flows at all entries while the only backend server is in its cold start. All
// entries together must stay below its rate in every second, although they learn of it at different
// times and one is not enlisted.
func TestEntriesKeepColdStartRate(t *testing.T) {
	t.Parallel()
	const entries, rate, tolerance = 8, 20.0, 5.0
	cold := server(1, "orders", "a")
	cold.ColdStart = 10 * time.Second
	changes := []director.Change{
		routeToOrders(), director.VersionChanged{Version: 1}, director.ServiceChanged{Name: "orders", ColdRate: rate}, director.ServerChanged{Server: cold},
	}
	for i := range entries - 1 {
		changes = append(changes, director.EntryAdded{Name: fmt.Sprint("entry-", i)})
	}
	var balancers []*balancer.Balancer
	for i := range entries {
		b := balancer.New(balancer.Settings{Name: fmt.Sprint("entry-", i), DataCentre: "a", MaxFlows: 10_000}, rand.New(rand.NewPCG(1, uint64(i))))
		b.Update(1, changes, true, start.Add(time.Duration(i*13)*time.Millisecond))
		balancers = append(balancers, b)
	}
	var opened []time.Time
	port := 0
	for now := start.Add(time.Second); now.Before(start.Add(9 * time.Second)); now = now.Add(2 * time.Millisecond) {
		port++
		v := balancers[port%entries].Decide(opening(callerAddress(port), 0), now)
		if v.Action == balancer.ActionForward {
			require.NotEqual(t, entries-1, port%entries, "an entry that is not enlisted opened a flow")
			opened = append(opened, now)
		} else {
			require.Equal(t, balancer.ActionReset, v.Action, "a refused flow must be reset")
		}
	}
	for i, first := range opened {
		count := 0
		for _, at := range opened[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), rate+tolerance)
	}
	require.Greater(t, float64(len(opened)), 0.7*rate*8, "flows opened in 8 s")

	warm := cold
	warm.ColdStart = 0
	balancers[0].Update(2, []director.Change{director.ServerChanged{Server: warm}}, false, start.Add(10*time.Second))
	for i := range 100 {
		requireForwarded(t, balancers[0].Decide(opening(callerAddress(20_000+i), 0), start.Add(10*time.Second)), 1)
	}
}
