package director

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
	discard "github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

var errUnreachable = errors.New("the leader is unreachable")

// leaderLink is a LeaderClient that calls another Service directly, unless it is unreachable.
type leaderLink struct {
	mu            sync.Mutex
	to            *Service
	isUnreachable bool
	registrations []Registration
}

func (l *leaderLink) Register(ctx context.Context, _ netip.AddrPort, r *Registration) (*RegistrationResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isUnreachable {
		return nil, errUnreachable
	}
	l.registrations = append(l.registrations, *r)
	return l.to.Register(ctx, r)
}

func (l *leaderLink) setUnreachable(isUnreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isUnreachable = isUnreachable
}

// replicaPair is a leader and a replica that follows it. Both see the same state.
type replicaPair struct {
	*fixture
	follower *Service
	link     *leaderLink
}

func newPair(t *testing.T) *replicaPair {
	t.Helper()
	p := &replicaPair{fixture: newFixture(t)}
	p.link = &leaderLink{to: p.service}
	followerReplica := &replica{machine: p.replica.machine, status: replicator.Status{
		Role: replicator.RoleFollower, HasQuorum: true, CaughtUpIndex: 1, AppliedIndex: 1, LeaderAddress: addressB, Membership: members(3),
	}}
	p.follower = NewService(Settings{Lease: lease, MinVoters: 3}, followerReplica, p.replica.machine, p.link, p.clock, discard.Discard())
	startForwarding(t, p.follower)
	p.declare()
	return p
}

func (p *replicaPair) announceAtFollower(host string, address netip.AddrPort, incarnation, sequence uint64, draining bool) error {
	return p.follower.Announce(p.t.Context(), announce(host, address, incarnation, sequence, draining).Announcements[0])
}

// Guards against replicas that redirect backend servers to the leader, which cannot handle
// the announcements of all of them.
func TestAnnounceAtAnyReplica(t *testing.T) {
	t.Parallel()
	t.Run("a new start is recorded when it is acknowledged", func(t *testing.T) {
		t.Parallel()
		p := newPair(t)
		require.NoError(t, p.announceAtFollower("h1", addressA, 100, 1, false))
		p.requireState(1, director.StateReady)
		require.NoError(t, p.announceAtFollower("h1", addressA, 100, 2, true))
		p.requireState(1, director.StateDraining)
	})
	t.Run("renewals at a replica that does not lead keep the lease", func(t *testing.T) {
		t.Parallel()
		p := newPair(t)
		require.NoError(t, p.announceAtFollower("h1", addressA, 100, 1, false))
		require.NoError(t, p.announceAtFollower("h2", addressB, 100, 1, false))
		registered := len(p.link.registrations)
		for i := range uint64(8) {
			require.NoError(t, p.announceAtFollower("h1", addressA, 100, 2+i, false))
			p.advance(time.Second)
			p.follower.report(t.Context())
		}
		p.requireState(1, director.StateReady)
		p.requireState(2, director.StateLapsed)
		for _, r := range p.link.registrations[registered:] {
			require.Empty(t, r.Announcements, "renewals are sent as tokens")
		}
	})
	t.Run("stale announcements and unknown services are refused", func(t *testing.T) {
		t.Parallel()
		p := newPair(t)
		require.NoError(t, p.announceAtFollower("h1", addressA, 200, 5, true))
		require.True(t, IsErrStaleAnnouncement(p.announceAtFollower("h1", addressA, 200, 4, false)))
		require.True(t, IsErrStaleAnnouncement(p.announceAtFollower("h1", addressA, 100, 9, false)))
		unknownService := announce("h1", addressA, 300, 1, false).Announcements[0]
		unknownService.Server.Service = "nobody"
		require.True(t, IsErrServiceNotExist(p.follower.Announce(t.Context(), unknownService)))
		p.requireState(1, director.StateDraining)
	})
	t.Run("a backend server of a dropped service drains, and no other one starts", func(t *testing.T) {
		t.Parallel()
		p := newPair(t)
		require.NoError(t, p.announceAtFollower("h1", addressA, 100, 1, false))
		dropped := declaration(2).Declaration
		dropped.Services, dropped.Routes = nil, nil
		require.NoError(t, p.service.Declare(t.Context(), dropped))
		require.NoError(t, p.announceAtFollower("h1", addressA, 100, 2, true))
		p.requireState(1, director.StateDraining)
		require.True(t, IsErrServiceNotExist(p.announceAtFollower("h2", addressB, 100, 1, false)))
		require.True(t, IsErrServiceNotExist(p.announceAtFollower("h1", addressA, 200, 1, false)))
	})
	t.Run("entries are enlisted", func(t *testing.T) {
		t.Parallel()
		p := newPair(t)
		require.True(t, p.follower.Enlist("entry-1"))
		require.Eventually(t, func() bool { return p.replica.machine.HasEntry("entry-1") }, time.Second, time.Millisecond)
	})
}

