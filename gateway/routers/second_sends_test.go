package routers_test

import (
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

// Fields of requests that backend servers hold: the body, which identifies the runs, and the longest time.
const (
	headerBody = "Test-Body"
	headerHold = "Test-Hold"
)

// secondSends are counters of a gateway.
type secondSends struct{ dispatches, sent, withheld int64 }

func readSecondSends(c *reporter.Counters) secondSends {
	return secondSends{c.Int("dispatches").Value(), c.Int("second_sends").Value(), c.Int("second_sends_withheld").Value()}
}

// cutKey returns the method that a body starts with, and the body as the key if it mentions one. Another body with
// the same key would be refused.
func cutKey(body string) (method, key string) {
	method, rest, _ := strings.Cut(body, " ")
	if strings.HasPrefix(rest, "with key") {
		key = body
	}
	return method, key
}

// Guards against a second run of a request whose method is not idempotent, also with a key; against second attempts
// that are neither run nor counted as withheld with a reason; and against a gateway that has no slot for any of them.
// On a busy machine some are withheld, as slots are returned late and pauses end leases.
func TestOnlyIdempotentRequestsAreSentTwice(t *testing.T) {
	t.Parallel()
	const maxHold, maxTime = 4 * time.Second, 30 * time.Second
	a, b := newBackend(t), newBackend(t)
	runsOf := func(body string) int { return a.runsOf(body) + b.runsOf(body) }
	// A held request is answered early once it runs twice or isWithheld reports that it will not.
	var isWithheld atomic.Pointer[func() bool]
	for _, backend := range []*backend{a, b} {
		// A cancelled attempt may still be running when the next one arrives, which must not be refused.
		backend.slots.Store(64)
		// The handler is not replaced later, since an overtaken attempt may read it at any time.
		backend.handler = func(_ http.ResponseWriter, r *http.Request) {
			hold, _ := time.ParseDuration(r.Header.Get(headerHold))
			for end := time.Now().Add(hold); time.Now().Before(end) && r.Context().Err() == nil; time.Sleep(time.Millisecond) {
				if runsOf(r.Header.Get(headerBody)) > 1 || (*isWithheld.Load())() {
					return
				}
			}
		}
	}
	c := newClusterWith(t, 1, 1, a, b)
	counters := c.counters[0]
	var slowest time.Duration
	for range 70 { // more response times than an estimate needs
		started := time.Now()
		require.Equal(t, http.StatusOK, c.send(t, 0, http.MethodGet, "warm", "", nil).status)
		slowest = max(slowest, time.Since(started))
	}
	send := func(method, key, body string, hold time.Duration) int {
		header := http.Header{headerBody: {body}, headerHold: {hold.String()}, "Request-Timeout": {"10"}}
		require.Equal(t, http.StatusOK, c.send(t, 0, method, body, key, header).status, body)
		return runsOf(body)
	}

	isNever := func() bool { return false }
	isWithheld.Store(&isNever)
	once := []string{"POST", "PATCH", "POST with key", "PATCH with key"}
	for _, body := range once {
		method, key := cutKey(body)
		// A second attempt would be due after the slowest response time above at the latest.
		require.Equal(t, 1, send(method, key, body, 2*slowest+300*time.Millisecond), body)
	}

	for _, name := range []string{"GET", "PUT", "DELETE", "GET with key", "PUT with key", "DELETE with key"} {
		runs, began := 0, time.Now()
		for try := 0; runs < 2; try++ {
			require.Less(t, time.Since(began), maxTime, "%s: no try ran twice", name)
			before := readSecondSends(counters)
			isCounted := func() bool { return readSecondSends(counters).withheld > before.withheld }
			isWithheld.Store(&isCounted)
			body := fmt.Sprint(name, " ", try)
			method, key := cutKey(body)
			runs = send(method, key, body, maxHold)
			require.LessOrEqual(t, runs, 2, body)
			after := readSecondSends(counters)
			if after.withheld == before.withheld {
				// A pause may end the lease of the first attempt before it is sent; then only the second one is.
				require.EqualValues(t, after.dispatches-before.dispatches, runs, body)
				require.Greater(t, after.sent, before.sent, body)
			}
		}
	}

	for _, body := range once {
		require.Equal(t, 1, runsOf(body), "%s after its response", body)
	}
	var withheld int64
	counters.Map("second_sends_withheld_by").Do(func(kv expvar.KeyValue) {
		if count, ok := kv.Value.(*expvar.Int); ok && kv.Key != "" {
			withheld += count.Value()
		}
	})
	require.Equal(t, counters.Int("second_sends_withheld").Value(), withheld, "each withheld attempt has a reason")
}
