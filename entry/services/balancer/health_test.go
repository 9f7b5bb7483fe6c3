package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// serversPerDataCentre is the number of backend servers in each data centre of these tests.
	serversPerDataCentre = 80
	// firstRetransmission and secondRetransmission are when callers repeat a packet.
	firstRetransmission, secondRetransmission = 200 * time.Millisecond, 600 * time.Millisecond
)

// serversIn returns backend servers of one service in several data centres. The tokens within a
// data centre are consecutive.
func serversIn(dataCentres ...string) []director.Change {
	var changes []director.Change
	for i, dataCentre := range dataCentres {
		for n := range serversPerDataCentre {
			changes = append(changes, director.ServerChanged{Server: server(director.Token(1+i*serversPerDataCentre+n), "orders", dataCentre)})
		}
	}
	return changes
}

// callUntilAnswered opens a flow, repeating the opening packet until it reaches a backend server
// that answers, and returns how many of up to three packets were not answered.
func callUntilAnswered(t *testing.T, b *balancer.Balancer, i int, now time.Time, answers func(director.Token) bool) int {
	t.Helper()
	for unanswered, at := range []time.Duration{0, firstRetransmission, secondRetransmission} {
		v := b.Decide(opening(callerAddress(i), uint32(unanswered)), now.Add(at))
		require.Equal(t, balancer.ActionForward, v.Action, v.Reason.String())
		if answers(v.Server.Token) {
			acknowledge(t, b, callerAddress(i), v.Server.Token, now.Add(at))
			return unanswered
		}
	}
	return 3
}

// All 80 backend servers in the local data centre have lost power, and their leases have not
// expired. An entry gets only two new flows a second, too few to try the backend servers one by
// one.
func TestNewFlowsAvoidFailedDataCentre(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, serversIn("a", "b")...)
	isRemote := func(token director.Token) bool { return token > serversPerDataCentre }
	delayed, failed := 0, 0
	for i := range 10 {
		switch unanswered := callUntilAnswered(t, b, i, start.Add(time.Duration(i)*500*time.Millisecond), isRemote); {
		case unanswered == 3:
			failed++
		case unanswered > 0:
			delayed++
		}
	}
	require.Zero(t, failed, "callers that got no answer to three packets")
	// Two show that the data centre does not answer; then one new flow probes it after 1 s and one
	// after another 2 s.
	require.LessOrEqual(t, delayed, 4, "callers that were sent to a failed backend server first")
}

// The local data centre is taken out, and one of two others cannot be reached. Callers must not be
// sent to each of its backend servers in turn.
func TestNewFlowsAvoidUnreachableDataCentre(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, append(serversIn("a", "b", "c"), director.DataCentreChanged{Name: "a", TakenOut: true})...)
	isReachable := func(token director.Token) bool { return token > 2*serversPerDataCentre }
	delayed := 0
	for i := range 100 {
		if callUntilAnswered(t, b, i, start.Add(time.Duration(i)*50*time.Millisecond), isReachable) > 0 {
			delayed++
		}
	}
	require.LessOrEqual(t, delayed, 12, "callers that were sent to the unreachable data centre first")
}

// Guards against a data centre that is still avoided after it has recovered.
func TestRecoveredDataCentreIsUsed(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, serversIn("a", "b")...)
	for i := range 5 {
		callUntilAnswered(t, b, i, start.Add(time.Duration(i)*100*time.Millisecond), func(token director.Token) bool { return token > serversPerDataCentre })
	}
	local := 0
	for i := range 100 {
		now := start.Add(6*time.Second + time.Duration(i)*10*time.Millisecond)
		v := b.Decide(opening(callerAddress(100+i), 0), now)
		acknowledge(t, b, callerAddress(100+i), v.Server.Token, now)
		if v.Server.Token <= serversPerDataCentre {
			local++
		}
	}
	require.Equal(t, 100, local)
}

// A data centre loses power and returns after 4 s, cold: its backend servers have restarted. New
// flows must use it at once, without waiting for the end of the backoff.
func TestServerStartsEndAvoidance(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, serversIn("a", "b")...)
	for i := range 8 {
		callUntilAnswered(t, b, i, start.Add(time.Duration(i)*500*time.Millisecond), func(token director.Token) bool { return token > serversPerDataCentre })
	}
	var returned []director.Change
	for n := range director.Token(serversPerDataCentre) {
		returned = append(returned, director.ServerChanged{Server: server(1+n, "orders", "a").WithState(director.StateGone)},
			director.ServerChanged{Server: server(1000+n, "orders", "a")})
	}
	now := start.Add(4500 * time.Millisecond)
	b.Update(2, returned, false, now)
	for i := range 10 {
		v := b.Decide(opening(callerAddress(100+i), 0), now.Add(time.Duration(i)*50*time.Millisecond))
		require.GreaterOrEqual(t, v.Server.Token, director.Token(1000), "flow %d", i)
		acknowledge(t, b, callerAddress(100+i), v.Server.Token, now.Add(time.Duration(i)*50*time.Millisecond))
	}
}

