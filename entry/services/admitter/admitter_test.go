package admitter_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/services/admitter"
)

var start = time.Unix(1_000_000, 0)

// exhausted is a service whose 100 slots are all in use; this entry has a tenth of the arrivals.
func exhausted(ownRequests int) admitter.Load {
	return admitter.Load{
		Ranks:       admitter.Ranks{1, 2, 5},
		Groups:      []admitter.GroupLoad{{Slots: 60, Requests: 120}, {Slots: 40, Requests: 180}},
		OwnRequests: ownRequests, OwnArrivals: 100, AllArrivals: 1000,
	}
}

func requireDecision(t *testing.T, want admitter.Reason, f admitter.Flow) {
	t.Helper()
	require.Equal(t, want, admitter.New(admitter.Settings{}).Decide(f, start))
}

// Guards against refusals while a slot is free, against refusals by figures that are missing, old or
// contradictory, and against a lower rank that is admitted where a higher one is refused.
func TestSlots(t *testing.T) {
	t.Parallel()
	t.Run("the share of the entry is 30 requests", func(t *testing.T) {
		t.Parallel()
		requireDecision(t, admitter.ReasonNone, admitter.Flow{Priority: 5, Load: exhausted(29)})
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 5, Load: exhausted(30)})
	})
	t.Run("a higher rank is refused later", func(t *testing.T) {
		t.Parallel()
		requireDecision(t, admitter.ReasonNone, admitter.Flow{Priority: 2, Load: exhausted(37)})
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 2, Load: exhausted(38)})
		requireDecision(t, admitter.ReasonNone, admitter.Flow{Priority: 1, Load: exhausted(44)})
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 1, Load: exhausted(45)})
	})
	t.Run("an unknown priority has the lowest rank", func(t *testing.T) {
		t.Parallel()
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 3, Load: exhausted(30)})
	})
	t.Run("a free slot in any data centre admits", func(t *testing.T) {
		t.Parallel()
		l := exhausted(40)
		l.Groups[0].Requests = 59
		requireDecision(t, admitter.ReasonNone, admitter.Flow{Priority: 5, Load: l})
	})
	t.Run("requests below nine tenths of the limit admit", func(t *testing.T) {
		t.Parallel()
		l := exhausted(40)
		l.Groups[1].Requests = 149
		requireDecision(t, admitter.ReasonNone, admitter.Flow{Priority: 5, Load: l})
	})
	t.Run("a burst that the shared figures do not show yet leaves room for the highest rank", func(t *testing.T) {
		t.Parallel()
		l := exhausted(41)
		l.Groups[0].Requests = 20
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 5, Load: l})
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 2, Load: l})
		requireDecision(t, admitter.ReasonNone, admitter.Flow{Priority: 1, Load: l})
	})
	t.Run("a short target latency allows less waiting", func(t *testing.T) {
		t.Parallel()
		l := exhausted(24)
		l.ResponseTime, l.TargetLatency = 100*time.Millisecond, 280*time.Millisecond
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 5, Load: l})
	})
	for name, change := range map[string]func(*admitter.Load){
		"no figures":        func(l *admitter.Load) { l.Age = -1 },
		"old figures":       func(l *admitter.Load) { l.Age = 3 * time.Second },
		"no arrivals":       func(l *admitter.Load) { l.AllArrivals = 0 },
		"no slots":          func(l *admitter.Load) { l.Groups = []admitter.GroupLoad{{Requests: 5}} },
		"no data centres":   func(l *admitter.Load) { l.Groups = nil },
		"more own than all": func(l *admitter.Load) { l.OwnArrivals, l.OwnRequests = 5000, 299 },
	} {
		t.Run(name+" admit", func(t *testing.T) {
			t.Parallel()
			l := exhausted(1000)
			change(&l)
			requireDecision(t, admitter.ReasonNone, admitter.Flow{Priority: 5, Load: l})
		})
	}
}

