package dispatcher_test

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/dispatcher"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// perform responds in steps: "w" waits for 200 ms, "h" until the request is cancelled, "a" aborts the
// connection, "n" refuses as not run, "e" sends a server error, and others are sent as parts of the
// body.
func perform(steps string, w http.ResponseWriter, r *http.Request) {
	for _, step := range strings.Split(steps, "") {
		switch step {
		case "w":
			time.Sleep(200 * time.Millisecond)
		case "h":
			<-r.Context().Done()
		case "a":
			panic(http.ErrAbortHandler)
		case "n":
			w.Header().Set(recorder.HeaderOutcome, recorder.ValueNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		case "e":
			w.WriteHeader(http.StatusInternalServerError)
		default:
			_, _ = w.Write([]byte(long.Replace(step)))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// lateStreams is a clock with which a response is passed on incomplete only 2 s after its header. A busy machine
// takes longer than the usual 100 ms for the second response, and the stalled first one would be passed on.
type lateStreams struct{ timer.System }

func (c lateStreams) Subscribe(name string, period time.Duration) *timer.Subscription {
	if name == "second-send-body" {
		period = 2 * time.Second
	}
	return c.System.Subscribe(name, period)
}

// long replaces two letters by bodies that exceed the buffer of a response.
var long = strings.NewReplacer("L", strings.Repeat("L", 3<<20), "M", strings.Repeat("M", 3<<20))

// Guards against a response of the attempt that lost, bytes of two responses in one, a failure that
// is returned while the other attempt runs, a false "not run" of two attempts or a retry, attempts
// and slots that do not end, and second runs of requests that must not be repeated. The second run of a
// conditional write would fail because of the first, and say that nothing was written.
func TestSecondSends(t *testing.T) {
	t.Parallel()
	failed, hanging := recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed}, recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamTimeout}
	refused := recorder.RefusedNotRun{Reason: recorder.ReasonShed, RetryAfter: time.Second}
	for name, c := range map[string]struct {
		first, second, body string
		outcome             recorder.Outcome // nil if the request completes
		retryShare          float64
		overtaken           int64
		isUnrepeatable      bool
		precondition        string // a field of the request; if set, the method is PUT
		clock               timer.Service
	}{
		"second is faster":              {first: "h", second: "2", body: "2", overtaken: 1},
		"first is faster":               {first: "w1", second: "h", body: "1"},
		"first stalls in its body":      {first: "w1h", second: "w2", body: "2", overtaken: 1, clock: lateStreams{}},
		"first is a slow stream":        {first: "w1ww1", second: "h", body: "11"},
		"both have long responses":      {first: "wwwwwL", second: "M", body: "M", overtaken: 1},
		"first fails":                   {first: "wa", second: "ww2", body: "2"},
		"first fails in its body":       {first: "w1a", second: "ww2", body: "2"},
		"second fails":                  {first: "w1", second: "a", body: "1"},
		"second has a server error":     {first: "w1", second: "e2", body: "1"},
		"second was not run":            {first: "w1", second: "n", body: "1"},
		"both fail":                     {first: "wa", second: "wa", outcome: failed},
		"only the second was not run":   {first: "wa", second: "wn", outcome: failed},
		"neither was run":               {first: "wn", second: "wn", outcome: refused},
		"both run past the deadline":    {first: "h", second: "h", outcome: hanging},
		"retry of a failure is not run": {first: "a", second: "n", outcome: failed, retryShare: 1},
		"must not run twice":            {first: "w1", second: "2", body: "1", isUnrepeatable: true},
		"write if version matches":      {first: "w1", second: "2", body: "1", precondition: "If-Match", isUnrepeatable: true},
		"write if there is none":        {first: "w1", second: "2", body: "1", precondition: "If-None-Match", isUnrepeatable: true},
	} {
		t.Run(name, func(t *testing.T) {
			var slots fixedSlots
			var runs, open atomic.Int64
			for i, steps := range []string{c.first, c.second} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/request" {
						runs.Add(1)
						open.Add(1)
						defer open.Add(-1)
						perform(steps, w, r)
					}
				}))
				t.Cleanup(server.Close)
				slots.addresses[i] = netip.MustParseAddrPort(server.Listener.Addr().String())
			}
			clock := cmp.Or[timer.Service](c.clock, timer.NewSystem())
			d := dispatcher.New(&slots, dispatcher.Settings{RetryShare: c.retryShare, SecondSendShare: 1}, clock, reporter.NewCounters(), log.Discard())
			t.Cleanup(d.Close)
			run := func(path string) (recorder.Outcome, string) {
				now, w := time.Now(), httptest.NewRecorder()
				request := dispatcher.Request{Method: http.MethodGet, Path: path, Header: make(http.Header), Arrived: now, Deadline: now.Add(4 * time.Second), Repeatable: !c.isUnrepeatable || c.precondition != ""}
				if c.precondition != "" {
					request.Method = http.MethodPut
					request.Header.Set(c.precondition, "x")
				}
				return d.Run(t.Context(), w, request, 0, func(recorder.Outcome) {}), w.Body.String()
			}
			for range 64 { // as many response times as an estimate needs
				run("/")
			}
			// The response times above are short because no other subtest runs until here.
			t.Parallel()
			outcome, body := run("/request")
			if c.outcome != nil {
				require.Equal(t, c.outcome, outcome)
			} else {
				require.IsType(t, recorder.Completed{}, outcome)
			}
			require.True(t, long.Replace(c.body) == body, "got %d bytes", len(body))
			require.Eventually(t, func() bool { return slots.inUse.Load() == 0 && open.Load() == 0 }, 5*time.Second, time.Millisecond)
			require.Equal(t, c.overtaken, slots.overtaken.Load())
			require.Equal(t, c.isUnrepeatable, runs.Load() == 1)
		})
	}
}

