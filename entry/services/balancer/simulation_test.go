package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// simulatedServer is a simulated backend server. It accepts only packets that name its token, as
// the number in front of a packet identifies the incarnation that it is for.
type simulatedServer struct {
	server director.Server
	isDead bool
	flows  map[netip.AddrPort]bool
}

// client is one flow of a caller.
type client struct {
	source, target netip.AddrPort
	service        string
	accepter       *simulatedServer
	token          director.Token
}

// simulation simulates routers that spray packets over entries whose views lag, and backend servers
// whose addresses are reused.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	isRendezvous bool
	now          time.Time
	index        uint64
	token        director.Token
	entries      []*balancer.Balancer
	// inRotation holds the entries that get packets.
	inRotation []int
	// pending holds the updates that each entry has not received yet.
	pending [][]director.Change
	routes  []director.Route
	byAddr  map[netip.AddrPort]*simulatedServer
	servers []*simulatedServer
	// wrongService and wrongServer count packets that were accepted by a backend server of another
	// service, or by another incarnation at the same address.
	wrongService, wrongServer, delivered, open, broken int
}

const (
	simulatedEntries  = 6
	serversPerService = 6
	simulatedServices = 3
)

func newSimulation(t *testing.T, seed uint64, isRendezvous bool) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), isRendezvous: isRendezvous, now: start, byAddr: make(map[netip.AddrPort]*simulatedServer)}
	for i := range simulatedEntries {
		s.entries = append(s.entries, balancer.New(balancer.Settings{DataCentre: "a", MaxFlows: 10_000}, rand.New(rand.NewPCG(seed, uint64(i)))))
		s.inRotation = append(s.inRotation, i)
		s.pending = append(s.pending, nil)
	}
	for i := range simulatedServices {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443)
		route := director.Route{Address: address, Kind: director.KindSafe, Shares: []director.Share{{Service: serviceName(i), Weight: 1}}}
		s.routes = append(s.routes, route)
		s.change(director.RouteChanged{Route: route})
	}
	s.change(director.VersionChanged{Version: 1, IdleTimeout: time.Minute})
	for i := range simulatedServices * serversPerService {
		s.startServer(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), serviceName(i%simulatedServices))
	}
	s.updateAll()
	return s
}

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

func (s *simulation) change(c director.Change) {
	for i := range s.pending {
		s.pending[i] = append(s.pending[i], c)
	}
}

// updateAll delivers all pending updates to all entries.
func (s *simulation) updateAll() {
	for i := range s.entries {
		s.update(i)
	}
}

func (s *simulation) update(i int) {
	s.index++
	s.entries[i].Update(s.index, s.pending[i], false, s.now)
	s.pending[i] = nil
}

// startServer starts a backend server at an address, where another one may have been before.
func (s *simulation) startServer(address netip.AddrPort, service string) {
	if old := s.byAddr[address]; old != nil {
		old.isDead = true
		s.change(director.ServerChanged{Server: old.server.WithState(director.StateGone)})
	}
	s.token++
	started := &simulatedServer{flows: make(map[netip.AddrPort]bool), server: director.Server{
		Token: s.token, Host: fmt.Sprintf("i-%x", s.token), Service: service, Address: address,
		DataCentre: "a", Slots: 2, State: director.StateReady,
	}}
	s.byAddr[address], s.servers = started, append(s.servers, started)
	s.change(director.ServerChanged{Server: started.server})
}

// entryFor returns the entry that the routers choose for a flow.
func (s *simulation) entryFor(c *client) *balancer.Balancer {
	h := uint64(c.source.Port())*2654435761 + uint64(c.source.Addr().As4()[3])
	if !s.isRendezvous {
		return s.entries[s.inRotation[h%uint64(len(s.inRotation))]]
	}
	best, bestScore := 0, uint64(0)
	for _, i := range s.inRotation {
		if score := (h + uint64(i)*0x9e3779b97f4a7c15) * 0xff51afd7ed558ccd; score >= bestScore {
			best, bestScore = i, score
		}
	}
	return s.entries[best]
}

