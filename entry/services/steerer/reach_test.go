package steerer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/steerer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// reachServers is the number of backend servers in each data centre of these tests.
	reachServers = 80
	// firstCopy and secondCopy are when callers repeat an opening packet.
	firstCopy, secondCopy = 200 * time.Millisecond, 600 * time.Millisecond
)

// region returns backend servers of one service in several data centres. The tokens of a
// data centre follow each other.
func region(dataCentres ...string) []director.Change {
	var changes []director.Change
	for i, dataCentre := range dataCentres {
		for n := range reachServers {
			changes = append(changes, director.ServerChanged{Server: server(director.Token(1+i*reachServers+n), "orders", dataCentre)})
		}
	}
	return changes
}

// call opens a flow as a caller does whose opening packets get an answer only from backend
// servers that work, and returns the copies that it sent in vain.
func call(t *testing.T, s *steerer.Steerer, i int, now time.Time, works func(director.Token) bool) int {
	t.Helper()
	for vain, at := range []time.Duration{0, firstCopy, secondCopy} {
		v := s.Decide(opening(from(i), uint32(vain)), now.Add(at))
		require.Equal(t, steerer.ActionForward, v.Action, v.Reason.String())
		if works(v.Server.Token) {
			answered(t, s, from(i), v.Server.Token, now.Add(at))
			return vain
		}
	}
	return 3
}

// Load: all 80 backend servers at home have lost power, and their leases have not expired.
// Each entry sees two new flows a second, so that it cannot try them one by one.
func TestCallersLeaveDeadDataCentre(t *testing.T) {
	t.Parallel()
	s := newSteerer(t, region("a", "b")...)
	isRemote := func(token director.Token) bool { return token > reachServers }
	late, failed := 0, 0
	for i := range 10 {
		switch vain := call(t, s, i, start.Add(time.Duration(i)*500*time.Millisecond), isRemote); {
		case vain == 3:
			failed++
		case vain > 0:
			late++
		}
	}
	require.Zero(t, failed, "callers that reached no backend server with three packets")
	// Two show that home is silent; after that one new flow probes it after 1 s, and one
	// after 2 s more.
	require.LessOrEqual(t, late, 4, "callers that waited for a dead backend server")
}

// Load: home is taken out, and one of two other data centres cannot be reached. Callers
// must not meet each of its backend servers in turn.
func TestCallersLeaveDataCentreBehindCut(t *testing.T) {
	t.Parallel()
	s := newSteerer(t, append(region("a", "b", "c"), director.DataCentreChanged{Name: "a", TakenOut: true})...)
	isReachable := func(token director.Token) bool { return token > 2*reachServers }
	late := 0
	for i := range 100 {
		if call(t, s, i, start.Add(time.Duration(i)*50*time.Millisecond), isReachable) > 0 {
			late++
		}
	}
	require.LessOrEqual(t, late, 12, "callers that waited for a data centre behind a cut")
}

// Guards against a data centre that stays avoided although it is back.
func TestDataCentreIsUsedAgain(t *testing.T) {
	t.Parallel()
	s := newSteerer(t, region("a", "b")...)
	for i := range 5 {
		call(t, s, i, start.Add(time.Duration(i)*100*time.Millisecond), func(token director.Token) bool { return token > reachServers })
	}
	home := 0
	for i := range 100 {
		now := start.Add(6*time.Second + time.Duration(i)*10*time.Millisecond)
		v := s.Decide(opening(from(100+i), 0), now)
		answered(t, s, from(100+i), v.Server.Token, now)
		if v.Server.Token <= reachServers {
			home++
		}
	}
	require.Equal(t, 100, home)
}

// Load: a data centre without power comes back, cold, after 4 s. Its backend servers start
// anew, and callers at home must not wait for the end of a hold.
func TestStartsEndAvoidance(t *testing.T) {
	t.Parallel()
	s := newSteerer(t, region("a", "b")...)
	for i := range 8 {
		call(t, s, i, start.Add(time.Duration(i)*500*time.Millisecond), func(token director.Token) bool { return token > reachServers })
	}
	var returned []director.Change
	for n := range director.Token(reachServers) {
		returned = append(returned, director.ServerChanged{Server: server(1+n, "orders", "a").WithState(director.StateGone)},
			director.ServerChanged{Server: server(1000+n, "orders", "a")})
	}
	now := start.Add(4500 * time.Millisecond)
	s.Update(2, returned, false, now)
	for i := range 10 {
		v := s.Decide(opening(from(100+i), 0), now.Add(time.Duration(i)*50*time.Millisecond))
		require.GreaterOrEqual(t, v.Server.Token, director.Token(1000), "flow %d", i)
		answered(t, s, from(100+i), v.Server.Token, now.Add(time.Duration(i)*50*time.Millisecond))
	}
}

