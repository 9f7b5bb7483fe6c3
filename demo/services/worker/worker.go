// Package worker simulates backend servers that answer HTTP requests: it runs a bounded number
// of requests at a time, sheds the rest, and counts how often each idempotency key ran.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Result is the body of a successful response.
type Result struct {
	Host string `json:"host"`
	// Runs is how often requests with the same key have run here.
	Runs int `json:"runs"`
}

// Worker is an HTTP server that runs at most as many requests at a time as it has slots.
type Worker struct {
	host     string
	slots    chan struct{}
	duration time.Duration
	listener net.Listener
	server   *http.Server

	mu           sync.Mutex
	runs         map[string]int
	peakRequests int
}

// Listen returns a Worker on a free loopback port. Each request takes the given duration.
func Listen(host string, slots int, duration time.Duration) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("bind the worker's address: %w", err)
	}
	w := &Worker{host: host, slots: make(chan struct{}, slots), duration: duration, listener: listener, runs: make(map[string]int)}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	return w, nil
}

// Addr returns the bound address.
func (w *Worker) Addr() netip.AddrPort {
	if tcp, ok := w.listener.Addr().(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}

// Serve answers requests until Shutdown.
func (w *Worker) Serve() { _ = w.server.Serve(w.listener) }

// Shutdown stops the worker after its open requests have finished.
func (w *Worker) Shutdown(ctx context.Context) error { return w.server.Shutdown(ctx) }

// Runs returns how often each key ran, and the greatest number of concurrent requests.
func (w *Worker) Runs() (runs map[string]int, peak int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := make(map[string]int, len(w.runs))
	for key, count := range w.runs {
		copied[key] = count
	}
	return copied, w.peakRequests
}

// ServeHTTP runs a request, or sheds it while all slots are in use.
func (w *Worker) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	// A gateway reuses a connection if the response repeats the Dispatch-Id of its request.
	response.Header().Set("Dispatch-Id", request.Header.Get("Dispatch-Id"))
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		response.Header().Set("Request-Outcome", "not-run")
		http.Error(response, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	result := Result{Host: w.host, Runs: w.count(request.Header.Get("Idempotency-Key"))}
	select {
	case <-time.After(w.duration):
	case <-request.Context().Done():
		return
	}
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(result)
}

func (w *Worker) count(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peakRequests = max(w.peakRequests, len(w.slots))
	w.runs[key]++
	return w.runs[key]
}