// Guards against a service that gets no flows because none of its backend servers answers.
func TestUnresponsiveServiceGetsFlows(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, serversIn("a", "b")...)
	for i := range 20 {
		callUntilAnswered(t, b, i, start.Add(time.Duration(i)*10*time.Millisecond), func(director.Token) bool { return false })
	}
	require.Equal(t, balancer.ActionForward, b.Decide(opening(callerAddress(900), 0), start.Add(time.Second)).Action)
}

// After a common power loss all callers return at once, and requests in the local data centre are
// queued for longer than callers wait before they retransmit. Flows must not move to other data
// centres that are as busy.
func TestBusyLocalDataCentreIsNotAvoided(t *testing.T) {
	t.Parallel()
	o := newOutage(t)
	o.answers = func(director.Token) bool { return false }
	for i := range outageFlows {
		o.request(i, start.Add(time.Second))
	}
	v := o.entry.Decide(opening(callerAddress(900), 0), start.Add(1700*time.Millisecond))
	require.LessOrEqual(t, v.Server.Token, director.Token(serversPerDataCentre), "the local data centre must not be avoided")
}

// Guards against false timeouts after a pause of this process, when opening packets and their
// copies have waited in the socket and are read together.
func TestProcessPauseIsNotTimeout(t *testing.T) {
	t.Parallel()
	b := newBalancer(t, serversIn("a", "b")...)
	for i := range 40 {
		for retransmissions := range uint32(3) {
			b.Decide(opening(callerAddress(i), retransmissions), start)
		}
	}
	for i := range 20 {
		v := b.Decide(opening(callerAddress(100+i), 0), start.Add(time.Millisecond))
		require.LessOrEqual(t, v.Server.Token, director.Token(serversPerDataCentre), "the local data centre must not be avoided")
		require.False(t, v.Placement.IsUnresponsive)
	}
}

// Guards against a refusal while another service of the route has free backend servers.
func TestOtherServiceOfRouteIsUsed(t *testing.T) {
	t.Parallel()
	both := director.Route{Address: route, Shares: []director.Share{{Service: "orders", Weight: 90}, {Service: "manifests", Weight: 10}, {Service: "never", Weight: 0}}}
	b := newBalancer(t, director.RouteChanged{Route: both}, director.ServerChanged{Server: server(1, "manifests", "a")}, director.ServerChanged{Server: server(2, "never", "a")})
	for i := range 50 {
		requireForwarded(t, b.Decide(opening(callerAddress(i), 0), start), 1)
	}
}

// Measures a new flow with the backend servers of the large deployment (480) and of the design
// size (4,000).
func BenchmarkOpen(b *testing.B) {
	for _, servers := range []int{480, 4000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			changes := []director.Change{routeToOrders(), director.VersionChanged{Version: 1}}
			for i := range servers {
				changes = append(changes, director.ServerChanged{Server: server(director.Token(i+1), "orders", fmt.Sprint("dc-", i%6))})
			}
			lb := balancer.New(balancer.Settings{DataCentre: "dc-0", MaxFlows: 1_000_000}, rand.New(rand.NewPCG(1, 1)))
			lb.Update(1, changes, true, start)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				source := callerAddress(i % 50_000)
				lb.Decide(opening(source, 0), start)
				lb.Decide(balancer.Packet{Source: source, Destination: route, Token: 1, IsReset: true}, start)
			}
		})
	}
}

// outage is an entry with open flows in the local data centre, whose backend servers then stop
// answering.
type outage struct {
	t       *testing.T
	entry   *balancer.Balancer
	servers map[int]director.Token
	// answers reports whether a backend server answers.
	answers    func(director.Token) bool
	nextCaller int
}

// outageFlows is the number of open flows, half of them on a route for requests that must not be
// repeated.
const outageFlows = 40

