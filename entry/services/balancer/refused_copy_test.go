package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// packetGap is the time between packets of a refusingEntry, so that it does not take itself for paused.
	packetGap        = 50 * time.Millisecond
	maxRefusingFlows = 2000
	// cutOffNotice is the time until the flows of an entry without a link move to others, after two failed probes.
	cutOffNotice = 600 * time.Millisecond
)

// refusingEntry is an entry without a free slot, which has had packets and no sign of change for 2 s.
type refusingEntry struct {
	*balancer.Balancer
	clock   *timer.Fake
	now     time.Time
	callers int
}

func newRefusingEntry() *refusingEntry {
	e := &refusingEntry{clock: timer.NewFake(start), now: start}
	settings := balancer.Settings{DataCentre: "a", MaxFlows: maxRefusingFlows, Clock: e.clock, Overload: &admitter.Settings{LinkRate: 1e7}}
	e.Balancer = balancer.New(settings, rand.New(rand.NewPCG(1, 1)))
	e.Update(1, []director.Change{
		routeToOrders(),
		director.VersionChanged{Version: 1},
		director.ServerChanged{Server: server(1, "orders", "a")},
		director.ServerChanged{Server: server(2, "orders", "b")},
	}, true, start)
	e.run(2*time.Second + packetGap) // The first packet, after packetGap, is a sign, too.
	return e
}

// run lets time pass in which other callers open flows and fill the slots.
func (e *refusingEntry) run(d time.Duration) {
	for end := e.now.Add(d); e.now.Before(end); {
		e.pass(packetGap)
		e.admitFlows()
		for range 10 {
			e.callers++
			source := callerAddress(1000 + e.callers)
			token := e.Decide(opening(source, 0), e.now).Server.Token
			e.Decide(balancer.Packet{Source: source, Destination: route, Token: token, HasData: true, Acknowledged: 1}, e.now)
		}
		e.SetSharedLoad(summary(50), e.now)
	}
}

// admitFlows hands figures to the entry that are too old to refuse a flow.
func (e *refusingEntry) admitFlows() {
	old := summary(50)
	old.Age = 3 * time.Second
	e.SetSharedLoad(old, e.now)
}

// pass lets time pass without packets.
func (e *refusingEntry) pass(d time.Duration) {
	e.now = e.now.Add(d)
	e.clock.Advance(d)
}

