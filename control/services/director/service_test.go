package director

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
	discard "github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const lease = 4 * time.Second

// replica is a replicator.Proposer that applies commands immediately, without replication.
type replica struct {
	machine *Machine
	mu      sync.Mutex
	index   uint64
	status  replicator.Status
}

func (r *replica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	return r.machine.Apply(r.index, command)
}

func (r *replica) ReadBarrier(context.Context) error {
	switch {
	case !r.status.HasQuorum:
		return replicator.ErrNoQuorum{Reason: "test"}
	case r.status.Role != replicator.RoleLeader:
		return replicator.ErrNotLeader{Address: r.status.LeaderAddress}
	}
	return nil
}

func (r *replica) Status() replicator.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

type fixture struct {
	t       *testing.T
	replica *replica
	service *Service
	clock   *timer.Fake
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, replica: &replica{machine: NewMachine()}, clock: timer.NewFake(time.Unix(1000, 0))}
	f.replica.status = replicator.Status{Role: replicator.RoleLeader, HasQuorum: true, CaughtUpIndex: 1, AppliedIndex: 1, Membership: members(3)}
	f.service = NewService(Settings{Lease: lease, MinVoters: 3}, f.replica, f.replica.machine, nil, f.clock, discard.Discard())
	startForwarding(t, f.service)
	return f
}

// startForwarding runs RunForwarding of a service until the test ends.
func startForwarding(t *testing.T, s *Service) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.RunForwarding(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func members(voters int) storer.Membership {
	var m storer.Membership
	for i := range voters {
		m = m.With(storer.Member{ID: storer.Identity{byte(i + 1)}, Voter: true})
	}
	return m
}

func (f *fixture) declare() {
	f.t.Helper()
	require.NoError(f.t, f.service.Declare(f.t.Context(), declaration(1, route(routeA, "orders")).Declaration))
}

func (f *fixture) announce(host string, address netip.AddrPort, sequence uint64) error {
	return f.service.Announce(f.t.Context(), announce(host, address, 100, sequence, false).Announcements[0])
}

// advance advances the clock by d and checks the leases as Run does.
func (f *fixture) advance(d time.Duration) {
	for ; d > 0; d -= sweepPeriod {
		f.clock.Advance(sweepPeriod)
		f.service.sweep(f.t.Context())
	}
}

func (f *fixture) requireState(token director.Token, want director.State) {
	f.t.Helper()
	for _, s := range f.replica.machine.Servers() {
		if s.Token == token {
			require.Equal(f.t, want.String(), s.State.String())
			return
		}
	}
	f.t.Fatalf("token %d does not exist", token)
}

func TestLeases(t *testing.T) {
	t.Parallel()
	t.Run("only a backend server that does not renew its lease lapses", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.declare()
		require.NoError(t, f.announce("h1", addressA, 1))
		require.NoError(t, f.announce("h2", addressB, 1))
		for i := range uint64(5) {
			f.advance(time.Second)
			require.NoError(t, f.announce("h2", addressB, 2+i))
		}
		f.requireState(1, director.StateLapsed)
		f.requireState(2, director.StateReady)
	})
	t.Run("a new leader waits a whole lease", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.declare()
		require.NoError(t, f.announce("h1", addressA, 1))
		f.replica.status.Role = replicator.RoleFollower
		f.advance(10 * time.Second)
		f.replica.status.Role = replicator.RoleLeader
		f.advance(lease)
		f.requireState(1, director.StateReady)
		f.advance(time.Second)
		f.requireState(1, director.StateLapsed)
	})
	t.Run("a process that was paused waits a whole lease", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.declare()
		require.NoError(t, f.announce("h1", addressA, 1))
		f.advance(time.Second)
		f.clock.Advance(time.Minute)
		f.advance(lease)
		f.requireState(1, director.StateReady)
	})
	t.Run("the record of a stopped backend server is removed after its flows have ended", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.declare()
		require.NoError(t, f.announce("h1", addressA, 1))
		require.NoError(t, f.service.Withdraw(t.Context(), "h1", 100))
		f.advance(goneRetention)
		f.requireState(1, director.StateDraining)
		f.advance(2 * time.Second)
		require.Empty(t, f.replica.machine.Servers())
	})
}

func TestRefusals(t *testing.T) {
	t.Parallel()
	t.Run("an announcement for an unknown service changes nothing", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.declare()
		require.NoError(t, f.announce("h1", addressA, 1))
		unknownService := announce("h1", addressA, 100, 9, false).Announcements[0]
		unknownService.Server.Service = "nobody"
		require.True(t, IsErrServiceNotExist(f.service.Announce(t.Context(), unknownService)))
		f.requireState(1, director.StateReady)
	})
	t.Run("a replica that does not lead names the leader", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.replica.status.Role, f.replica.status.LeaderAddress = replicator.RoleFollower, addressB
		require.True(t, replicator.IsErrNotLeader(f.service.Declare(t.Context(), declaration(1).Declaration)))
		require.True(t, replicator.IsErrNotLeader(f.service.Withdraw(t.Context(), "h1", 100)))
	})
	t.Run("nothing is accepted before enough replicas vote", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.replica.status.Membership = members(2)
		require.True(t, replicator.IsErrNoQuorum(f.service.Declare(t.Context(), declaration(1).Declaration)))
	})
	t.Run("a repeated declaration is acknowledged and not stored again", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.declare()
		stored := f.replica.index
		f.declare()
		require.Equal(t, stored, f.replica.index)
		f.replica.status.HasQuorum = false
		require.True(t, replicator.IsErrNoQuorum(f.service.Declare(t.Context(), declaration(1).Declaration)))
	})
	t.Run("a read without a quorum fails", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.declare()
		f.replica.status.HasQuorum = false
		_, err := f.service.Declared(t.Context())
		require.True(t, replicator.IsErrNoQuorum(err))
	})
	t.Run("invalid declarations", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		noTimeout := declaration(1, route(routeA, "orders")).Declaration
		noTimeout.Routes[0].Timeout = 0
		noWeight := route(routeA, "orders")
		noWeight.Shares[0].Weight = 0
		for name, d := range map[string]director.Declaration{
			"a route to no service":       declaration(1, route(routeA, "nobody")).Declaration,
			"two routes with one address": declaration(1, route(routeA, "orders"), route(routeA, "manifests")).Declaration,
			"no timeout":                  noTimeout,
			"no weight":                   declaration(1, noWeight).Declaration,
		} {
			require.True(t, IsErrInvalidDeclaration(f.service.Declare(t.Context(), d)), name)
		}
		require.Zero(t, f.replica.machine.Declared().Version)
	})
}