// Guards against long flows of a lower rank that take all slots before the figures of the other entries show it.
func TestLongFlowsOfLowerRanks(t *testing.T) {
	t.Parallel()
	long := func(ownRequests int, longShare float64) admitter.Load {
		l := exhausted(ownRequests)
		l.Groups, l.LongShare = []admitter.GroupLoad{{Slots: 100, Requests: 80}}, longShare
		return l
	}
	t.Run("they are refused earlier while the shared figures show free slots, as a burst may have begun since", func(t *testing.T) {
		t.Parallel()
		for requests, want := range map[int]admitter.Reason{13: admitter.ReasonNone, 14: admitter.ReasonOverCapacity} {
			l := long(requests, 0.5)
			l.Groups[0].Requests = 79
			requireDecision(t, want, admitter.Flow{Priority: 5, Load: l})
		}
	})
	t.Run("they are refused above the share of the entry in the slots", func(t *testing.T) {
		t.Parallel()
		requireDecision(t, admitter.ReasonNone, admitter.Flow{Priority: 5, Load: long(16, 0.5)})
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 5, Load: long(17, 0.5)})
		requireDecision(t, admitter.ReasonOverCapacity, admitter.Flow{Priority: 2, Load: long(17, 0.5)})
	})
	for name, f := range map[string]admitter.Flow{
		"flows of the highest rank":  {Priority: 1, Load: long(1000, 1)},
		"flows with a request each":  {Priority: 5, Load: long(40, 0.4)},
		"flows beside old figures":   {Priority: 5, Load: func() admitter.Load { l := long(1000, 1); l.Age = 3 * time.Second; return l }()},
		"flows of the only rank":     {Priority: 5, Load: func() admitter.Load { l := long(1000, 1); l.Ranks = admitter.Ranks{5}; return l }()},
		"flows without known slots":  {Priority: 5, Load: func() admitter.Load { l := long(1000, 1); l.Groups = nil; return l }()},
		"flows without known shares": {Priority: 5, Load: func() admitter.Load { l := long(1000, 1); l.AllArrivals = 0; return l }()},
	} {
		t.Run(name+" are admitted", func(t *testing.T) {
			t.Parallel()
			requireDecision(t, admitter.ReasonNone, f)
		})
	}
}

// offerLink offers new flows for two seconds to an entry with a link of 250 KB/s and returns the admitted ones
// of each priority. Each admitted flow sends 1,000 bytes, and open flows send openBytes a second.
func offerLink(a *admitter.Admitter, perSecond map[uint8]int, openBytes int) map[uint8]int {
	return offerMeasuredLink(a, perSecond, openBytes, func(time.Time) {})
}

// offerMeasuredLink also calls onAdmitted for each admitted flow.
func offerMeasuredLink(a *admitter.Admitter, perSecond map[uint8]int, openBytes int, onAdmitted func(now time.Time)) map[uint8]int {
	const step = time.Millisecond
	ranks := admitter.Ranks{1, 2}
	admitted, due := make(map[uint8]int), make(map[uint8]float64)
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(step) {
		a.RecordPacket(admitter.Packet{Size: openBytes / 1000}, now)
		for _, priority := range ranks {
			for due[priority] += float64(perSecond[priority]) * step.Seconds(); due[priority] >= 1; due[priority]-- {
				if a.Decide(admitter.Flow{Priority: priority, Load: admitter.Load{Ranks: ranks, Age: -1}}, now) == admitter.ReasonNone {
					admitted[priority]++
					a.RecordPacket(admitter.Packet{Size: 1000, IsExpected: true}, now)
					onAdmitted(now)
				}
			}
		}
	}
	return admitted
}

// Guards against a link that admits more than it can carry from the first moment of a burst on, against
// refusals below its rate, and against lower ranks that displace higher ones.
func TestLink(t *testing.T) {
	t.Parallel()
	settings := admitter.Settings{LinkRate: 250_000}
	t.Run("usual load is admitted", func(t *testing.T) {
		t.Parallel()
		require.Equal(t, map[uint8]int{1: 100, 2: 100}, offerLink(admitter.New(settings), map[uint8]int{1: 50, 2: 50}, 20_000))
	})
	t.Run("a burst is admitted up to the permitted use", func(t *testing.T) {
		t.Parallel()
		got := offerLink(admitter.New(settings), map[uint8]int{2: 2000}, 0)
		require.InDelta(t, 2*250, got[2], 25)
	})
	t.Run("the higher rank goes first", func(t *testing.T) {
		t.Parallel()
		got := offerLink(admitter.New(settings), map[uint8]int{1: 120, 2: 2000}, 0)
		require.GreaterOrEqual(t, got[1], 228, "0.95 of the higher rank")
		require.Positive(t, got[2], "the lower rank gets the rest")
	})
	t.Run("a share for lower ranks keeps them from starving", func(t *testing.T) {
		t.Parallel()
		s := settings
		s.LowestShare = 0.05
		got := offerLink(admitter.New(s), map[uint8]int{1: 2000, 2: 500}, 0)
		require.Positive(t, got[2])
		require.Less(t, got[2], got[1]/4)
	})
	t.Run("open flows that fill the link leave room for the highest rank only", func(t *testing.T) {
		t.Parallel()
		got := offerLink(admitter.New(settings), map[uint8]int{1: 50, 2: 50}, 240_000)
		require.GreaterOrEqual(t, got[1], 95)
		require.LessOrEqual(t, got[2], 20)
	})
	t.Run("open flows that fill the link leave room for a single rank", func(t *testing.T) {
		t.Parallel()
		require.GreaterOrEqual(t, offerLink(admitter.New(settings), map[uint8]int{2: 50}, 220_000)[2], 90)
	})
	t.Run("without a rate there is no limit", func(t *testing.T) {
		t.Parallel()
		require.Equal(t, 4000, offerLink(admitter.New(admitter.Settings{}), map[uint8]int{2: 2000}, 0)[2])
	})
}