// Guards against a replica that acknowledges renewals which never reach the leader: the
// backend server would lapse although its announcements are acknowledged.
func TestReplicaWithoutLeaderRefusesAnnouncements(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	require.NoError(t, p.announceAtFollower("h1", addressA, 100, 1, false))
	p.link.setUnreachable(true)
	require.ErrorIs(t, p.announceAtFollower("h1", addressA, 100, 2, true), errUnreachable, "a change needs the leader")
	require.NoError(t, p.announceAtFollower("h1", addressA, 100, 2, false), "a single lost report must not lead to refusals")
	for range 4 {
		p.follower.report(t.Context())
		p.clock.Advance(reportPeriod)
	}
	require.True(t, replicator.IsErrNoQuorum(p.announceAtFollower("h1", addressA, 100, 3, false)))
	p.link.setUnreachable(false)
	p.follower.report(t.Context())
	require.NoError(t, p.announceAtFollower("h1", addressA, 100, 4, false))
}

// Load test: the 3,900 backend servers of the design size announce themselves to one replica
// at once. Each must get an answer, and the leader must receive them in batches.
func TestAnnouncementsAreSentInBatches(t *testing.T) {
	t.Parallel()
	const hosts = 3900
	p := newPair(t)
	outcomes := make(chan error, hosts)
	for i := range hosts {
		go func() {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
			outcomes <- p.announceAtFollower(address.String(), address, 100, 1, false)
		}()
	}
	for range hosts {
		require.NoError(t, <-outcomes)
	}
	require.Len(t, p.replica.machine.Servers(), hosts)
	require.Less(t, len(p.link.registrations), hosts/4)
}

// Load test: 300 entries poll repeatedly while the leader cannot enlist them, as when a large
// deployment starts. They must not fill the queue that announcements share.
func TestEntriesLeaveRoomForAnnouncements(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	s := NewService(Settings{Lease: lease, MinVoters: 3}, f.replica, f.replica.machine, nil, f.clock, discard.Discard())
	for range 100 {
		for i := range 300 {
			require.True(t, s.Enlist(fmt.Sprint("entry-", i)))
		}
	}
	require.Equal(t, 300, s.forwardQueue.Len())
	// After the leader has failed to enlist them, the next polls can queue them again.
	batch := make([]forwardItem, 300)
	s.forward(t.Context(), batch[:s.forwardQueue.PopBatch(batch)])
	require.True(t, s.Enlist("entry-0"))
}

// stalledEnlisting is a replica that commits all commands except Enlist, which time out.
type stalledEnlisting struct{ *replica }