// Guards against a service that gets no flows because it looks silent as a whole.
func TestServiceThatLooksSilentIsUsed(t *testing.T) {
	t.Parallel()
	s := newSteerer(t, region("a", "b")...)
	for i := range 20 {
		call(t, s, i, start.Add(time.Duration(i)*10*time.Millisecond), func(director.Token) bool { return false })
	}
	require.Equal(t, steerer.ActionForward, s.Decide(opening(from(900), 0), start.Add(time.Second)).Action)
}

// Load: after a common loss of power all callers come back at once, and requests at home wait
// for longer than callers do before they repeat them. Flows must not leave home for others
// that are as busy.
func TestBusyHomeIsNotSilent(t *testing.T) {
	t.Parallel()
	o := newOutage(t)
	o.works = func(director.Token) bool { return false }
	for i := range outageFlows {
		o.request(i, start.Add(time.Second))
	}
	v := o.s.Decide(opening(from(900), 0), start.Add(1700*time.Millisecond))
	require.LessOrEqual(t, v.Server.Token, director.Token(reachServers), "home")
}

// Guards against suspicion after a pause of this process: the opening packets and their
// copies wait in the socket and are read at once.
func TestPauseIsNoSilence(t *testing.T) {
	t.Parallel()
	s := newSteerer(t, region("a", "b")...)
	for i := range 40 {
		for vain := range uint32(3) {
			s.Decide(opening(from(i), vain), start)
		}
	}
	for i := range 20 {
		v := s.Decide(opening(from(100+i), 0), start.Add(time.Millisecond))
		require.LessOrEqual(t, v.Server.Token, director.Token(reachServers), "home was not silent")
		require.False(t, v.Placement.IsSilent)
	}
}

// Guards against a refusal while another service of the route has free backend servers.
func TestOtherServiceOfRouteServes(t *testing.T) {
	t.Parallel()
	both := director.Route{Address: route, Shares: []director.Share{{Service: "orders", Weight: 90}, {Service: "manifests", Weight: 10}, {Service: "never", Weight: 0}}}
	s := newSteerer(t, director.RouteChanged{Route: both}, director.ServerChanged{Server: server(1, "manifests", "a")}, director.ServerChanged{Server: server(2, "never", "a")})
	for i := range 50 {
		requireForwarded(t, s.Decide(opening(from(i), 0), start), 1)
	}
}

// Measures a new flow at the sizes of the large deployment and of the design.
func BenchmarkOpen(b *testing.B) {
	for _, servers := range []int{480, 4000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			changes := []director.Change{routeToOrders(), director.VersionChanged{Version: 1}}
			for i := range servers {
				changes = append(changes, director.ServerChanged{Server: server(director.Token(i+1), "orders", fmt.Sprint("dc-", i%6))})
			}
			s := steerer.New(steerer.Settings{DataCentre: "dc-0", MaxFlows: 1_000_000}, rand.New(rand.NewPCG(1, 1)))
			s.Update(1, changes, true, start)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				source := from(i % 50_000)
				s.Decide(opening(source, 0), start)
				s.Decide(steerer.Packet{Source: source, Destination: route, Token: 1, IsReset: true}, start)
			}
		})
	}
}

// outage is an entry with open flows at home, whose backend servers then fall silent.
type outage struct {
	t       *testing.T
	s       *steerer.Steerer
	servers map[int]director.Token
	// works tells which backend servers answer.
	works func(director.Token) bool
	next  int
}

// outageFlows is the number of open flows, half of them on a route for requests that must not
// be repeated.
const outageFlows = 40

