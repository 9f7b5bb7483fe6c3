package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

// endFlows ends the flows of openFlowsWithRequests.
func endFlows(b *balancer.Balancer, n int, at time.Time) {
	for i := range n {
		b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, IsReset: true, Token: 1}, at)
	}
}

// Guards against requests of this entry that count as those of others once an exchange has failed.
func TestFailedExchangeKeepsOwnRequestsApart(t *testing.T) {
	t.Parallel()
	b := newLimitingBalancer(t)
	openFlowsWithRequests(b, 5, start)
	own := loadsharer.Summary{Entries: 1, Load: loadsharer.Load{Groups: b.LoadReport(false, start).Groups}}
	b.SetSharedLoad(own, start)
	endFlows(b, 5, start.Add(time.Millisecond))
	b.LoadReport(false, start.Add(500*time.Millisecond))
	forwarded, _ := openFlows(b, 100, 20, start.Add(501*time.Millisecond))
	require.Equal(t, map[string]int{"a": 20}, forwarded)
}

// Guards against a share that grows in a burst, because arrivals at this entry are newer than those at all.
func TestShareIgnoresLaterArrivals(t *testing.T) {
	t.Parallel()
	b := newLimitingBalancer(t)
	openFlowsWithRequests(b, 10, start)
	openFlows(b, 10, 1, start.Add(260*time.Millisecond))
	b.LoadReport(false, start.Add(260*time.Millisecond))
	b.SetSharedLoad(summary(50), start.Add(300*time.Millisecond))
	_, refused := openFlows(b, 100, 400, start.Add(301*time.Millisecond))
	require.Equal(t, map[string]int{"over_capacity": 400}, refused)
}

// Guards against new flows that are not limited because the service chosen for them has no backend server.
func TestOtherServiceOfRouteIsLimited(t *testing.T) {
	t.Parallel()
	b := newLimitingBalancer(t)
	shares := []director.Share{{Service: "gone", Weight: 1000}, {Service: "orders", Weight: 1}}
	b.Update(2, []director.Change{director.RouteChanged{Route: director.Route{Address: route, Shares: shares}}}, false, start)
	openFlowsWithRequests(b, 300, start)
	openFlows(b, 300, 1, start.Add(260*time.Millisecond))
	b.SetSharedLoad(summary(50), start.Add(300*time.Millisecond))
	_, refused := openFlows(b, 900, 20, start.Add(301*time.Millisecond))
	require.Equal(t, map[string]int{"over_capacity": 20}, refused)
}

// Guards against services that were removed and remain in reports, which name 64 services at most.
func TestReportLeavesOutFormerServices(t *testing.T) {
	t.Parallel()
	b := newLimitingBalancer(t)
	for i := range 100 {
		name := fmt.Sprintf("service-%d", i)
		b.Update(uint64(2+i), []director.Change{director.ServerChanged{Server: server(100, name, "a")}}, false, start)
	}
	b.Update(200, []director.Change{director.ServerRemoved{Token: 100}}, false, start)
	require.Empty(t, b.LoadReport(false, start).Arrivals)
}

// Guards against a service that is slower than the least expiry and whose requests never count until they are
// answered, because each expires before its response time is known.
func TestRequestsOfSlowServiceCount(t *testing.T) {
	t.Parallel()
	b := newLimitingBalancer(t)
	var inProgress []loadsharer.GroupLoad
	now := start
	for i := range 3 {
		token := b.Decide(opening(callerAddress(i), 0), now).Server.Token
		p := balancer.Packet{Source: callerAddress(i), Destination: route, Token: token, HasData: true, Acknowledged: 1}
		b.Decide(p, now)
		for range 3 {
			now = now.Add(490 * time.Millisecond)
			inProgress = b.LoadReport(false, now).Groups
		}
		p.Acknowledged, p.HasData = 2, false
		b.Decide(p, now)
	}
	require.Len(t, inProgress, 1)
}

// Guards against figures of backend servers that keep their weight although none follow.
func TestServerFiguresLoseWeight(t *testing.T) {
	t.Parallel()
	changes := []director.Change{routeToOrders(), director.VersionChanged{Version: 1}}
	for token := range director.Token(4) {
		changes = append(changes, director.ServerChanged{Server: server(token+1, "orders", "a")})
	}
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 1000, Overload: &admitter.Settings{}}, rand.New(rand.NewPCG(1, 1)))
	b.Update(1, changes, true, start)
	b.SetSharedLoad(loadsharer.Summary{HasServers: true, Load: loadsharer.Load{Servers: []loadsharer.ServerLoad{{Token: 1, Flows: 50}}}}, start)
	now := start.Add(10 * time.Second)
	b.SetSharedLoad(loadsharer.Summary{}, now)
	first := 0
	for i := range 400 {
		v := b.Decide(opening(callerAddress(i), 0), now)
		if v.Server.Token == 1 {
			first++
		}
		b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, IsReset: true, Token: v.Server.Token}, now)
	}
	require.InDelta(t, 100, first, 35, "flows at the backend server with the old figure")
}