func (r stalledEnlisting) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if c, err := decode(command); err == nil {
		if _, ok := c.(Enlist); ok {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	return r.replica.Propose(ctx, command)
}

// Load test: hundreds of entries are enlisted while backend servers announce themselves. An
// announcement must not wait for the entries of its batch.
func TestAnnouncementsDoNotWaitForEntries(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.declare()
	s := NewService(Settings{Lease: lease, MinVoters: 3}, stalledEnlisting{f.replica}, f.replica.machine, nil, f.clock, discard.Discard())
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	result, err := s.Register(ctx, &Registration{
		Entries: []string{"entry-1", "entry-2"}, Announcements: announce("h1", addressA, 100, 1, false).Announcements,
	})
	require.NoError(t, err)
	require.Empty(t, result.Refusals)
	f.requireState(1, director.StateReady)
}

// lateCommits is a replica whose commands have unknown outcomes: the first one's call ends at once, and those of later
// ones only with their contexts.
type lateCommits struct {
	*replica
	commands chan []byte
}

func (r lateCommits) Propose(ctx context.Context, command []byte) ([]byte, error) {
	r.commands <- command
	if len(r.commands) > 1 {
		<-ctx.Done()
	}
	return nil, replicator.ErrOutcomeUnknown{Reason: "test"}
}

// Guards against a change that is committed and refused all the same: while disks are slow, callers repeat it, and each
// copy waited for its own commit.
func TestChangeIsAcknowledgedOnceAnEarlierCopyIsCommitted(t *testing.T) {
	t.Parallel()
	a := announce("h1", addressA, 100, 1, false).Announcements[0]
	for name, call := range map[string]func(ctx context.Context, s *Service) error{
		"announcement": func(ctx context.Context, s *Service) error { return s.Announce(ctx, a) },
		"registration": func(ctx context.Context, s *Service) error {
			_, err := s.Register(ctx, &Registration{Announcements: []Announcement{a}})
			return err
		},
		"declaration": func(ctx context.Context, s *Service) error { return s.Declare(ctx, declaration(2).Declaration) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.declare()
			late := lateCommits{replica: f.replica, commands: make(chan []byte, 2)}
			s := NewService(Settings{Lease: lease, MinVoters: 3}, late, f.replica.machine, nil, f.clock, discard.Discard())
			startForwarding(t, s)
			ctx, cancel := context.WithTimeout(t.Context(), registerTimeout)
			defer cancel()
			require.True(t, replicator.IsErrOutcomeUnknown(call(ctx, s)))
			repeated := make(chan error, 1)
			go func() { repeated <- call(ctx, s) }()
			require.Eventually(t, func() bool { return len(late.commands) == 2 }, 5*time.Second, time.Millisecond)
			_, err := f.replica.Propose(t.Context(), <-late.commands)
			require.NoError(t, err)
			require.NoError(t, <-repeated)
		})
	}
}

// Guards against refusals while a leader is elected: thousands of backend servers would
// then ask one replica after the other.
func TestAnnouncementsWaitForCurrentReplica(t *testing.T) {
	t.Parallel()
	const callers = 100
	for name, becomesCurrent := range map[string]bool{"a leader is elected": true, "no leader is elected": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := timer.NewFake(time.Unix(1000, 0))
			var isCurrent atomic.Bool
			g := newGate(clock)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { g.run(ctx, isCurrent.Load) })
			outcomes := make(chan error, callers)
			for range callers {
				running.Go(func() { outcomes <- g.wait(ctx, isCurrent.Load) })
			}
			require.Never(t, func() bool { return len(outcomes) > 0 }, 50*time.Millisecond, 10*time.Millisecond)
			isCurrent.Store(becomesCurrent)
			for range callers {
				requireOutcome(t, clock, outcomes, becomesCurrent)
			}
			cancel()
			running.Wait()
		})
	}
}

// requireOutcome advances the clock until a call returns, and checks its error.
func requireOutcome(t *testing.T, clock *timer.Fake, outcomes <-chan error, isServed bool) {
	t.Helper()
	for range 1000 {
		select {
		case err := <-outcomes:
			require.Equal(t, isServed, err == nil, err)
			require.Equal(t, !isServed, replicator.IsErrNoQuorum(err))
			return
		default:
			clock.Advance(currentCheckPeriod)
			time.Sleep(time.Millisecond)
		}
	}
	t.Fatal("a call did not return")
}
