package balancer_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
	"github.com/redwingledge/redwingledge/entry/services/hedger"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// newHedgedBalancer returns an entry whose first view no longer withholds second openings at start.
func newHedgedBalancer(t *testing.T, kind director.Kind, share float64, servers int, changes ...director.Change) *balancer.Balancer {
	t.Helper()
	settings := balancer.Settings{DataCentre: "a", MaxFlows: 10_000}
	if share > 0 {
		h, err := hedger.New(hedger.Settings{Share: share, After: hedger.DefaultAfter})
		require.NoError(t, err)
		settings.Hedger = h
	}
	b, changed := balancer.New(settings, rand.New(rand.NewPCG(1, 1))), routeToOrders()
	changed.Route.Kind = kind
	changes = append(changes, changed, director.VersionChanged{Version: 1})
	for token := range director.Token(servers) {
		changes = append(changes, serverChanged(token+1, director.StateReady))
	}
	b.Update(1, changes, true, start.Add(-3*time.Second))
	b.Update(2, nil, false, start)
	return b
}

// lateOpening opens a flow and returns the decisions at the time at which it is late.
func lateOpening(t *testing.T, b *balancer.Balancer) (first director.Token, decisions []balancer.SecondOpening) {
	t.Helper()
	for i := range 100 { // fills the limit
		acknowledge(t, b, callerAddress(i), b.Decide(opening(callerAddress(i), 0), start).Server.Token, start)
	}
	p := opening(caller, 0)
	p.MayRepeat = true
	first = b.Decide(p, start).Server.Token
	for at := time.Duration(0); at <= hedger.DefaultAfter; at += 10 * time.Millisecond {
		decisions, _ = b.SecondOpenings(nil, start.Add(at))
	}
	return first, decisions
}

// Guards against a second opening where none is allowed, or at a backend server that may take no flow now.
func TestNoSecondOpening(t *testing.T) {
	t.Parallel()
	rate, joins := director.ServiceChanged{Name: "orders", ColdRate: 1}, director.EntryAdded{Name: "e"}
	cold := director.ServerChanged{Server: server(2, "orders", "a").WithColdStart(time.Minute)}
	for name, tc := range map[string]struct {
		entry  *balancer.Balancer
		change []director.Change
		want   hedger.Reason
	}{
		"unsafe route":         {entry: newHedgedBalancer(t, director.KindUnsafe, 0.1, 2)},
		"no share":             {entry: newHedgedBalancer(t, director.KindSafe, 0, 2)},
		"no other":             {entry: newHedgedBalancer(t, director.KindSafe, 0.1, 1), want: hedger.ReasonNoServer},
		"other takes none now": {entry: newHedgedBalancer(t, director.KindSafe, 0.1, 1, rate, cold), want: hedger.ReasonNoServer},
		"entry joins":          {entry: newHedgedBalancer(t, director.KindSafe, 0.1, 2), change: []director.Change{joins}, want: hedger.ReasonRotation},
	} {
		tc.entry.Update(3, tc.change, false, start)
		_, decisions := lateOpening(t, tc.entry)
		require.Equal(t, tc.want != hedger.ReasonNone, len(decisions) > 0, name)
		for _, d := range decisions {
			require.Equal(t, tc.want, d.Withheld, name)
		}
	}
}

// Guards against a third backend server that a copy of the caller opens needlessly.
func TestCopyAfterSecondOpening(t *testing.T) {
	t.Parallel()
	b := newHedgedBalancer(t, director.KindDownload, 0.1, 4)
	first, decisions := lateOpening(t, b)
	second := decisions[0].Server.Token
	requireForwarded(t, b.Decide(opening(caller, 1), start.Add(firstRetransmission)), second)
	third := b.Decide(opening(caller, 2), start.Add(secondRetransmission)).Server.Token
	require.Len(t, map[director.Token]bool{first: true, second: true, third: true}, 3, "backend servers")
}

// openings is an entry with 14 backend servers and callers, in virtual time. A packet takes 3 ms between the
// entry and callers, 1 ms between it and backend servers, and 0.3 ms more on average. Requests take 22 ms.
type openings struct {
	name   string
	rng    *rand.Rand
	now    time.Time
	events []event
	entry  *balancer.Balancer
	// delay is how late in milliseconds a backend server answers an opening packet, or negative if it does not.
	delay func(o *openings, token director.Token) float64
	// loss is the share of packets that are lost on each leg.
	loss    float64
	callers []*openingCaller
	took    []time.Duration
	// resets counts packets of open flows that reach a backend server that does not hold them.
	late, sent, resets int
}

type event struct {
	time.Time
	run func()
}

// openingCaller is a caller whose flow carries one request. token is the one that it received last.
type openingCaller struct {
	*openings
	source        netip.AddrPort
	startedAt     time.Time
	token, holder director.Token
	isDone        bool
}

func (o *openings) after(d time.Duration, run func()) {
	at := o.now.Add(d)
	i := sort.Search(len(o.events), func(i int) bool { return o.events[i].After(at) })
	o.events = slices.Insert(o.events, i, event{at, run})
}