// Guards against callers that wait for 1.4 s although no entry has forwarded their opening packet, and against a
// reset of a flow that another entry may have opened.
func TestRefusedCopy(t *testing.T) {
	t.Parallel()
	update := func(changes ...director.Change) func(*refusingEntry) {
		return func(e *refusingEntry) { e.Update(2, changes, false, e.now) }
	}
	foreignData := func(n int) func(*refusingEntry) {
		return func(e *refusingEntry) {
			for i := range n {
				e.Decide(balancer.Packet{Source: callerAddress(800 + i), Destination: route, Token: 1, HasData: true}, e.now)
			}
		}
	}
	for name, tc := range map[string]struct {
		sign func(*refusingEntry)
		want balancer.Action
	}{
		"no sign":                    {sign: func(*refusingEntry) {}, want: balancer.ActionReset},
		"a backend server changes":   {sign: update(serverChanged(2, director.StateDraining)), want: balancer.ActionReset},
		"data of two other flows":    {sign: foreignData(2), want: balancer.ActionReset},
		"data of three other flows":  {sign: foreignData(3)},
		"an entry joins":             {sign: update(director.EntryAdded{Name: "e"})},
		"a data centre is taken out": {sign: update(director.DataCentreChanged{Name: "b", TakenOut: true})},
		"a data centre is back":      {sign: update(director.DataCentreChanged{Name: "b"})},
		"the configuration changes":  {sign: update(director.VersionChanged{Version: 2})},
		"a complete view": {sign: func(e *refusingEntry) {
			e.Update(2, []director.Change{routeToOrders(), director.VersionChanged{Version: 1}, serverChanged(1, director.StateReady)}, true, e.now)
		}},
		"the entry leaves":        {sign: func(e *refusingEntry) { e.LeaveRotation(start) }},
		"the entry is paused":     {sign: func(e *refusingEntry) { e.pass(firstRetransmission) }},
		"the VM is suspended":     {sign: func(e *refusingEntry) { e.clock.Advance(firstRetransmission) }},
		"the view is old":         {sign: func(e *refusingEntry) { e.run(800 * time.Millisecond) }},
		"suspended before a view": {sign: func(e *refusingEntry) { e.clock.Advance(firstRetransmission); e.Update(2, nil, false, e.now) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newRefusingEntry()
			requireRefused(t, e.Decide(opening(callerAddress(900), 0), e.now), balancer.ActionReset, balancer.ReasonOverCapacity)
			tc.sign(e)
			e.run(firstRetransmission)
			requireRefused(t, e.Decide(opening(callerAddress(901), 1), e.now), balancer.ActionDrop, balancer.ReasonOverCapacity)
			requireRefused(t, e.Decide(opening(callerAddress(900), 1), e.now), tc.want, balancer.ReasonOverCapacity)
		})
	}
	t.Run("the link limits flows", func(t *testing.T) {
		t.Parallel()
		e := newRefusingEntry()
		e.Decide(opening(callerAddress(900), 0), e.now)
		e.run(firstRetransmission)
		e.Decide(balancer.Packet{Source: callerAddress(800), Destination: route, Token: 1, HasData: true, Size: 200_000}, e.now)
		v := e.Decide(opening(callerAddress(900), 1), e.now)
		requireRefused(t, v, balancer.ActionDrop, balancer.ReasonOverCapacity)
		require.True(t, v.IsWithheld)
	})
	t.Run("2 s after a sign", func(t *testing.T) {
		t.Parallel()
		e := newRefusingEntry()
		e.Update(2, []director.Change{director.EntryAdded{Name: "e"}}, false, e.now)
		e.run(1800 * time.Millisecond)
		requireRefused(t, e.Decide(opening(callerAddress(900), 0), e.now), balancer.ActionReset, balancer.ReasonOverCapacity)
		requireRefused(t, e.Decide(opening(callerAddress(900), 1), e.now), balancer.ActionDrop, balancer.ReasonOverCapacity)
		e.run(firstRetransmission)
		requireRefused(t, e.Decide(opening(callerAddress(900), 2), e.now), balancer.ActionReset, balancer.ReasonOverCapacity)
	})
}

// Guards against a reset of a copy where this entry has not refused, in time, all that the caller sent before.
func TestRefusedCopyOfOtherPackets(t *testing.T) {
	t.Parallel()
	e := newRefusingEntry()
	requireDecision := func(t *testing.T, p balancer.Packet, want balancer.Action) balancer.Verdict {
		t.Helper()
		v := e.Decide(p, e.now)
		requireRefused(t, v, want, balancer.ReasonOverCapacity)
		return v
	}
	flow := func(i int, retransmissions, sequence uint32) balancer.Packet {
		p := opening(callerAddress(900+i), retransmissions)
		p.Sequence = sequence
		return p
	}
	for i := range 6 {
		requireDecision(t, flow(i, 0, 1), balancer.ActionReset)
	}
	e.run(firstRetransmission)
	requireDecision(t, flow(0, 2, 1), balancer.ActionDrop) // The first copy went through another entry.
	requireDecision(t, flow(1, 1, 2), balancer.ActionDrop) // The caller uses its port for another flow.
	waited := flow(2, 1, 1)
	waited.Waited = firstRetransmission / 2
	require.False(t, requireDecision(t, waited, balancer.ActionDrop).IsLate)
	large := flow(3, 1, 1)
	large.ResetSize = 1e7 // The link has no room for this reset.
	require.True(t, requireDecision(t, large, balancer.ActionDrop).IsWithheld)
	requireDecision(t, flow(4, 1, 1), balancer.ActionReset)
	requireDecision(t, flow(4, 1, 1), balancer.ActionDrop) // A duplicate.
	requireDecision(t, flow(4, 2, 1), balancer.ActionReset)
	e.run(2 * time.Second)
	e.Update(2, nil, false, e.now)
	requireDecision(t, flow(5, 1, 1), balancer.ActionDrop) // Forgotten.
}

