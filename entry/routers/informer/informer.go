// Package informer answers over HTTP what the entry would do with a new flow.
package informer

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/explainer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// maxPerSecond limits the explanations, because packets wait while one is made and an entry has a small part
	// of a core.
	maxPerSecond = 4
	// maxQueryLength is above the length of two IPv6 addresses with ports and zones.
	maxQueryLength = 256
)

// Source explains decisions. *balancer.Balancer implements it.
type Source interface {
	Explain(route, source netip.AddrPort, now time.Time) explainer.Explanation
}

// Informer serves GET /placement?route=IP:PORT&source=IP:PORT with an explainer.Explanation in JSON. A request
// that is not valid gets status 400 with a text, and one above maxPerSecond 429 with Retry-After.
type Informer struct {
	source Source
	clock  timer.Service
	logger *slog.Logger

	mu sync.Mutex
	// windowStartedAt is the begin of the second in which answered explanations were made.
	windowStartedAt time.Time
	answered        int
}

// New returns an Informer.
func New(source Source, clock timer.Service, logger *slog.Logger) *Informer {
	return &Informer{source: source, clock: clock, logger: logger}
}

// ServeHTTP implements http.Handler.
func (i *Informer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route, source, err := parse(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := i.clock.Now()
	if !i.admit(now) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, fmt.Sprintf("the entry answers %d requests a second; try again in 1 s", maxPerSecond), http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(i.source.Explain(route, source, now)); err != nil {
		i.logger.Debug("explanation was not sent", "error", err)
	}
}

// admit reports whether another explanation may be made in the current second. A clock that was set back starts
// a new one.
func (i *Informer) admit(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if passed := now.Sub(i.windowStartedAt); passed < 0 || passed >= time.Second {
		i.windowStartedAt, i.answered = now, 0
	}
	i.answered++
	return i.answered <= maxPerSecond
}

// parse returns the addresses of a query. The source is not valid if it is not given. The error names the
// parameter.
func parse(query string) (route, source netip.AddrPort, err error) {
	if len(query) > maxQueryLength {
		return route, source, fmt.Errorf("the query must have at most %d bytes", maxQueryLength)
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return route, source, fmt.Errorf("read the query: %w", err)
	}
	for name, given := range values {
		if name != "route" && name != "source" {
			return route, source, fmt.Errorf("%q is not a parameter; there are route and source", name)
		}
		if len(given) > 1 {
			return route, source, fmt.Errorf("%s: must be given once", name)
		}
	}
	if route, err = parseAddress("route", values.Get("route")); err != nil {
		return route, source, err
	}
	if values.Has("source") {
		source, err = parseAddress("source", values.Get("source"))
	}
	return route, source, err
}

// parseAddress returns an address in the form that packets have.
func parseAddress(name, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%s: %q must be IP:PORT", name, text)
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), nil
}