func newOutage(t *testing.T) *outage {
	t.Helper()
	o := &outage{t: t, entry: newBalancer(t, serversIn("a", "b")...), servers: make(map[int]director.Token), nextCaller: 1000}
	unsafe := director.Route{Address: unsafeRoute, Kind: director.KindUnsafe, Shares: []director.Share{{Service: "orders", Weight: 1}}}
	safe := director.Route{Address: route, Kind: director.KindSafe, Shares: unsafe.Shares}
	o.entry.Update(2, []director.Change{director.RouteChanged{Route: safe}, director.RouteChanged{Route: unsafe}}, false, start)
	for i := range outageFlows {
		v := o.entry.Decide(balancer.Packet{Source: callerAddress(i), Destination: o.routeOf(i), IsOpening: true}, start)
		o.servers[i] = v.Server.Token
		o.entry.Decide(balancer.Packet{Source: callerAddress(i), Destination: o.routeOf(i), Token: v.Server.Token, Acknowledged: 1}, start)
	}
	return o
}

func (o *outage) routeOf(i int) netip.AddrPort {
	if i%2 == 0 {
		return route
	}
	return unsafeRoute
}

// openFlow opens a flow of a new caller.
func (o *outage) openFlow(now time.Time) {
	o.nextCaller++
	callUntilAnswered(o.t, o.entry, o.nextCaller, now, o.answers)
}

// request sends a request on an open flow and repeats it after 200 ms and 600 ms if it is not
// answered. It returns the delay after which the caller gets a reset, or 0.
func (o *outage) request(i int, now time.Time) time.Duration {
	p := balancer.Packet{Source: callerAddress(i), Destination: o.routeOf(i), Token: o.servers[i], HasData: true, Sequence: 1, Acknowledged: 1}
	for _, at := range []time.Duration{0, firstRetransmission, secondRetransmission} {
		if o.entry.Decide(p, now.Add(at)).Action == balancer.ActionReset {
			return at
		}
		if o.answers(o.servers[i]) {
			p.HasData, p.Acknowledged = false, 2
			o.entry.Decide(p, now.Add(at+time.Millisecond))
			return 0
		}
	}
	return 0
}

var unsafeRoute = netip.MustParseAddrPort("198.18.0.9:443")

// Guards against a reset of an open flow whose backend server works but seems to share the silence of
// its data centre: new flows have met two others that have failed, and one packet to it is lost.
func TestSilentNeighboursResetNoFlow(t *testing.T) {
	t.Parallel()
	for i := range outageFlows {
		o := newOutage(t)
		o.answers = func(token director.Token) bool { return token > serversPerDataCentre }
		o.openFlow(start.Add(time.Second))
		o.openFlow(start.Add(1100 * time.Millisecond))
		require.Zero(t, o.request(i, start.Add(1500*time.Millisecond)), "flow %d", i)
		o.answers = func(token director.Token) bool { return token == o.servers[i] }
		require.Zero(t, o.request(i, start.Add(1900*time.Millisecond)), "flow %d", i)
	}
}

// Guards against resets of flows whose backend servers work.
func TestFlowsOfWorkingServersAreNotReset(t *testing.T) {
	t.Parallel()
	t.Run("while one local backend server has failed", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.answers = func(token director.Token) bool { return token != o.servers[0] }
		for i := range outageFlows {
			now := start.Add(time.Duration(1+i) * time.Second)
			o.openFlow(now)
			require.Zero(t, o.request(i, now.Add(700*time.Millisecond)), "flow %d", i)
		}
	})
	t.Run("while all are slow but accept new flows", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.answers = func(director.Token) bool { return true }
		slow := *o
		slow.answers = func(director.Token) bool { return false }
		for i := range outageFlows {
			now := start.Add(time.Duration(1+i) * time.Second)
			o.openFlow(now)
			require.Zero(t, slow.request(i, now.Add(100*time.Millisecond)), "flow %d", i)
		}
	})
	t.Run("when one packet is lost after the local data centre has recovered", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.answers = func(token director.Token) bool { return token > serversPerDataCentre }
		for i := range 3 {
			o.openFlow(start.Add(time.Duration(i) * 700 * time.Millisecond))
		}
		require.Zero(t, o.request(0, start.Add(10*time.Second)))
	})
	t.Run("while the local data centre has lost power", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.answers = func(token director.Token) bool { return token > serversPerDataCentre }
		now := start.Add(time.Second)
		for range 3 {
			o.openFlow(now)
			now = now.Add(700 * time.Millisecond)
		}
		for i := range outageFlows {
			require.Zero(t, o.request(i, now), "flow %d", i)
			now = now.Add(650 * time.Millisecond)
			o.openFlow(now)
		}
	})
	t.Run("while no other data centre answers", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.answers = func(director.Token) bool { return false }
		now := start
		for i := range outageFlows {
			o.openFlow(now)
			now = now.Add(700 * time.Millisecond)
			require.Zero(t, o.request(i, now), "flow %d", i)
		}
	})
}
