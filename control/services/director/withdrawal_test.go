package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Guards against a live backend server whose flows are reset and whose announcements are refused
// because the withdrawal of its earlier start, which does not name a start, was delayed.
func TestLateWithdrawalEndsNoLaterStart(t *testing.T) {
	t.Parallel()
	// restarted returns the state after a backend server has started again and the withdrawal of its
	// earlier start has arrived.
	restarted := func(t *testing.T, draining bool) *commandLog {
		t.Helper()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 1, true))
		l.mustApply(announce("h1", addressA, 200, 1, draining))
		l.mustApply(Withdraw{Host: "h1"})
		return l
	}
	requireLast := func(t *testing.T, l *commandLog, token director.Token, state director.State) {
		t.Helper()
		servers := l.machine.Servers()
		last := servers[len(servers)-1]
		require.Equal(t, token, last.Token)
		require.Equal(t, state.String(), last.State.String())
	}
	t.Run("its flows go on and it gets no new ones", func(t *testing.T) {
		t.Parallel()
		requireLast(t, restarted(t, false), 2, director.StateDraining)
	})
	t.Run("it is ready after its next announcement", func(t *testing.T) {
		t.Parallel()
		for name, after := range map[string]func(*commandLog) *commandLog{
			"running": func(l *commandLog) *commandLog { return l }, "restarted": (*commandLog).restart,
		} {
			l := after(restarted(t, false))
			l.mustApply(announce("h1", addressA, 200, 2, false))
			requireLast(t, l, 2, director.StateReady)
			l.mustApply(Expire{Lapsed: []director.Token{2}})
			require.Equal(t, director.StateLapsed, l.machine.Servers()[1].State, name)
		}
	})
	t.Run("one that drains is told apart by its next announcement, too", func(t *testing.T) {
		t.Parallel()
		l := restarted(t, true)
		l.mustApply(announce("h1", addressA, 200, 2, true))
		l.mustApply(Expire{Lapsed: []director.Token{2}})
		requireLast(t, l, 2, director.StateDraining)
		require.True(t, IsErrStaleAnnouncement(l.apply(announce("h1", addressA, 200, 1, false))))
	})
	t.Run("one that announces its drain then is not brought back by an earlier announcement", func(t *testing.T) {
		t.Parallel()
		l := restarted(t, false)
		l.mustApply(announce("h1", addressA, 200, 5, true))
		require.True(t, IsErrStaleAnnouncement(l.restart().apply(announce("h1", addressA, 200, 4, false))))
	})
	t.Run("one that stays silent gets no new flows after its lease has expired", func(t *testing.T) {
		t.Parallel()
		l := restarted(t, false).restart()
		l.mustApply(Expire{Lapsed: []director.Token{2}})
		requireLast(t, l, 2, director.StateDraining)
		require.False(t, l.machine.HasLease(l.machine.Servers()[1]))
	})
	t.Run("one that was cut off for a whole lease keeps its token", func(t *testing.T) {
		t.Parallel()
		l := restarted(t, false)
		l.mustApply(Expire{Lapsed: []director.Token{2}})
		l = l.restart()
		l.mustApply(announce("h1", addressA, 200, 5, false))
		requireLast(t, l, 2, director.StateReady)
		requireStartIndex(t, l.machine)
	})
	t.Run("one whose address was taken over gets no new flows", func(t *testing.T) {
		t.Parallel()
		l := restarted(t, false)
		l.mustApply(announce("h2", addressA, 300, 1, false))
		l.mustApply(announce("h1", addressA, 200, 5, false))
		l.requireToken(2, director.StateDraining)
		l.mustApply(Expire{Lapsed: []director.Token{2}})
		l.mustApply(announce("h2", addressA, 300, 2, false))
		l.mustApply(announce("h2", addressA, 300, 3, false))
		l.requireToken(2, director.StateGone)
		l.mustApply(announce("h1", addressA, 200, 6, false))
		l.requireToken(2, director.StateDraining)
		l.mustApply(Withdraw{Host: "h2", Incarnation: 300})
		l.mustApply(announce("h1", addressA, 200, 7, false))
		l.requireToken(2, director.StateDraining)
		requireStartIndex(t, l.machine)
	})
	t.Run("a withdrawal that names the start is final", func(t *testing.T) {
		t.Parallel()
		l := restarted(t, false)
		l.mustApply(Withdraw{Host: "h1", Incarnation: 200})
		l = l.restart()
		requireLast(t, l, 2, director.StateDraining)
		require.False(t, l.machine.HasLease(l.machine.Servers()[1]))
		require.True(t, IsErrStaleAnnouncement(l.apply(announce("h1", addressA, 200, 5, false))))
		requireLast(t, l, 2, director.StateDraining)
	})
}

// Guards against a withdrawal that renews the lease of a backend server that has stopped.
func TestWithdrawalRenewsNoLease(t *testing.T) {
	t.Parallel()
	for name, incarnation := range map[string]uint64{"without the start": 0, "with the start": 100} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.declare()
			require.NoError(t, f.announce("h1", addressA, 1))
			f.advance(time.Second)
			require.NoError(t, f.service.Withdraw(t.Context(), "h1", incarnation))
			f.requireState(1, director.StateDraining)
			f.advance(lease - time.Second + 2*sweepPeriod)
			require.False(t, f.replica.machine.HasLease(f.replica.machine.Servers()[0]))
			f.advance(goneRetention + time.Second)
			require.Empty(t, f.replica.machine.Servers())
		})
	}
}