// lateSlots provides slots for second attempts only once the request has ended. If isRefused is set,
// it provides none.
type lateSlots struct {
	fixedSlots
	isRefused bool
	asked     chan struct{}
}

func (s *lateSlots) AcquireSecond(ctx context.Context, first announcer.ID) (leaseholder.Slot, error) {
	select {
	case s.asked <- struct{}{}:
	case <-ctx.Done():
	}
	<-ctx.Done()
	if s.isRefused {
		return leaseholder.Slot{}, ctx.Err()
	}
	return s.fixedSlots.AcquireSecond(ctx, first)
}

// Guards against a second attempt that is due, but neither sent nor counted as withheld, because the first
// one was answered while the second one waited for a slot.
func TestSecondSendAfterEndIsWithheld(t *testing.T) {
	t.Parallel()
	for _, isRefused := range []bool{true, false} {
		slots := &lateSlots{isRefused: isRefused, asked: make(chan struct{})}
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				<-slots.asked
			}
		}))
		t.Cleanup(server.Close)
		slots.addresses[0] = netip.MustParseAddrPort(server.Listener.Addr().String())
		counters := reporter.NewCounters()
		d := dispatcher.New(slots, dispatcher.Settings{SecondSendShare: 1}, timer.NewSystem(), counters, log.Discard())
		t.Cleanup(d.Close)
		for i := range 65 { // as many response times as an estimate needs, then a slow request
			path := "/"
			if i == 64 {
				path = "/slow"
			}
			now := time.Now()
			request := dispatcher.Request{Method: http.MethodGet, Path: path, Header: make(http.Header), Arrived: now, Deadline: now.Add(10 * time.Second), Repeatable: true}
			require.IsType(t, recorder.Completed{}, d.Run(t.Context(), httptest.NewRecorder(), request, 0, func(recorder.Outcome) {}))
		}
		reasons := counters.Map("second_sends_withheld_by")
		require.Eventually(t, func() bool { return reasons.String() == `{"request_ended": 1}` }, 5*time.Second, time.Millisecond, "got %s", reasons)
		require.EqualValues(t, 1, counters.Int("second_sends_withheld").Value())
		require.Zero(t, counters.Int("second_sends").Value())
		require.Eventually(t, func() bool { return slots.inUse.Load() == 0 }, 5*time.Second, time.Millisecond, "the late slot must be returned")
	}
}
