package director

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	simulatedHosts    = 6
	simulatedStep     = 100 * time.Millisecond
	simulatedInterval = 1200 * time.Millisecond
)

// simulatedHost is a backend server that restarts, moves to other addresses and is cut off.
type simulatedHost struct {
	name        string
	address     netip.AddrPort
	incarnation uint64
	sequence    uint64
	isLive      bool
	isDraining  bool
	cutUntil    time.Time
	announceAt  time.Time
}

// delayedCommand is a message that arrives later than it was sent.
type delayedCommand struct {
	at      time.Time
	command func() error
}

// simulation runs backend servers against one replica in virtual time. Messages are delayed and
// repeated, and another writer sends announcements with their names and addresses, each once or in two
// copies.
type simulation struct {
	*fixture
	rng     *rand.Rand
	hosts   []*simulatedHost
	delayed []delayedCommand
	odd     uint64
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := &simulation{fixture: newFixture(t), rng: rand.New(rand.NewPCG(seed, 9))}
	s.declare()
	for i := range simulatedHosts {
		h := &simulatedHost{name: fmt.Sprint("h", i)}
		s.hosts = append(s.hosts, h)
		s.startHost(h)
	}
	return s
}

func (s *simulation) now() uint64 { return uint64(s.clock.Now().UnixMilli()) }

// startHost starts a host at an address that no live host has.
func (s *simulation) startHost(h *simulatedHost) {
	for {
		h.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + s.rng.IntN(simulatedHosts+2))}), 80)
		if !slices.ContainsFunc(s.hosts, func(other *simulatedHost) bool { return other != h && other.isLive && other.address == h.address }) {
			break
		}
	}
	h.isLive, h.isDraining, h.incarnation, h.sequence, h.announceAt = true, false, s.now(), 0, s.clock.Now()
}

// send delivers a message now or, behind a cut, late or never.
func (s *simulation) send(h *simulatedHost, command func() error) {
	switch {
	case !s.clock.Now().Before(h.cutUntil):
		_ = command() // The host does not depend on the outcome.
	case s.rng.IntN(2) == 0:
		s.delayed = append(s.delayed, delayedCommand{at: h.cutUntil.Add(time.Duration(s.rng.IntN(4000)) * time.Millisecond), command: command})
	}
}

func (s *simulation) announceHost(h *simulatedHost) {
	h.sequence++
	h.announceAt = s.clock.Now().Add(simulatedInterval)
	a := announce(h.name, h.address, h.incarnation, h.sequence, h.isDraining).Announcements[0]
	s.send(h, func() error { return s.service.Announce(s.t.Context(), a) })
}

// disturb changes a random host.
func (s *simulation) disturb() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	switch s.rng.IntN(6) {
	case 0:
		h.cutUntil = s.clock.Now().Add(time.Duration(s.rng.IntN(8000)) * time.Millisecond)
	case 1:
		h.isLive = false
	case 2:
		h.isDraining = true
	case 3:
		if h.isLive && h.isDraining {
			s.send(h, func() error { return s.service.Withdraw(s.t.Context(), h.name, 0) })
			h.isLive = s.rng.IntN(2) == 0
		}
	case 4:
		if !h.isLive {
			s.startHost(h)
		}
	case 5:
		s.odd++
		odd := announce(h.name, h.address, s.now()+s.odd%1000, 1, false).Announcements[0]
		if s.rng.IntN(2) == 0 {
			odd.Server.Host = fmt.Sprint("odd", s.odd)
		}
		send := func() error { return s.service.Announce(s.t.Context(), odd) }
		_ = send() // It may be refused.
		s.delayed = append(s.delayed, delayedCommand{at: s.clock.Now().Add(time.Duration(s.rng.IntN(8000)) * time.Millisecond), command: send})
	}
}

func (s *simulation) step() {
	s.clock.Advance(simulatedStep)
	now := s.clock.Now()
	due := func(d delayedCommand) bool { return !now.Before(d.at) }
	for _, d := range s.delayed {
		if due(d) {
			_ = d.command() // A late message may be refused.
		}
	}
	s.delayed = slices.DeleteFunc(s.delayed, due)
	for _, h := range s.hosts {
		if h.isLive && !now.Before(h.announceAt) {
			s.announceHost(h)
		}
	}
	s.service.sweep(s.t.Context())
}

// record returns the record of a host's current start.
func (s *simulation) record(h *simulatedHost) (director.Server, bool) {
	return s.replica.machine.findStart(announce(h.name, h.address, h.incarnation, 1, false).Announcements[0].Server)
}

