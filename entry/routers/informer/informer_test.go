package informer_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/routers/informer"
	"github.com/redwingledge/redwingledge/shared/models/explainer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// echo explains nothing, and counts what it is asked.
type echo struct{ calls int }

func (e *echo) Explain(route, source netip.AddrPort, _ time.Time) explainer.Explanation {
	e.calls++
	return explainer.Explanation{Route: route, Source: source}
}

func get(handler http.Handler, query string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/placement?"+query, nil))
	return w
}

// Guards against a wrong query that is answered, or refused without the name of the parameter.
func TestInformerChecksTheQuery(t *testing.T) {
	t.Parallel()
	source := new(echo)
	handler := informer.New(source, timer.NewFake(time.Unix(1000, 0)), log.Discard())
	for query, message := range map[string]string{
		"":                                       `route: "" must be IP:PORT`,
		"route=192.0.2.1":                        `route: "192.0.2.1" must be IP:PORT`,
		"route=192.0.2.1:80&source=":             `source: "" must be IP:PORT`,
		"route=192.0.2.1:80&source=x:1":          `source: "x:1" must be IP:PORT`,
		"route=192.0.2.1:80&route=192.0.2.2:80":  "route: must be given once",
		"route=192.0.2.1:80&caller=192.0.2.2:80": `"caller" is not a parameter`,
		"route=%zz":                              "read the query",
		"route=" + strings.Repeat("1", 300):      "at most 256 bytes",
	} {
		w := get(handler, query)
		require.Equal(t, http.StatusBadRequest, w.Code, query)
		require.Contains(t, w.Body.String(), message)
	}
	require.Zero(t, source.calls)
}

// Guards against an entry that spends its processor time on explanations.
func TestInformerLimitsItsWork(t *testing.T) {
	t.Parallel()
	source, clock := new(echo), timer.NewFake(time.Unix(1000, 0))
	handler := informer.New(source, clock, log.Discard())
	const query = "route=[::ffff:192.0.2.1]:80&source=192.0.2.9:1234"
	for range 4 {
		w := get(handler, query)
		require.Equal(t, http.StatusOK, w.Code)
		var got explainer.Explanation
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
		require.Equal(t, "192.0.2.1:80 192.0.2.9:1234", got.Route.String()+" "+got.Source.String())
	}
	w := get(handler, query)
	require.Equal(t, http.StatusTooManyRequests, w.Code)
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	require.Equal(t, 4, source.calls)
	clock.Advance(time.Second)
	require.Equal(t, http.StatusOK, get(handler, query).Code)
}