func (o *openings) deliver(milliseconds float64, run func()) {
	if o.rng.Float64() >= o.loss {
		o.after(time.Duration((milliseconds+o.rng.ExpFloat64()/3)*float64(time.Millisecond)), run)
	}
}

// send sends a packet and its copies until it is answered.
func (c *openingCaller) send(isAnswered func() bool, packet func(copies uint32) balancer.Packet) {
	for i, at := range []time.Duration{0, firstRetransmission, secondRetransmission} {
		c.after(at, func() {
			p := packet(uint32(i))
			p.Source, p.Destination = c.source, route
			if !isAnswered() {
				c.deliver(3, func() {
					token := c.entry.Decide(p, c.now).Server.Token
					c.deliver(1, func() { c.receive(p, token) })
				})
			}
		})
	}
}

// receive is a backend server, whose sequence starts at a multiple of its token. The caller opens the flow with
// the first answer, and sends the request with its acknowledgement.
func (c *openingCaller) receive(p balancer.Packet, token director.Token) {
	sequence := uint32(token) * 100_000_000
	switch {
	case p.IsOpening:
		if delay := c.delay(c.openings, token); delay >= 0 {
			c.deliver(3+delay, func() {
				if c.token = token; c.holder != 0 {
					return
				}
				c.holder = token
				c.took = append(c.took, c.now.Sub(c.startedAt))
				c.send(func() bool { return c.isDone }, func(uint32) balancer.Packet {
					return balancer.Packet{Token: c.token, Acknowledged: sequence, HasData: true, Sequence: 1}
				})
			})
		}
	case p.Acknowledged == sequence:
		c.deliver(25, func() {
			c.token, c.isDone = token, true
			c.entry.Decide(balancer.Packet{Source: c.source, Destination: route, Token: token, Acknowledged: sequence + 1, IsFinal: true}, c.now)
		})
	default:
		c.resets++
	}
}

// run opens 10,000 flows at 100 per second, and sends second openings at the same intervals.
func (o *openings) run() {
	for i := range 10_000 {
		c := &openingCaller{openings: o, source: callerAddress(i), startedAt: start.Add(time.Duration(i) * 10 * time.Millisecond)}
		o.callers = append(o.callers, c)
		for len(o.events) > 0 && o.events[0].Before(c.startedAt) {
			next := o.events[0]
			o.events, o.now = o.events[1:], next.Time
			next.run()
		}
		o.now = c.startedAt
		o.entry.Update(2, nil, false, o.now)
		decisions, _ := o.entry.SecondOpenings(nil, o.now)
		for _, d := range decisions {
			if o.late++; d.Withheld == hedger.ReasonNone {
				o.sent++
				c := o.callers[d.Source.Port()-callerAddress(0).Port()]
				o.deliver(1, func() { c.receive(balancer.Packet{IsOpening: true}, d.Server.Token) })
			}
		}
		c.send(func() bool { return c.holder != 0 }, func(copies uint32) balancer.Packet {
			return balancer.Packet{IsOpening: true, Retransmissions: copies, MayRepeat: true}
		})
	}
	slices.Sort(o.took)
}

// Guards against second openings that save nothing, exceed their limit, add to an overload or break a flow.
// docs/design/second-openings.md shows the table.
func TestSecondOpeningsTable(t *testing.T) {
	t.Parallel()
	onTime := func(*openings, director.Token) float64 { return 0 }
	t.Log("| scenario | share | late | sent % | p50 | p99 | p99.9 ms | resets |")
	for _, scenario := range []openings{
		{name: "usual", delay: onTime},
		// One backend server after the other goes silent for 4 s, after which its lease has expired.
		{name: "1 of 14 silent", delay: func(o *openings, token director.Token) float64 {
			if since := o.now.Sub(start); since%(10*time.Second) > 6*time.Second && int(since/(10*time.Second))%14 == int(token)-1 {
				return -1
			}
			return 0
		}},
		{name: "1 of 14 late by 100 ms", delay: func(o *openings, token director.Token) float64 {
			if token == 1 && o.now.Sub(start) > 10*time.Second {
				return 100
			}
			return 0
		}},
		{name: "1 of 200 packets lost", delay: onTime, loss: 0.005},
		{name: "all late by 100 ms on average", delay: func(o *openings, _ director.Token) float64 { return 100 * o.rng.ExpFloat64() }},
	} {
		for _, share := range []float64{0, 0.01, 0.02, 0.05} {
			o := scenario
			o.rng, o.now, o.entry = rand.New(rand.NewPCG(3, 3)), start, newHedgedBalancer(t, director.KindSafe, share, 14)
			o.run()
			at := func(p float64) float64 { return float64(o.took[int(p*float64(len(o.took)))].Microseconds()) / 1000 }
			t.Logf("| %s | %g | %d | %.2f | %.1f | %.1f | %.1f | %d |", o.name, share, o.late, float64(o.sent)/100, at(0.5), at(0.99), at(0.999), o.resets)
			require.LessOrEqual(t, float64(o.sent), share*10_000)
			require.Zero(t, o.resets)
			require.True(t, o.name != "1 of 14 silent" || share == 0 || at(0.999) < 100, "time of the slowest 1 in 1,000")
		}
	}
}