// Guards against a live backend server that is gone, or gets no new flows for good.
func TestLiveServersKeepTheirFlows(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, seed)
			for i := range 1500 {
				s.step()
				if i%7 == 0 {
					s.disturb()
				}
				for _, h := range s.hosts {
					if server, ok := s.record(h); ok && h.isLive {
						require.NotEqual(t, director.StateGone, server.State, "step %d: %s", i, h.name)
					}
				}
				requireStartIndex(t, s.replica.machine)
			}
			s.requireRecovery()
		})
	}
}

// requireRecovery checks that all live hosts get new flows once nothing disturbs them.
func (s *simulation) requireRecovery() {
	s.t.Helper()
	for _, h := range s.hosts {
		h.cutUntil = time.Time{}
		if h.isDraining {
			h.isLive = false
		}
	}
	for range int(4 * lease / simulatedStep) {
		s.step()
	}
	for _, h := range s.hosts {
		if server, ok := s.record(h); h.isLive {
			require.True(s.t, ok, h.name)
			require.Equal(s.t, director.StateReady.String(), server.State.String(), h.name)
		}
	}
}

// disturbMore adds restarts at the same address, leaders that change, restored snapshots and odd
// announcements in other forms to the disturbances.
func (s *simulation) disturbMore() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	switch s.rng.IntN(7) {
	case 0:
		if h.isLive {
			late := announce(h.name, h.address, h.incarnation, h.sequence+1, h.isDraining).Announcements[0]
			s.delayed = append(s.delayed, delayedCommand{
				at:      s.clock.Now().Add(time.Duration(s.rng.IntN(15000)) * time.Millisecond),
				command: func() error { return s.service.Announce(s.t.Context(), late) },
			})
			h.isDraining, h.incarnation, h.sequence, h.announceAt = false, s.now(), 0, s.clock.Now()
		}
	case 1:
		s.replica.status.Role = replicator.RoleFollower
		s.service.sweep(s.t.Context())
		s.replica.status.Role = replicator.RoleLeader
	case 2:
		data, err := s.replica.machine.Snapshot()
		require.NoError(s.t, err)
		require.NoError(s.t, s.replica.machine.Restore(data))
	case 3:
		s.clock.Advance(time.Duration(s.rng.IntN(5000)) * time.Millisecond) // The process was paused.
	case 4:
		h.cutUntil = s.clock.Now().Add(time.Duration(3000+s.rng.IntN(9000)) * time.Millisecond)
	case 5:
		other := s.hosts[s.rng.IntN(len(s.hosts))]
		_ = s.service.Announce(s.t.Context(), announce(h.name, other.address, s.now()+uint64(s.rng.IntN(2000)), uint64(s.rng.IntN(3)), false).Announcements[0])
	case 6:
		batch := Announce{}
		for range 3 {
			o := s.hosts[s.rng.IntN(len(s.hosts))]
			if o.isLive && !s.clock.Now().Before(o.cutUntil) {
				o.sequence++
				batch.Announcements = append(batch.Announcements, announce(o.name, o.address, o.incarnation, o.sequence, o.isDraining).Announcements[0])
			}
		}
		_, _ = s.service.Register(s.t.Context(), &Registration{Announcements: batch.Announcements})
	}
}

// Guards against a live start that is gone, changes its token or loses its new flows to an earlier one.
func TestStartsKeepTheirTokens(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, seed+1000)
			type start struct {
				name        string
				incarnation uint64
			}
			tokens := make(map[start]director.Token)
			stolen := 0
			for i := range 1500 {
				s.step()
				if i%7 == 0 {
					s.disturb()
				}
				if i%11 == 0 {
					s.disturbMore()
				}
				for _, h := range s.hosts {
					server, ok := s.record(h)
					if !ok || !h.isLive {
						continue
					}
					key := start{h.name, h.incarnation}
					if known, ok := tokens[key]; ok {
						require.Equal(t, known, server.Token, "step %d: %s", i, h.name)
					}
					tokens[key] = server.Token
					require.NotEqual(t, director.StateGone, server.State, "step %d: %s", i, h.name)
					for _, rival := range s.replica.machine.rivals(server) {
						if rival.Host == h.name && rival.Address == h.address && rival.State == director.StateReady && !isLater(rival, server) && server.State != director.StateReady {
							stolen++
						}
					}
				}
			}
			require.Zero(t, stolen, "steps in which an ended start got new flows of a live one")
			s.requireRecovery()
		})
	}
}
