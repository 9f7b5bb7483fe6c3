package balancer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

// newLimitingBalancer returns an entry in data centre a that limits new flows, with two backend servers of
// two slots in each of the data centres a (tokens 1 and 2) and b.
func newLimitingBalancer(t *testing.T) *balancer.Balancer {
	t.Helper()
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 1000, Overload: &admitter.Settings{}}, rand.New(rand.NewPCG(1, 1)))
	changes := []director.Change{routeToOrders(), director.VersionChanged{Version: 1}}
	for token, dataCentre := range map[director.Token]string{1: "a", 2: "a", 3: "b", 4: "b"} {
		changes = append(changes, director.ServerChanged{Server: server(token, "orders", dataCentre)})
	}
	b.Update(1, changes, true, start)
	return b
}

// summary returns shared figures with 50 requests in progress in data centre a and others in b.
func summary(inB uint32) loadsharer.Summary {
	return loadsharer.Summary{Entries: 10, Load: loadsharer.Load{
		Groups: []loadsharer.GroupLoad{
			{Service: "orders", DataCentre: "a", Requests: 50},
			{Service: "orders", DataCentre: "b", Requests: inB},
			{Service: "unknown", DataCentre: "c", Requests: 7},
		},
		Arrivals: []loadsharer.ServiceArrivals{{Service: "orders", PerSecond: 100}},
	}}
}

// openFlows opens n flows, one a millisecond, and returns how many were forwarded to each data centre and how
// many were refused for each reason.
func openFlows(b *balancer.Balancer, first, n int, from time.Time) (forwarded, refused map[string]int) {
	forwarded, refused = make(map[string]int), make(map[string]int)
	for i := range n {
		v := b.Decide(opening(callerAddress(first+i), 0), from.Add(time.Duration(i)*time.Millisecond))
		if v.Action == balancer.ActionForward {
			forwarded[v.Server.DataCentre]++
		} else {
			refused[v.Reason.String()]++
		}
	}
	return forwarded, refused
}

// openFlowsWithRequests opens n flows at one moment and sends a request on each.
func openFlowsWithRequests(b *balancer.Balancer, n int, at time.Time) {
	for i := range n {
		token := b.Decide(opening(callerAddress(i), 0), at).Server.Token
		b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, Token: token, HasData: true, Acknowledged: 1}, at)
	}
}

// Guards against new flows that wait for slots which are all in use, against refusals while a slot is free
// or by figures that are too old, and against resets of copies and open flows.
func TestOverCapacity(t *testing.T) {
	t.Parallel()
	later := start.Add(time.Second)
	t.Run("flows are refused once the share of the entry is used", func(t *testing.T) {
		t.Parallel()
		b := newLimitingBalancer(t)
		openFlowsWithRequests(b, 300, start)
		openFlows(b, 300, 1, start.Add(260*time.Millisecond))
		b.SetSharedLoad(summary(50), start.Add(300*time.Millisecond))
		requireRefused(t, b.Decide(opening(callerAddress(900), 0), start.Add(301*time.Millisecond)), balancer.ActionReset, balancer.ReasonOverCapacity)
		requireRefused(t, b.Decide(opening(callerAddress(901), 1), start.Add(301*time.Millisecond)), balancer.ActionDrop, balancer.ReasonOverCapacity)
		data := balancer.Packet{Source: callerAddress(1), Destination: route, Token: 1, HasData: true, Acknowledged: 5}
		require.Equal(t, balancer.ActionForward, b.Decide(data, start.Add(302*time.Millisecond)).Action)
	})
	t.Run("a free slot in another data centre takes them", func(t *testing.T) {
		t.Parallel()
		b := newLimitingBalancer(t)
		openFlows(b, 0, 1, start)
		b.SetSharedLoad(summary(0), later)
		forwarded, refused := openFlows(b, 1, 4, later)
		require.Empty(t, refused)
		require.GreaterOrEqual(t, forwarded["b"], 3)
	})
	t.Run("old figures change nothing", func(t *testing.T) {
		t.Parallel()
		b := newLimitingBalancer(t)
		b.SetSharedLoad(summary(50), start)
		_, refused := openFlows(b, 0, 300, start.Add(2100*time.Millisecond))
		require.Empty(t, refused)
	})
	t.Run("without the setting nothing is refused", func(t *testing.T) {
		t.Parallel()
		b := newBalancer(t, director.ServerChanged{Server: server(1, "orders", "a")})
		b.SetSharedLoad(summary(50), start)
		_, refused := openFlows(b, 0, 300, start)
		require.Empty(t, refused)
	})
}

// Guards against requests that callers have given up and that count as load for as long as their flow is
// remembered.
func TestRequestsExpire(t *testing.T) {
	t.Parallel()
	b := newLimitingBalancer(t)
	openFlowsWithRequests(b, 10, start)
	require.NotEmpty(t, b.LoadReport(false, start.Add(100*time.Millisecond)).Groups)
	require.Empty(t, b.LoadReport(false, start.Add(3*time.Second)).Groups)
}

