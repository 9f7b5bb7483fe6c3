package claimer

import (
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
)

// addFaults schedules process restarts, process pauses and network partitions.
func (s *simulation) addFaults(duration time.Duration) {
	random := func() string { return s.names[s.rng.IntN(len(s.names))] }
	for at := time.Duration(0); at < duration; at += time.Duration(100+s.rng.IntN(900)) * time.Millisecond {
		name, other := random(), random()
		length := time.Duration(s.rng.IntN(3000)) * time.Millisecond
		switch s.rng.IntN(4) {
		case 0:
			s.schedule(at, "", -1, func() { s.start(name, false) })
		case 1:
			if s.rng.IntN(3) == 0 {
				length *= 10
			}
			s.schedule(at, "", -1, func() { s.nodes[name].pausedUntil = later(s.nodes[name].pausedUntil, s.now.Add(length)) })
		default:
			s.schedule(at, "", -1, func() {
				s.partitions[[2]string{name, other}] = s.now.Add(length)
				s.partitions[[2]string{other, name}] = s.now.Add(length)
			})
		}
	}
}

func (s *simulation) addListChanges(duration time.Duration) {
	for at := 2 * time.Second; at < duration; at += time.Duration(2000+s.rng.IntN(5000)) * time.Millisecond {
		names := append([]string(nil), s.names...)
		s.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		list := s.list(names[:3+s.rng.IntN(len(names)-2)]...)
		for _, name := range s.names {
			s.schedule(at+time.Duration(s.rng.Int64N(int64(simSpread))), name, -1, func() {
				s.nodes[name].list = list
				s.step(s.nodes[name], ListChanged{Gateways: list})
			})
		}
	}
}

// addSubmissions sends keys through several gateways, some with another body.
func (s *simulation) addSubmissions(duration time.Duration) {
	key := 0
	for at := time.Duration(0); at < duration; at += time.Duration(s.rng.IntN(100)) * time.Millisecond {
		key++
		for range 1 + s.rng.IntN(4) {
			delay := time.Duration(0)
			if s.rng.IntN(2) == 0 {
				delay = time.Duration(s.rng.Int64N(int64(resendWindow)))
			}
			body := byte(0)
			if s.rng.IntN(20) == 0 {
				body = 1
			}
			s.submit(at+delay, s.names[s.rng.IntN(len(s.names))], fmt.Sprintf("k%d", key), body)
		}
	}
}

// seedCount returns the number of runs: few by default, so that the test takes
// seconds, or the value of REDWINGLEDGE_SEEDS.
func seedCount(t *testing.T) uint64 {
	t.Helper()
	value := os.Getenv("REDWINGLEDGE_SEEDS")
	if value == "" {
		return 6
	}
	seeds, err := strconv.ParseUint(value, 10, 32)
	require.NoError(t, err)
	return seeds
}

const simDuration = 30 * time.Second

func runWithFaults(seed uint64, change func(*simulation)) *simulation {
	s := newSimulation(seed, 3+int(seed%4))
	if change != nil {
		change(s)
	}
	s.addFaults(simDuration)
	for at := time.Duration(0); s.killOften && at < simDuration; at += 300 * time.Millisecond {
		name := s.names[s.rng.IntN(len(s.names))]
		s.schedule(at, "", -1, func() { s.start(name, false) })
	}
	if seed%2 == 1 {
		s.addListChanges(simDuration)
	}
	s.addSubmissions(simDuration)
	s.runUntil(s.now.Add(simDuration + 15*time.Second))
	return s
}

// Guards against double runs, false "not run" outcomes and wrong responses under
// process restarts and pauses, network partitions, message loss, delay and
// duplication, resent requests and changes of the gateway list.
func TestFaultsNeverRunTwice(t *testing.T) {
	t.Parallel()
	var ran atomic.Uint64
	seeds := seedCount(t)
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := runWithFaults(seed, nil)
				require.NoError(t, s.check())
				ran.Add(uint64(len(s.executions)))
			})
		}
	})
	require.Greater(t, ran.Load(), seeds*20, "the requests must not be refused altogether")
}

// Guards against a checker that cannot fail: it must find a violation with each
// of these wrong decisions.
func TestCheckerFindsWrongDecisions(t *testing.T) {
	t.Parallel()
	mutations := map[string]func(*simulation){
		"one grant counts as majority":  func(s *simulation) { s.majority = func(int) int { return 1 } },
		"restarted members answer":      func(s *simulation) { s.firstStart, s.killOften = true, true },
		"refused claims are dispatched": func(s *simulation) { s.skipClaim = true },
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(100) {
				if runWithFaults(seed, mutate).check() != nil {
					return
				}
			}
			t.Fatal("the checker found nothing in 100 runs")
		})
	}
}

// Guards against needless refusals: without faults every key completes once,
// through whichever gateways it is submitted.
func TestEveryKeyCompletesWithoutFaults(t *testing.T) {
	t.Parallel()
	s := newSimulation(1, 5)
	s.reliable = true
	for i := range 200 {
		key := fmt.Sprintf("k%d", i)
		for j := range 3 {
			s.submit(time.Duration(i*20+s.rng.IntN(30))*time.Millisecond, s.names[(i+j)%5], key, 0)
		}
	}
	s.runUntil(s.now.Add(10 * time.Second))
	require.NoError(t, s.check())
	refused := 0
	for _, sub := range s.submissions {
		require.NotNil(t, sub.outcome, "submission %d", sub.id)
		if o, ok := sub.outcome.(recorder.RefusedNotRun); ok {
			// One in eight requests finds no slot in this simulation.
			require.Equal(t, recorder.ReasonDeadline, o.Reason)
			refused++
		}
	}
	require.Greater(t, len(s.executions), 180)
	require.Less(t, refused, 150)
}