// Guards against a reset of a flow that this entry has opened itself and does not know, because it tracks as many
// flows as it can, or the flow has ended.
func TestRefusedCopyOfForwardedFlow(t *testing.T) {
	t.Parallel()
	for name, forward := range map[string]func(*refusingEntry) balancer.Verdict{
		"not tracked": func(e *refusingEntry) balancer.Verdict { return e.Decide(opening(callerAddress(900), 1), e.now) },
		"ended": func(e *refusingEntry) balancer.Verdict {
			v := e.Decide(opening(callerAddress(900), 1), e.now)
			e.Decide(balancer.Packet{Source: callerAddress(900), Destination: route, Token: v.Server.Token, IsFinal: true}, e.now)
			return v
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newRefusingEntry()
			requireRefused(t, e.Decide(opening(callerAddress(900), 0), e.now), balancer.ActionReset, balancer.ReasonOverCapacity)
			e.admitFlows()
			if name == "not tracked" {
				for i := range maxRefusingFlows {
					e.Decide(opening(callerAddress(5000+i), 0), e.now)
				}
			}
			require.Equal(t, balancer.ActionForward, forward(e).Action)
			e.SetSharedLoad(summary(50), e.now)
			for copies := range uint32(4) {
				v := e.Decide(opening(callerAddress(900), copies), e.now)
				require.Equal(t, balancer.ReasonOverCapacity, v.Reason)
				require.True(t, copies == 0 || v.Action == balancer.ActionDrop, "copy %d", copies)
			}
		})
	}
}

// Guards against a reset of a flow that another entry may have opened if flows move without any sign. One entry
// refuses new flows and the other one forwards them; the transmissions of an opening packet reach them in all
// ways.
func TestRefusedCopyWithoutSigns(t *testing.T) {
	t.Parallel()
	transmissions := []time.Duration{0, firstRetransmission, secondRetransmission, 1400 * time.Millisecond}
	resets := 0
	for route := range 1 << len(transmissions) {
		e, elapsed, isForwarded := newRefusingEntry(), time.Duration(0), false
		for i, at := range transmissions {
			e.run(at - elapsed)
			elapsed = at
			e.Update(1, nil, false, e.now)
			if route>>i&1 == 1 {
				isForwarded = true
				continue
			}
			if v := e.Decide(opening(callerAddress(900), uint32(i)), e.now); v.Action == balancer.ActionReset {
				require.False(t, isForwarded, "transmission %d of route %b", i, route)
				resets++
			}
		}
	}
	require.Equal(t, 15, resets, "8, 4, 2 and 1 of the transmissions 0 to 3, as all before were refused here")
}

// isCutOff reports whether the link of an entry loses all packets, which begins some time before the flows move.
func (r *overloadRun) isCutOff(e *modelEntry, sinceMove time.Duration) bool {
	begin := r.calm + r.burst/4 + sinceMove
	return r.cutsOff && e == r.entries[0] && r.now >= begin && r.now < r.calm+r.burst/2
}

// entryOf returns the entry that gets the packets of a flow now.
func (r *overloadRun) entryOf(f *modelFlow) *modelEntry {
	if r.isCutOff(f.entry, 0) {
		return r.entries[1+f.source.Port()%uint16(len(r.entries)-1)]
	}
	return f.entry
}

// Guards against a reset of a flow whose opening packet went through another entry, under load: an entry
// forwards packets that are lost, its flows move to the others without a change of the view, and later back.
func TestRefusedCopyOfMovedFlows(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"V", "R"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := deployment(name, 8, false, 5).scaled().controlled()
			c.cutsOff = true
			r := runOverload(c)
			require.Zero(t, r.lateResets, "resets of flows that a backend server may have got, of %d resets of copies", r.copyResets)
			require.Positive(t, r.copyResets)
		})
	}
}
