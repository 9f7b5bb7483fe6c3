package steerer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/steerer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// host is a simulated backend server. It takes only packets that name its token,
// as the number in front of a packet names its instance.
type host struct {
	server director.Server
	isDead bool
	flows  map[netip.AddrPort]bool
}

// client is one flow of a caller.
type client struct {
	source, target netip.AddrPort
	service        string
	at             *host
	token          director.Token
}

// rotation is a simulated platform: routers that spray packets over entries whose
// views lag, and backend servers whose addresses are used again.
type rotation struct {
	t       *testing.T
	rng     *rand.Rand
	steady  bool
	now     time.Time
	index   uint64
	token   director.Token
	entries []*steerer.Steerer
	// inRotation are the entries that get packets.
	inRotation []int
	// lag holds updates that an entry has not got yet, by entry.
	lag    [][]director.Change
	routes []director.Route
	byAddr map[netip.AddrPort]*host
	hosts  []*host
	// wrongService and wrongHost count packets that a backend server of another
	// service, or another start at the same address, took.
	wrongService, wrongHost, delivered, open, broken int
}

const (
	rotationEntries  = 6
	hostsPerService  = 6
	rotationServices = 3
)

func newRotation(t *testing.T, seed uint64, steady bool) *rotation {
	r := &rotation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), steady: steady, now: start, byAddr: make(map[netip.AddrPort]*host)}
	for i := range rotationEntries {
		r.entries = append(r.entries, steerer.New(steerer.Settings{DataCentre: "a", MaxFlows: 10_000}, rand.New(rand.NewPCG(seed, uint64(i)))))
		r.inRotation = append(r.inRotation, i)
		r.lag = append(r.lag, nil)
	}
	for i := range rotationServices {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443)
		route := director.Route{Address: address, Kind: director.KindSafe, Shares: []director.Share{{Service: serviceName(i), Weight: 1}}}
		r.routes = append(r.routes, route)
		r.change(director.RouteChanged{Route: route})
	}
	r.change(director.VersionChanged{Version: 1, IdleTimeout: time.Minute})
	for i := range rotationServices * hostsPerService {
		r.startHost(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), serviceName(i%rotationServices))
	}
	r.catchUp()
	return r
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

func (r *rotation) change(c director.Change) {
	for i := range r.lag {
		r.lag[i] = append(r.lag[i], c)
	}
}

// catchUp delivers all updates to all entries.
func (r *rotation) catchUp() {
	for i := range r.entries {
		r.update(i)
	}
}

func (r *rotation) update(i int) {
	r.index++
	r.entries[i].Update(r.index, r.lag[i], false, r.now)
	r.lag[i] = nil
}

// startHost starts a backend server at an address, where another one may have
// been before.
func (r *rotation) startHost(address netip.AddrPort, service string) {
	if old := r.byAddr[address]; old != nil {
		old.isDead = true
		r.change(director.ServerChanged{Server: old.server.WithState(director.StateGone)})
	}
	r.token++
	h := &host{flows: make(map[netip.AddrPort]bool), server: director.Server{
		Token: r.token, Host: fmt.Sprintf("i-%x", r.token), Service: service, Address: address,
		DataCentre: "a", Slots: 2, State: director.StateReady,
	}}
	r.byAddr[address], r.hosts = h, append(r.hosts, h)
	r.change(director.ServerChanged{Server: h.server})
}