// Guards against callers that wait for backend servers of which none answers, and against a service that is
// refused for good after it is back.
func TestUnreachable(t *testing.T) {
	t.Parallel()
	b := newLimitingBalancer(t)
	now := start
	for i := range 4 {
		// The copies go to the other data centre, so that both leave two opening packets unanswered.
		b.Decide(opening(callerAddress(i), 0), now)
		b.Decide(opening(callerAddress(i), 1), now.Add(200*time.Millisecond))
		b.Decide(opening(callerAddress(i), 2), now.Add(600*time.Millisecond))
		now = now.Add(700 * time.Millisecond)
	}
	forwarded, refused := openFlows(b, 100, 200, now)
	require.LessOrEqual(t, forwarded["a"]+forwarded["b"], 3, "one probe each 100 ms")
	require.GreaterOrEqual(t, refused["unreachable"], 197)

	now = now.Add(200 * time.Millisecond)
	v := b.Decide(opening(callerAddress(500), 0), now.Add(time.Second))
	require.Equal(t, balancer.ActionForward, v.Action)
	answer := balancer.Packet{Source: callerAddress(500), Destination: route, Token: v.Server.Token, Acknowledged: 9}
	requireForwarded(t, b.Decide(answer, now.Add(time.Second+5*time.Millisecond)), v.Server.Token)
	_, refused = openFlows(b, 600, 50, now.Add(time.Second+10*time.Millisecond))
	require.Empty(t, refused)
}

// Guards against long flows of many entries that meet at the same backend servers, because each entry
// sees only its own.
func TestSharedFlowsSpreadLongFlows(t *testing.T) {
	t.Parallel()
	changes := []director.Change{routeToOrders(), director.VersionChanged{Version: 1}}
	for token := range director.Token(10) {
		changes = append(changes, director.ServerChanged{Server: server(token+1, "orders", "a")})
	}
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 1000, Overload: &admitter.Settings{}}, rand.New(rand.NewPCG(1, 1)))
	b.Update(1, changes, true, start)
	shared := loadsharer.Summary{HasServers: true, Load: loadsharer.Load{Servers: []loadsharer.ServerLoad{{Token: 1, Flows: 50}, {Token: 2, Flows: 50}}}}
	first := make(map[director.Token]int)
	for i := range 300 {
		b.SetSharedLoad(shared, start)
		v := b.Decide(opening(callerAddress(i), 0), start)
		first[v.Server.Token]++
		b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, IsReset: true, Token: v.Server.Token}, start)
	}
	require.Less(t, first[1]+first[2], 30, "two draws avoid the two busy ones unless both meet them")
	require.Greater(t, first[3], 15)
}

// Guards against slots of a data centre that does not answer and that count as free.
func TestSlotsOfSilentDataCentreAreNotFree(t *testing.T) {
	t.Parallel()
	b := newLimitingBalancer(t)
	held := make(map[int]director.Token)
	at := start
	for i := range 200 {
		v := b.Decide(opening(callerAddress(i), 0), at)
		data := balancer.Packet{Source: callerAddress(i), Destination: route, Token: v.Server.Token, HasData: true, Acknowledged: 1}
		if v.Server.DataCentre == "a" {
			b.Decide(data, at)
			held[i] = v.Server.Token
		}
	}
	// Data centre b leaves every opening packet unanswered.
	at = start.Add(200 * time.Millisecond)
	for i := range 200 {
		if held[i] == 0 {
			b.Decide(opening(callerAddress(i), 1), at)
		}
	}
	for i, token := range held {
		b.Decide(balancer.Packet{Source: callerAddress(i), Destination: route, Token: token, HasData: true, Acknowledged: 1, Sequence: 2}, at)
	}
	for i := range 100 {
		source := callerAddress(400 + i)
		token := b.Decide(opening(source, 0), at).Server.Token
		b.Decide(balancer.Packet{Source: source, Destination: route, Token: token, HasData: true, Acknowledged: 1}, at)
	}
	openFlows(b, 300, 1, start.Add(260*time.Millisecond))
	now := start.Add(300 * time.Millisecond)
	b.SetSharedLoad(summary(0), now)
	forwarded, refused := openFlows(b, 700, 20, now.Add(time.Millisecond))
	require.Equal(t, map[string]int{"over_capacity": 20}, refused, "%v, %d held", forwarded, len(held))
}

// Guards against a service with one priority whose flows lose the link to those of a lower priority at
// another service.
func TestLinkRanksFlowsOfAllServices(t *testing.T) {
	t.Parallel()
	const high, low = 1, 2
	addresses := map[uint8]netip.AddrPort{high: route, low: netip.AddrPortFrom(route.Addr(), route.Port()+1)}
	changes := []director.Change{director.VersionChanged{Version: 1}}
	for priority, service := range map[uint8]string{high: "orders", low: "manifests"} {
		changes = append(changes, director.ServerChanged{Server: server(director.Token(priority), service, "a")}, director.RouteChanged{Route: director.Route{
			Address: addresses[priority], Priority: priority, Shares: []director.Share{{Service: service, Weight: 1}},
		}})
	}
	b := balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 1000, Overload: &admitter.Settings{LinkRate: 250_000}}, rand.New(rand.NewPCG(1, 1)))
	b.Update(1, changes, true, start)
	admitted := make(map[uint8]int)
	for i := range 4000 {
		p := opening(callerAddress(i), 0)
		p.Size, p.Destination = 400, addresses[low]
		if i%40 == 0 {
			p.Destination = addresses[high]
		}
		if v := b.Decide(p, start.Add(time.Duration(i)*time.Millisecond)); v.Action == balancer.ActionForward {
			admitted[uint8(v.Server.Token)]++
		}
	}
	require.GreaterOrEqual(t, admitted[high], 95, "of 100")
	require.Less(t, admitted[low], 3000, "of 3,900, as the link is full")
}
