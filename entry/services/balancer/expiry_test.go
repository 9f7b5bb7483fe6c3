package balancer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Guards against a list of requests that grows without bound where callers use open flows only and no report
// is due, as while control is gone.
func TestSweepForgetsRequestsOfOpenFlows(t *testing.T) {
	t.Parallel()
	b := New(Settings{DataCentre: "a", MaxFlows: 10, Overload: &admitter.Settings{}}, rand.New(rand.NewPCG(1, 1)))
	address := netip.MustParseAddrPort("198.18.0.1:443")
	b.Update(1, []director.Change{
		director.VersionChanged{Version: 1, IdleTimeout: time.Hour},
		director.RouteChanged{Route: director.Route{Address: address, Shares: []director.Share{{Service: "orders", Weight: 1}}}},
		director.ServerChanged{Server: director.Server{Token: 1, Service: "orders", DataCentre: "a", Slots: 2, State: director.StateReady}},
	}, true, viewStart)
	now := viewStart
	for i := range uint32(1000) {
		now = now.Add(100 * time.Millisecond)
		b.Decide(Packet{Source: netip.MustParseAddrPort("100.64.0.7:40001"), Destination: address, Token: 1, HasData: true, Sequence: i, Acknowledged: i}, now)
		if i%10 == 0 {
			b.Sweep(now)
		}
	}
	require.Less(t, len(b.selector.loads.of("orders").inProgress), 30)
}
