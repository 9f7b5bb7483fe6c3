package balancer_test

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// traffic describes the requests on one route. rate is their share in relation to the other routes.
type traffic struct {
	kind                  director.Kind
	priority              uint8
	rate                  float64
	work, target, timeout time.Duration
	request, response     int
	isLong                bool
}

// overloadCase describes one run: calm, a burst, calm again.
type overloadCase struct {
	entries, servers int
	// linkRate is in bytes per second. slowShare of the requests take 7 times as long; the work is
	// log-normal with the given spread. load is that of the burst, as a multiple of the capacity.
	linkRate, slowShare, spread, load    float64
	routes                               []traffic
	latency, calm, burst, recovery       time.Duration
	callers                              int // long flows of a route before one is used again
	overload                             *admitter.Settings
	reporterLies, losesReports, takesOut bool
	cutsOff                              bool // one entry loses its link in the burst, and soon after that its flows to others
	seed                                 uint64
}

// requestRate returns the requests per second that all slots can run, and the part of them on a route.
func (c overloadCase) requestRate(route int) (all, onRoute float64) {
	rate, work := 0.0, 0.0
	for _, t := range c.routes {
		rate += t.rate
		work += t.rate * t.work.Seconds() * (1 + 6*c.slowShare)
	}
	all = float64(c.servers*serverSlots) * rate / work
	return all, all * c.routes[route].rate / rate
}

// isLinkShort reports whether the links cannot carry the requests that the slots can run, with three opening
// packets of each request that is refused.
func (c overloadCase) isLinkShort() bool {
	bytes, rate := 0.0, 0.0
	for _, t := range c.routes {
		packets := 4 + t.response/2400
		if t.isLong {
			packets = 1 + t.response/2400
		}
		bytes += t.rate * float64(headerBytes*packets+headerBytes+t.request)
		rate += t.rate
	}
	all, _ := c.requestRate(0)
	refused := max(c.load-1, 0) * all * 3 * resetBytes
	return all*min(c.load, 1)*bytes/rate+refused > maxLinkUse*c.linkRate*float64(c.entries)
}

func (c overloadCase) end() time.Duration           { return c.calm + c.burst + c.recovery }
func (c overloadCase) isBurst(t time.Duration) bool { return t >= c.calm && t < c.calm+c.burst }
func dataCentreName(i int) string                   { return string(rune('a' + i%3)) }
func routeAddress(i int) netip.AddrPort             { return addressPort(198<<24|18<<16|i, 443) }
func addressPort(address int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(address >> 24), byte(address >> 16), byte(address >> 8), byte(address)}), port)
}
