package director

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// requireToken checks the state of one backend server.
func (l *commandLog) requireToken(token director.Token, want director.State) {
	l.t.Helper()
	server, ok := l.machine.directory.Server(token)
	require.True(l.t, ok, "token %d does not exist", token)
	require.Equal(l.t, want.String(), server.State.String())
}

// Guards against resets of open flows at a live backend server for want of a proof that it has ended.
func TestLiveServerIsNeverGone(t *testing.T) {
	t.Parallel()
	expire := Expire{Lapsed: []director.Token{1}}
	for name, commands := range map[string][]Command{
		"a late withdrawal and a lease that expires":                {Withdraw{Host: "h1"}, expire},
		"a withdrawal without an acknowledgement":                   {announce("h1", addressA, 100, 2, true), Withdraw{Host: "h1", Incarnation: 100}, expire},
		"one announcement of another host at its address":           {announce("h2", addressA, 200, 1, false)},
		"one announcement of its host with a later start":           {announce("h1", addressA, 200, 1, false)},
		"one announcement of its host at another address":           {announce("h1", addressB, 100, 1, false)},
		"one announcement at its address and a lease that expires":  {announce("h2", addressA, 200, 1, false), expire},
		"one announcement at its address after a lease has expired": {expire, announce("h2", addressA, 200, 1, false)},
		"two announcements at its address while it has a lease":     {announce("h2", addressA, 200, 1, false), announce("h2", addressA, 200, 2, false)},
		"a copy of the announcement at its address":                 {expire, announce("h2", addressA, 200, 1, false), announce("h2", addressA, 200, 1, false)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newCommandLog(t)
			l.mustApply(announce("h1", addressA, 100, 1, false))
			for _, command := range commands {
				l.mustApply(command)
				require.NotEqual(t, director.StateGone, l.machine.Servers()[0].State)
			}
			l = l.restart()
			require.NotEqual(t, director.StateGone, l.machine.Servers()[0].State)
		})
	}
}

// Guards against a live backend server that is refused because of one announcement of another writer.
func TestLiveServerOutlivesOtherWriter(t *testing.T) {
	t.Parallel()
	for name, odd := range map[string]Announce{
		"its address": announce("h2", addressA, 200, 1, false), "its name": announce("h1", addressB, 200, 1, false),
		"its name and address": announce("h1", addressA, 200, 1, false),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newCommandLog(t)
			l.mustApply(announce("h1", addressA, 100, 1, false))
			l.mustApply(odd)
			l = l.restart()
			l.mustApply(announce("h1", addressA, 100, 2, false))
			l.requireToken(1, director.StateDraining)
			l.mustApply(Expire{Lapsed: []director.Token{2}})
			l.mustApply(announce("h1", addressA, 100, 3, false))
			l.requireToken(1, director.StateReady)
		})
	}
}

// Guards against flows that hang at a backend server that has certainly ended.
func TestSupersededServerIsGone(t *testing.T) {
	t.Parallel()
	for name, successor := range map[string]func(sequence uint64) Announce{
		"its address": func(sequence uint64) Announce { return announce("h2", addressA, 200, sequence, false) },
		"its name":    func(sequence uint64) Announce { return announce("h1", addressB, 200, sequence, false) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newCommandLog(t)
			l.mustApply(announce("h1", addressA, 100, 1, false))
			l.mustApply(successor(1))
			l.mustApply(Expire{Lapsed: []director.Token{1}})
			l = l.restart()
			l.mustApply(successor(2))
			l = l.restart()
			l.requireToken(1, director.StateGone)
			l.requireToken(2, director.StateReady)
		})
	}
}

// Guards against a reset of flows that a backend server holds under the token of its earlier start.
func TestRestartedServerKeepsFlowsOfEarlierToken(t *testing.T) {
	t.Parallel()
	l := newCommandLog(t)
	l.mustApply(announce("h1", addressA, 100, 1, false))
	l.mustApply(announce("h1", addressA, 200, 1, false))
	l.mustApply(Expire{Lapsed: []director.Token{1}})
	for sequence := range uint64(3) {
		l.mustApply(announce("h1", addressA, 200, 2+sequence, false))
		l = l.restart()
		l.requireToken(1, director.StateDraining)
		l.requireToken(2, director.StateReady)
	}
	_, ok := l.machine.IsKnown(announce("h1", addressA, 200, 9, false).Announcements[0])
	require.True(t, ok, "renewals must not fill the log")
	l.mustApply(Expire{Forget: []director.Token{1}})
	require.Len(t, l.machine.Servers(), 1)
}
