package director

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Guards against new flows to a draining backend server that entries know as one whose lease has
// expired, and use if its service has no others.
func TestSilentServerStaysDraining(t *testing.T) {
	t.Parallel()
	silent := func(t *testing.T) *commandLog {
		t.Helper()
		l := newCommandLog(t)
		l.mustApply(announce("h1", addressA, 100, 1, true))
		l.mustApply(Expire{Lapsed: []director.Token{1}})
		l.requireStates(map[string]director.State{"h1": director.StateDraining})
		return l
	}
	t.Run("its lease expires once", func(t *testing.T) {
		t.Parallel()
		l := silent(t).restart()
		require.False(t, l.machine.HasLease(l.machine.Servers()[0]))
	})
	t.Run("its next announcement renews the lease", func(t *testing.T) {
		t.Parallel()
		l := silent(t).restart()
		_, ok := l.machine.IsKnown(announce("h1", addressA, 100, 2, true).Announcements[0])
		require.False(t, ok, "taken for the renewal of a lease that has expired")
		l.mustApply(announce("h1", addressA, 100, 2, true))
		require.True(t, l.machine.HasLease(l.machine.Servers()[0]))
		l.mustApply(announce("h1", addressA, 100, 3, false))
		l.requireStates(map[string]director.State{"h1": director.StateReady})
	})
	t.Run("its record is removed", func(t *testing.T) {
		t.Parallel()
		l := silent(t)
		l.mustApply(Expire{Forget: []director.Token{1}})
		require.Empty(t, l.machine.Servers())
	})
	t.Run("its record is removed after its flows have ended", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t)
		f.declare()
		require.NoError(t, f.service.Announce(t.Context(), announce("h1", addressA, 100, 1, true).Announcements[0]))
		f.advance(lease + goneRetention)
		f.requireState(1, director.StateDraining)
		f.advance(3 * time.Second)
		require.Empty(t, f.replica.machine.Servers())
	})
}
