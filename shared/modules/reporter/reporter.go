// Package reporter serves the counters and the readiness of a program on its admin
// address.
package reporter

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// shutdownTimeout is the maximum time that Shutdown waits for open admin requests.
const shutdownTimeout = 2 * time.Second

// Counters is a set of named counters, gauges and histograms.
type Counters struct {
	vars *expvar.Map
	// creating is held while a counter that does not exist is added. Of two goroutines that add the same
	// one at once, the first would otherwise lose its counts.
	creating sync.Mutex
}

// NewCounters returns an empty set.
func NewCounters() *Counters { return &Counters{vars: new(expvar.Map).Init()} }

// Int returns the counter with the given name. It creates one with the value 0 if
// there is none.
func (c *Counters) Int(name string) *expvar.Int {
	return getOrCreate(c, name, func() *expvar.Int { return new(expvar.Int) })
}

// Map returns the set of counters with the given name. It creates an empty one if
// there is none.
func (c *Counters) Map(name string) *expvar.Map {
	return getOrCreate(c, name, func() *expvar.Map { return new(expvar.Map).Init() })
}

func getOrCreate[V expvar.Var](c *Counters, name string, create func() V) V {
	if v, ok := c.vars.Get(name).(V); ok {
		return v
	}
	c.creating.Lock()
	defer c.creating.Unlock()
	if v, ok := c.vars.Get(name).(V); ok {
		return v
	}
	v := create()
	c.vars.Set(name, v)
	return v
}

// Func adds a gauge whose value f computes at each read. encoding/json must be able
// to encode the value.
func (c *Counters) Func(name string, f func() any) { c.vars.Set(name, expvar.Func(f)) }

// list returns all counters, sorted by name. Callers compute the values after it has returned: Do holds a lock
// that adding a counter needs, and a gauge may wait for a lock whose holder adds one.
func (c *Counters) list() []expvar.KeyValue {
	var counters []expvar.KeyValue
	c.vars.Do(func(kv expvar.KeyValue) { counters = append(counters, kv) })
	return counters
}

// String returns all counters as a JSON object.
func (c *Counters) String() string {
	var b strings.Builder
	b.WriteByte('{')
	for i, kv := range c.list() {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%q: %s", kv.Key, kv.Value)
	}
	b.WriteByte('}')
	return b.String()
}

// Text returns all counters as lines of a name and a value, sorted by name. The
// name of a counter in a set is prefixed by the name of the set and a dot.
func (c *Counters) Text() string {
	var b strings.Builder
	for _, kv := range c.list() {
		writeText(&b, kv)
	}
	return b.String()
}

func writeText(b *strings.Builder, kv expvar.KeyValue) {
	switch v := kv.Value.(type) {
	case *expvar.Map:
		v.Do(func(member expvar.KeyValue) {
			writeText(b, expvar.KeyValue{Key: kv.Key + "." + member.Key, Value: member.Value})
		})
	case *Histogram:
		v.writeText(b, kv.Key)
	default:
		fmt.Fprintf(b, "%s %s\n", kv.Key, kv.Value)
	}
}

// Readiness tells the network fabric whether to send new work to this process.
type Readiness struct {
	ready atomic.Bool
}

// Set changes the readiness.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// IsReady reports whether the process is ready.
func (r *Readiness) IsReady() bool { return r.ready.Load() }

// Server is the admin server. It serves /debug/vars, /healthz and /readyz.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen returns an admin server that is bound to addr.
func Listen(addr netip.AddrPort, counters *Counters, readiness *Readiness) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("bind the admin address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintf(w, "{\"redwingledge\": %s, \"memstats\": %s}\n", counters, expvar.Get("memstats"))
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !readiness.IsReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return &Server{listener: listener, http: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves requests until Shutdown is called.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the admin address: %w", err)
	}
	return nil
}

// Shutdown stops the server. It waits for open requests for at most 2 s.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	return s.http.Shutdown(ctx)
}
