package routers_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/routers"
	"github.com/redwingledge/redwingledge/gateway/services/claimer"
	"github.com/redwingledge/redwingledge/gateway/services/dispatcher"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/gateway/services/scheduler"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/registrar"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// backend is a stub backend server with 2 slots. It sheds requests above its slots
// with 503 and "not run". A handler, if set, serves the others instead of an echo.
type backend struct {
	server  *httptest.Server
	open    atomic.Int64
	peak    atomic.Int64
	slots   atomic.Int64
	delay   time.Duration
	mu      sync.Mutex
	runs    map[string]int
	handler http.HandlerFunc
}

func newBackend(t *testing.T) *backend {
	t.Helper()
	b := &backend{runs: make(map[string]int), delay: 5 * time.Millisecond}
	b.slots.Store(2)
	b.server = httptest.NewServer(http.HandlerFunc(b.serve))
	t.Cleanup(b.server.Close)
	return b
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	open := b.open.Add(1)
	defer b.open.Add(-1)
	for peak := b.peak.Load(); open > peak && !b.peak.CompareAndSwap(peak, open); peak = b.peak.Load() {
	}
	if open > b.slots.Load() {
		w.Header().Set(recorder.HeaderOutcome, recorder.ValueNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.mu.Lock()
	b.runs[string(body)]++
	b.mu.Unlock()
	if b.handler != nil {
		b.handler(w, r)
		return
	}
	time.Sleep(b.delay)
	w.Header().Set("Echo-Path", r.URL.RequestURI())
	_, _ = fmt.Fprintf(w, "ran %s", body)
}

func (b *backend) runsOf(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

func (b *backend) record(host string) announcer.Record {
	return announcer.Record{Announcement: announcer.Announcement{
		ID:      announcer.ID{Service: "orders", Host: host},
		Address: netip.MustParseAddrPort(strings.TrimPrefix(b.server.URL, "http://")), DataCentre: "a",
		Slots: 2, Connections: 2000, Incarnation: 1, State: announcer.StateReady,
	}}
}

// source is a view source whose view tests replace.
type source struct {
	mu      sync.Mutex
	view    viewer.View
	changed chan struct{}
}

func (s *source) set(view viewer.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view.Version = s.view.Version + 1
	s.view = view
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) Watch(ctx context.Context, known uint64) (viewer.View, error) {
	for {
		s.mu.Lock()
		view, changed := s.view, s.changed
		s.mu.Unlock()
		if view.Version > known {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return viewer.View{}, ctx.Err()
		}
	}
}

// drainDelay is long enough for a busy machine to accept the requests already sent.
const drainDelay = time.Second

type cluster struct {
	gateways []*routers.Gateway
	counters []*reporter.Counters
	source   *source
	view     viewer.View
}

func config(name string, src viewer.Source, counters *reporter.Counters) routers.Config {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	return routers.Config{
		Name: name,
		HTTP: routers.Settings{
			Listen: loopback, ClientAccountHeader: "Member", DefaultTimeout: 5 * time.Second, MaxTimeout: 10 * time.Second,
			MaxBody: 1 << 20, MaxKept: 1 << 10, MaxRequests: 1000,
		},
		Peer: loopback,
		Claims: claimer.Settings{
			Self: name, MaxDeadline: 10 * time.Second, OutcomeLifetime: time.Minute, RoundTimeout: time.Second, ViewSpread: 100 * time.Millisecond,
			MaxKeys: 1000, MaxBytes: 1 << 20, MaxPending: 1000, FirstStart: true,
		},
		Slots: scheduler.Settings{
			Self:   name,
			Slots:  granter.Settings{Lease: 500 * time.Millisecond, ViewSpread: 100 * time.Millisecond},
			Queues: queuer.Settings{PerClientAccount: 100, Total: 1000},
		},
		Attempts: dispatcher.Settings{RetryShare: 0.1}, DrainDelay: drainDelay,
		Source: src, Clock: timer.NewSystem(), Counters: counters, Readiness: new(reporter.Readiness),
		Registry: registrar.NewRegistry(), Logger: log.Discard(),
	}
}

// newCluster starts gateways in one data centre over loopback and waits until
// they accept keys.
func newCluster(t *testing.T, gateways int, backends ...*backend) *cluster {
	t.Helper()
	return newClusterWith(t, 0, gateways, backends...)
}

func newClusterWith(t *testing.T, secondSendShare float64, gateways int, backends ...*backend) *cluster {
	t.Helper()
	c := &cluster{source: &source{changed: make(chan struct{})}}
	c.view = viewer.View{Services: []string{"orders"}}
	for i, b := range backends {
		c.view.Backends = append(c.view.Backends, b.record(fmt.Sprintf("host-%d", i)))
	}
	for i := range gateways {
		name := fmt.Sprintf("gw-%d", i)
		counters := reporter.NewCounters()
		settings := config(name, c.source, counters)
		settings.Attempts.SecondSendShare = secondSendShare
		g, err := routers.NewGateway(settings)
		require.NoError(t, err)
		g.Start()
		stopped, cancel := context.WithCancel(context.Background())
		cancel()
		t.Cleanup(func() { _ = g.Stop(stopped) })
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("counters of %s: %s", name, counters)
			}
		})
		c.gateways, c.counters = append(c.gateways, g), append(c.counters, counters)
		c.view.Gateways = append(c.view.Gateways, viewer.Gateway{Name: name, DataCentre: "a", Address: g.PeerAddr()})
	}
	c.source.set(c.view)
	for i := range gateways {
		require.Eventually(t, func() bool {
			return c.send(t, i, http.MethodPost, "warm", fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), nil).status == http.StatusOK
		}, 10*time.Second, 20*time.Millisecond)
	}
	return c
}

type answer struct {
	status  int
	outcome string
	body    string
	header  http.Header
	err     error
}

// send sends a request with the body and, unless it is empty, the key.
func (c *cluster) send(t *testing.T, gateway int, method, body, key string, header http.Header) answer {
	t.Helper()
	url := fmt.Sprintf("http://%s/orders/path/x%%2Fy?q=1", c.gateways[gateway].HTTPAddr())
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	if key != "" {
		req.Header.Set(routers.HeaderIdempotencyKey, key)
		// Prevents the HTTP client from retrying the request by itself.
		req.GetBody = nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, outcome: resp.Header.Get(recorder.HeaderOutcome), body: string(data), header: resp.Header, err: err}
}