// send sends one packet and reports whether its backend server accepted it.
func (s *simulation) send(c *client, p balancer.Packet) bool {
	p.Source, p.Destination = c.source, c.target
	verdict := s.entryFor(c).Decide(p, s.now)
	if verdict.Action != balancer.ActionForward {
		return false
	}
	destination := s.byAddr[verdict.Server.Address]
	if destination == nil || destination.isDead || destination.server.Token != verdict.Server.Token {
		// The number in front of the packet is that of an earlier incarnation, so the backend
		// server now at the address ignores it.
		return false
	}
	s.delivered++
	if destination.server.Service != c.service {
		s.wrongService++
	}
	if p.IsOpening {
		destination.flows[c.source] = true
		c.accepter, c.token = destination, destination.server.Token
		return true
	}
	if destination != c.accepter {
		s.wrongServer++
	}
	return true
}

// changeConditions changes the rotation, the backend servers, or the lag of a view.
func (s *simulation) changeConditions() {
	switch s.rng.IntN(6) {
	case 0:
		if len(s.inRotation) > 2 {
			i := s.rng.IntN(len(s.inRotation))
			s.inRotation = slices.Delete(s.inRotation, i, i+1)
		}
	case 1:
		for i := range s.entries {
			if !slices.Contains(s.inRotation, i) {
				s.update(i)
				s.inRotation = append(s.inRotation, i)
				break
			}
		}
	case 2:
		live := slices.DeleteFunc(slices.Clone(s.servers), func(h *simulatedServer) bool { return h.isDead })
		replaced := live[s.rng.IntN(len(live))]
		s.startServer(replaced.server.Address, serviceName(s.rng.IntN(simulatedServices)))
	case 3:
		s.update(s.rng.IntN(len(s.entries)))
	case 4:
		s.updateAll()
	case 5:
		s.now = s.now.Add(500 * time.Millisecond)
		for _, e := range s.entries {
			e.Sweep(s.now)
		}
	}
}

// Guards against packets that reach another service, or a later incarnation at a reused address,
// while entries join and leave the rotation and their views lag; and against flows that break
// although their backend server is alive.
func TestTokensWhileEntriesAndServersChange(t *testing.T) {
	t.Parallel()
	const packets = 500_000
	for _, hash := range []string{"modulo", "rendezvous"} {
		t.Run(hash, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, 11, hash == "rendezvous")
			var clients []*client
			for sent := range packets {
				if sent%400 == 0 {
					s.changeConditions()
				}
				if len(clients) < 400 {
					i := s.rng.IntN(simulatedServices)
					c := &client{
						source:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(s.rng.IntN(256)), byte(s.rng.IntN(256))}), uint16(1024+s.rng.IntN(60_000))),
						target:  s.routes[i].Address,
						service: serviceName(i),
					}
					if s.send(c, balancer.Packet{IsOpening: true}) {
						clients = append(clients, c)
						s.open++
					}
					continue
				}
				i := s.rng.IntN(len(clients))
				c := clients[i]
				accepted := s.send(c, balancer.Packet{Token: c.token, HasData: true, Sequence: uint32(sent), Acknowledged: uint32(sent)})
				if !accepted && !c.accepter.isDead && s.entryKnowsServer(c) {
					s.broken++
				}
				if c.accepter.isDead || s.rng.IntN(300) == 0 {
					clients = slices.Delete(clients, i, i+1)
				}
			}
			require.Zero(t, s.wrongService, "packets accepted by another service")
			require.Zero(t, s.wrongServer, "packets accepted by another backend server")
			require.Zero(t, s.broken, "packets lost although the entry knew the backend server")
			t.Logf("%d packets delivered, %d flows, %d backend servers started", s.delivered, s.open, len(s.servers))
		})
	}
}

// entryKnowsServer reports whether the entry that gets the packets of a flow has received all
// changes of its backend server.
func (s *simulation) entryKnowsServer(c *client) bool {
	e := s.entryFor(c)
	for i, other := range s.entries {
		if other == e {
			return !slices.ContainsFunc(s.pending[i], func(change director.Change) bool {
				server, ok := change.(director.ServerChanged)
				return ok && server.Server.Token == c.token
			})
		}
	}
	return false
}