func newOutage(t *testing.T) *outage {
	t.Helper()
	o := &outage{t: t, s: newSteerer(t, region("a", "b")...), servers: make(map[int]director.Token), next: 1000}
	unsafe := director.Route{Address: unsafeRoute, Kind: director.KindUnsafe, Shares: []director.Share{{Service: "orders", Weight: 1}}}
	safe := director.Route{Address: route, Kind: director.KindSafe, Shares: unsafe.Shares}
	o.s.Update(2, []director.Change{director.RouteChanged{Route: safe}, director.RouteChanged{Route: unsafe}}, false, start)
	for i := range outageFlows {
		v := o.s.Decide(steerer.Packet{Source: from(i), Destination: o.routeOf(i), IsOpening: true}, start)
		o.servers[i] = v.Server.Token
		o.s.Decide(steerer.Packet{Source: from(i), Destination: o.routeOf(i), Token: v.Server.Token, Acknowledged: 1}, start)
	}
	return o
}

func (o *outage) routeOf(i int) netip.AddrPort {
	if i%2 == 0 {
		return route
	}
	return unsafeRoute
}

// open lets a new caller come, as others do all the time.
func (o *outage) open(now time.Time) {
	o.next++
	call(o.t, o.s, o.next, now, o.works)
}

// request sends a request on an open flow and repeats it after 200 ms and 600 ms, if it is
// not answered. It returns when the caller gets a reset, or 0.
func (o *outage) request(i int, now time.Time) time.Duration {
	p := steerer.Packet{Source: from(i), Destination: o.routeOf(i), Token: o.servers[i], HasData: true, Sequence: 1, Acknowledged: 1}
	for _, at := range []time.Duration{0, firstCopy, secondCopy} {
		if o.s.Decide(p, now.Add(at)).Action == steerer.ActionReset {
			return at
		}
		if o.works(o.servers[i]) {
			p.HasData, p.Acknowledged = false, 2
			o.s.Decide(p, now.Add(at+time.Millisecond))
			return 0
		}
	}
	return 0
}

var unsafeRoute = netip.MustParseAddrPort("198.18.0.9:443")

// Load: home loses power while callers wait on open flows, with deadlines of 3 s. Requests
// that may be repeated must get their chance elsewhere in time; for others a reset would only
// say that nobody knows.
func TestRequestsLeaveDeadDataCentre(t *testing.T) {
	t.Parallel()
	o := newOutage(t)
	o.works = func(token director.Token) bool { return token > reachServers }
	now := start.Add(time.Second)
	for range 3 {
		o.open(now)
		now = now.Add(700 * time.Millisecond)
	}
	for i := range outageFlows {
		reset := o.request(i, now)
		if o.routeOf(i) == unsafeRoute {
			require.Zero(t, reset, "flow %d", i)
		} else {
			require.Equal(t, firstCopy, reset, "flow %d", i)
		}
		now = now.Add(650 * time.Millisecond)
		o.open(now)
	}
}

// Guards against resets of flows whose backend servers work.
func TestRequestsStayAtWorkingServers(t *testing.T) {
	t.Parallel()
	t.Run("while one backend server at home is dead", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.works = func(token director.Token) bool { return token != o.servers[0] }
		for i := range outageFlows {
			now := start.Add(time.Duration(1+i) * time.Second)
			o.open(now)
			require.Zero(t, o.request(i, now.Add(700*time.Millisecond)), "flow %d", i)
		}
	})
	t.Run("while all are slow, but take new flows", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.works = func(director.Token) bool { return true }
		slow := *o
		slow.works = func(director.Token) bool { return false }
		for i := range outageFlows {
			now := start.Add(time.Duration(1+i) * time.Second)
			o.open(now)
			require.Zero(t, slow.request(i, now.Add(100*time.Millisecond)), "flow %d", i)
		}
	})
	t.Run("when one packet is lost after home has come back", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.works = func(token director.Token) bool { return token > reachServers }
		for i := range 3 {
			o.open(start.Add(time.Duration(i) * 700 * time.Millisecond))
		}
		require.Zero(t, o.request(0, start.Add(10*time.Second)))
	})
	t.Run("while there is nowhere else to go", func(t *testing.T) {
		t.Parallel()
		o := newOutage(t)
		o.works = func(director.Token) bool { return false }
		now := start
		for i := range outageFlows {
			o.open(now)
			now = now.Add(700 * time.Millisecond)
			require.Zero(t, o.request(i, now), "flow %d", i)
		}
	})
}