// spray returns the entry that the routers choose for a flow.
func (r *rotation) spray(c *client) *steerer.Steerer {
	h := uint64(c.source.Port())*2654435761 + uint64(c.source.Addr().As4()[3])
	if !r.steady {
		return r.entries[r.inRotation[h%uint64(len(r.inRotation))]]
	}
	best, bestScore := 0, uint64(0)
	for _, i := range r.inRotation {
		if score := (h + uint64(i)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd; score >= bestScore {
			best, bestScore = i, score
		}
	}
	return r.entries[best]
}

// send carries one packet and returns whether its backend server took it.
func (r *rotation) send(c *client, p steerer.Packet) bool {
	p.Source, p.Destination = c.source, c.target
	verdict := r.spray(c).Decide(p, r.now)
	if verdict.Action != steerer.ActionForward {
		return false
	}
	h := r.byAddr[verdict.Server.Address]
	if h == nil || h.isDead || h.server.Token != verdict.Server.Token {
		// The number in front of the packet is that of an earlier start, so the
		// backend server at the address ignores it.
		return false
	}
	r.delivered++
	if h.server.Service != c.service {
		r.wrongService++
	}
	if p.IsOpening {
		h.flows[c.source] = true
		c.at, c.token = h, h.server.Token
		return true
	}
	if h != c.at {
		r.wrongHost++
	}
	return true
}

// disturb changes the rotation, the backend servers, or the lag of a view.
func (r *rotation) disturb() {
	switch r.rng.IntN(6) {
	case 0:
		if len(r.inRotation) > 2 {
			i := r.rng.IntN(len(r.inRotation))
			r.inRotation = slices.Delete(r.inRotation, i, i+1)
		}
	case 1:
		for i := range r.entries {
			if !slices.Contains(r.inRotation, i) {
				r.update(i)
				r.inRotation = append(r.inRotation, i)
				break
			}
		}
	case 2:
		live := slices.DeleteFunc(slices.Clone(r.hosts), func(h *host) bool { return h.isDead })
		h := live[r.rng.IntN(len(live))]
		r.startHost(h.server.Address, serviceName(r.rng.IntN(rotationServices)))
	case 3:
		r.update(r.rng.IntN(len(r.entries)))
	case 4:
		r.catchUp()
	case 5:
		r.now = r.now.Add(500 * time.Millisecond)
		for _, e := range r.entries {
			e.Sweep(r.now)
		}
	}
}

// Guards against packets that reach another service, or another start at an
// address that is used again, while entries join and leave the rotation and their
// views lag; and against flows that break although their backend server lives.
func TestTokensOverChangingRotation(t *testing.T) {
	t.Parallel()
	const packets = 500_000
	for _, hash := range []string{"mod", "steady"} {
		t.Run(hash, func(t *testing.T) {
			t.Parallel()
			r := newRotation(t, 11, hash == "steady")
			var clients []*client
			for sent := range packets {
				if sent%400 == 0 {
					r.disturb()
				}
				if len(clients) < 400 {
					i := r.rng.IntN(rotationServices)
					c := &client{
						source:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(r.rng.IntN(256)), byte(r.rng.IntN(256))}), uint16(1024+r.rng.IntN(60_000))),
						target:  r.routes[i].Address,
						service: serviceName(i),
					}
					if r.send(c, steerer.Packet{IsOpening: true}) {
						clients = append(clients, c)
						r.open++
					}
					continue
				}
				i := r.rng.IntN(len(clients))
				c := clients[i]
				took := r.send(c, steerer.Packet{Token: c.token, HasData: true, Sequence: uint32(sent), Acknowledged: uint32(sent)})
				if !took && !c.at.isDead && r.knows(c) {
					r.broken++
				}
				if c.at.isDead || r.rng.IntN(300) == 0 {
					clients = slices.Delete(clients, i, i+1)
				}
			}
			require.Zero(t, r.wrongService, "packets at another service")
			require.Zero(t, r.wrongHost, "packets at another backend server")
			require.Zero(t, r.broken, "packets lost although the entry knew the backend server")
			t.Logf("%d packets delivered, %d flows, %d starts", r.delivered, r.open, len(r.hosts))
		})
	}
}

// knows reports whether the entry that gets the packets of a flow has heard of
// its backend server.
func (r *rotation) knows(c *client) bool {
	e := r.spray(c)
	for i, other := range r.entries {
		if other == e {
			return !slices.ContainsFunc(r.lag[i], func(change director.Change) bool {
				server, ok := change.(director.ServerChanged)
				return ok && server.Server.Token == c.token
			})
		}
	}
	return false
}
