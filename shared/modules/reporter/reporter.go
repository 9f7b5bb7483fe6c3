// Package reporter publishes counters and readiness on a program's admin
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
	"sync/atomic"
	"time"
)

// shutdownTimeout bounds the wait for open admin requests at a stop.
const shutdownTimeout = 2 * time.Second

// Counters is a set of named counters and gauges.
type Counters struct {
	vars *expvar.Map
}

// NewCounters returns an empty set.
func NewCounters() *Counters { return &Counters{vars: new(expvar.Map).Init()} }

// Int returns the counter with the given name and creates it at 0.
func (c *Counters) Int(name string) *expvar.Int {
	if v, ok := c.vars.Get(name).(*expvar.Int); ok {
		return v
	}
	v := new(expvar.Int)
	c.vars.Set(name, v)
	return v
}

// Map returns the set of counters with the given name and creates it empty.
func (c *Counters) Map(name string) *expvar.Map {
	if v, ok := c.vars.Get(name).(*expvar.Map); ok {
		return v
	}
	v := new(expvar.Map).Init()
	c.vars.Set(name, v)
	return v
}

// Func publishes a value that is computed when it is read. The value must be
// one that encoding/json can encode.
func (c *Counters) Func(name string, f func() any) { c.vars.Set(name, expvar.Func(f)) }

// String returns all counters as a JSON object.
func (c *Counters) String() string { return c.vars.String() }

// Text returns all counters as lines of a name and a value, sorted by name. The
// members of a set follow its name and a dot.
func (c *Counters) Text() string {
	var b strings.Builder
	c.vars.Do(func(kv expvar.KeyValue) { writeText(&b, kv) })
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

// Readiness tells a fabric whether to hand new work to this process.
type Readiness struct {
	ready atomic.Bool
}

// Set changes the readiness.
func (r *Readiness) Set(ready bool) { r.ready.Store(ready) }

// IsReady reports the readiness.
func (r *Readiness) IsReady() bool { return r.ready.Load() }

// Server serves /debug/vars, /healthz and /readyz.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Listen binds addr for the admin server.
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

// Serve answers requests until Shutdown is called.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve the admin address: %w", err)
	}
	return nil
}

// Shutdown stops the server after its open requests.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	return s.http.Shutdown(ctx)
}