// Guards against a link that refuses flows at a part of its rate although opening others is quick, and against
// one that is filled up although it loses packets or makes them wait.
func TestLinkUseFollowsMeasurements(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		// openingTime and copies are those after half a second.
		openingTime     time.Duration
		copies          int
		atLeast, atMost int
	}{
		"quick openings":     {openingTime: 5 * time.Millisecond, atLeast: 470, atMost: 510},
		"a loss":             {openingTime: 5 * time.Millisecond, copies: 3, atLeast: 360, atMost: 445},
		"openings that wait": {openingTime: 150 * time.Millisecond, atLeast: 150, atMost: 350},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, copies := admitter.New(admitter.Settings{LinkRate: 250_000}), test.copies
			got := offerMeasuredLink(a, map[uint8]int{2: 2000}, 0, func(now time.Time) {
				if now.Before(start.Add(500 * time.Millisecond)) {
					a.RecordOpened(5*time.Millisecond, now)
					return
				}
				a.RecordOpened(test.openingTime, now)
				for ; copies > 0; copies-- {
					a.RecordPacket(admitter.Packet{Size: 60, IsOpening: true, IsCopy: true}, now)
				}
			})
			require.GreaterOrEqual(t, got[2], test.atLeast, "of 500 that the link can carry")
			require.LessOrEqual(t, got[2], test.atMost, "of 500 that the link can carry")
		})
	}
}

// Guards against a link that is faster than its settings and whose use falls: the wait for it is less than
// expected while its queue seems long, so that the other openings seem delayed.
func TestFasterLinkKeepsItsUse(t *testing.T) {
	t.Parallel()
	a := admitter.New(admitter.Settings{LinkRate: 250_000})
	got := offerMeasuredLink(a, map[uint8]int{2: 2000}, 0, func(now time.Time) {
		d := 2 * time.Millisecond
		a.RecordOpened(d-a.LinkWait(now), now)
		a.RecordOpened(d, now)
	})
	require.GreaterOrEqual(t, got[2], 470, "of 500 that the link can carry")
}

// Guards against long flows of a lower rank that are admitted for its share again and again, although requests
// on the earlier ones are more than that share, and against another rank or service that loses its share by them.
func TestLowestShareCountsRequestsOnOpenFlows(t *testing.T) {
	t.Parallel()
	offer := func(service string, priority uint8) int {
		a, admitted := admitter.New(admitter.Settings{LowestShare: 0.05}), 0
		a.Decide(admitter.Flow{Priority: 1, Load: exhausted(30)}, start)
		for i := range 200 {
			if a.Decide(admitter.Flow{Service: "orders", Priority: 5, Load: exhausted(30)}, start) == admitter.ReasonNone {
				admitted++
			}
			if i%10 == 0 {
				a.RecordRequest(service, priority)
			}
		}
		return admitted
	}
	require.Equal(t, 10, offer("orders", 2), "one in 20 where another rank is served")
	require.Equal(t, 10, offer("manifests", 5), "one in 20 where another service is served")
	require.Zero(t, offer("orders", 5), "where one in 10 is served on open flows")
}

// Guards against a service whose flows all have a high priority and that counts as the lowest rank on the link,
// and against a rank between two others that open flows keep out.
func TestLinkRanksAllServices(t *testing.T) {
	t.Parallel()
	a, admitted := admitter.New(admitter.Settings{LinkRate: 250_000}), make(map[uint8]int)
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		a.RecordPacket(admitter.Packet{Size: 240}, now)
		for _, priority := range []uint8{0, 1, 2} {
			if now.UnixMilli()%50 == int64(priority) {
				f := admitter.Flow{Priority: priority, Load: admitter.Load{Ranks: admitter.Ranks{priority}, Age: -1}}
				if a.Decide(f, now) == admitter.ReasonNone {
					admitted[priority]++
				}
			}
		}
	}
	require.GreaterOrEqual(t, admitted[0], 19)
	require.GreaterOrEqual(t, admitted[1], 19)
	require.Less(t, admitted[2], 10)
}

// Guards against settings out of range that are accepted or reported without their name.
func TestSettings(t *testing.T) {
	t.Parallel()
	for _, s := range []admitter.Settings{{LinkRate: -1}, {LinkRate: math.NaN()}, {LinkRate: math.Inf(1)}, {LowestShare: -0.1}, {LowestShare: 0.6}, {LowestShare: math.NaN()}} {
		require.Error(t, s.Check())
	}
	require.NoError(t, admitter.Settings{LinkRate: 1, LowestShare: 0.5}.Check())
}
