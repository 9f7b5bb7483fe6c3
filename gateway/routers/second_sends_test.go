package routers_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second run of a request whose method is not idempotent, also with a key, and
// against a gateway that has no slot for any second attempt.
func TestOnlyIdempotentRequestsAreSentTwice(t *testing.T) {
	t.Parallel()
	a, b := newBackend(t), newBackend(t)
	c := newClusterWith(t, 1, 1, a, b)
	for range 70 { // more response times than an estimate needs
		c.send(t, 0, http.MethodGet, "warm", "", nil)
	}
	a.handler = func(http.ResponseWriter, *http.Request) { time.Sleep(300 * time.Millisecond) }
	b.handler = a.handler
	for method, runs := range map[string]int{http.MethodGet: 2, http.MethodPut: 2, http.MethodDelete: 2, http.MethodPost: 1, http.MethodPatch: 1} {
		for _, key := range []string{"", "key-" + method} {
			require.Equal(t, http.StatusOK, c.send(t, 0, method, method+key, key, nil).status)
			require.Equal(t, runs, a.runsOf(method+key)+b.runsOf(method+key), method+key)
		}
	}
}
