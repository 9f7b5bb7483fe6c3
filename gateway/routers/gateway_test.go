package routers_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
)

// Guards against a resend that runs the request again, through the same gateway or
// another one, and against a resend whose answer differs from the first.
func TestResendGetsFirstOutcome(t *testing.T) {
	t.Parallel()
	b := newBackend(t)
	c := newCluster(t, 3, b)
	first := c.send(t, 0, http.MethodPost, "order-1", "key-1", nil)
	require.NoError(t, first.err)
	require.Equal(t, "ran order-1", first.body)
	require.Equal(t, "/path/x%2Fy?q=1", first.header.Get("Echo-Path"))
	for i := range 3 {
		again := c.send(t, i, http.MethodPost, "order-1", "key-1", nil)
		require.Equal(t, first.body, again.body)
		require.Equal(t, recorder.ValueCompleted, again.outcome)
	}
	other := c.send(t, 1, http.MethodPost, "order-2", "key-1", nil)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, recorder.ValueNotRun, other.outcome)
	require.Equal(t, 1, b.runsOf("order-1"))
	require.Equal(t, 0, b.runsOf("order-2"))
}

// Guards against two gateways that run requests with the same key at the same time.
func TestConcurrentSendsRunOnce(t *testing.T) {
	t.Parallel()
	b := newBackend(t)
	c := newCluster(t, 3, b)
	var done sync.WaitGroup
	for i := range 9 {
		done.Go(func() {
			a := c.send(t, i%3, http.MethodPost, "order", "key", nil)
			if a.err != nil || a.status != http.StatusOK {
				t.Errorf("got status %d, error %v, %s", a.status, a.err, a.body)
			}
		})
	}
	done.Wait()
	require.Equal(t, 1, b.runsOf("order"))
}

// Guards against more concurrent requests at a backend server than its slots,
// summed over all gateways, and against shed requests that callers see.
func TestSlotsAreNeverExceeded(t *testing.T) {
	t.Parallel()
	b := newBackend(t)
	c := newCluster(t, 3, b)
	var done sync.WaitGroup
	for i := range 60 {
		done.Go(func() {
			if a := c.send(t, i%3, http.MethodGet, "", "", nil); a.status != http.StatusOK {
				t.Errorf("got status %d, error %v, %s", a.status, a.err, a.body)
			}
		})
	}
	done.Wait()
	require.LessOrEqual(t, b.peak.Load(), int64(2))
}

// Guards against a truncated response that looks complete, in HTTP/1.1 with and
// without a Content-Length.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	t.Parallel()
	for _, length := range []string{"100000", ""} {
		b := newBackend(t)
		c := newCluster(t, 1, b)
		b.handler = func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = w.Write(make([]byte, 50000))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		require.Error(t, c.send(t, 0, http.MethodPost, "cut", "key", nil).err)
		again := c.send(t, 0, http.MethodPost, "cut", "key", nil)
		require.Equal(t, recorder.ValueMayHaveRun, again.outcome)
		require.Equal(t, 1, b.runsOf("cut"))
	}
}

// Guards against a backend server that accepts a request and never answers: the request
// must end at its deadline with "may have run", and a resend must not run it again.
func TestStalledBackendEndsAtDeadline(t *testing.T) {
	t.Parallel()
	b := newBackend(t)
	c := newCluster(t, 1, b)
	b.handler = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	start := time.Now()
	header := http.Header{"Request-Timeout": {"0.3"}}
	a := c.send(t, 0, http.MethodPost, "stall", "key", header)
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Equal(t, recorder.ValueMayHaveRun, a.outcome)
	require.Less(t, time.Since(start), 2*time.Second)
	require.Eventually(t, func() bool { return b.open.Load() == 0 }, time.Second, time.Millisecond, "the request must be cancelled downstream")
	a = c.send(t, 0, http.MethodPost, "stall", "key", header)
	require.Equal(t, recorder.ValueMayHaveRun, a.outcome)
	require.Equal(t, 1, b.runsOf("stall"))
}

// Guards against "may have run" for a backend server that refuses connections, where
// nothing can have run. The test uses a new address, because a request on a kept-alive
// connection that is being closed may have run.
func TestUnreachableBackendIsNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, newBackend(t))
	view := c.view
	view.Backends = slices.Clone(view.Backends)
	view.Backends[0].Address = reservertest.Address(t)
	view.Backends[0].Incarnation++
	c.source.set(view)
	require.Eventually(t, func() bool {
		a := c.send(t, 0, http.MethodGet, "", "", http.Header{"Request-Timeout": {"0.5"}})
		return a.status != http.StatusOK
	}, 5*time.Second, time.Millisecond)
	for range 3 {
		a := c.send(t, 0, http.MethodPost, "x", "", http.Header{"Request-Timeout": {"0.5"}})
		require.Equal(t, recorder.ValueNotRun, a.outcome)
	}
}

// Guards against requests that a planned stop aborts: those accepted before it, and
// those that callers send until they learn that the gateway is not ready.
func TestStopFinishesAcceptedRequests(t *testing.T) {
	t.Parallel()
	b := newBackend(t)
	c := newCluster(t, 3, b)
	b.delay = 50 * time.Millisecond
	var done sync.WaitGroup
	var stopped, answered atomic.Int64
	for range 6 {
		done.Go(func() {
			for stopped.Load() == 0 {
				if a := c.send(t, 0, http.MethodPost, "x", "", nil); a.status != http.StatusOK {
					t.Errorf("got status %d, error %v, %s", a.status, a.err, a.body)
				}
				answered.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > 6 }, 10*time.Second, time.Millisecond)
	// Callers learn of the stop half-way through the drain delay.
	time.AfterFunc(drainDelay/2, func() { stopped.Store(1) })
	require.NoError(t, c.gateways[0].Stop(context.Background()))
	require.EqualValues(t, 1, stopped.Load(), "the drain delay must pass before connections are closed")
	done.Wait()
}

// Guards against a second run after a kept-alive connection fails: http.Transport
// retries requests with an Idempotency-Key by itself if it can.
func TestFailedConnectionRunsOnce(t *testing.T) {
	t.Parallel()
	b := newBackend(t)
	c := newCluster(t, 1, b)
	b.handler = func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
	for _, body := range []string{"a", ""} {
		before := b.runsOf(body)
		a := c.send(t, 0, http.MethodPost, body, "key-"+body, nil)
		require.Equal(t, recorder.ValueMayHaveRun, a.outcome)
		require.Equal(t, before+1, b.runsOf(body))
	}
}
