// Package drainer shuts down HTTP servers gracefully. It also serves requests on connections
// that were accepted just before the shutdown.
package drainer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newConnGrace is how long after its acceptance a connection without a request still delays
	// Shutdown: its caller has connected and is about to send the request.
	newConnGrace = time.Second
	// pollInterval is the interval at which Shutdown checks the open connections.
	pollInterval = 10 * time.Millisecond
)

// Server is an HTTP server whose Shutdown also accepts the connections that wait in the kernel's
// queue, and waits up to 1 s for the first request on connections that were just accepted.
// http.Server alone resets the former, and closes a connection whose first request arrives after
// Shutdown was called.
type Server struct {
	http     *http.Server
	listener *queueListener

	mu    sync.Mutex
	conns map[net.Conn]connState
	// isClosing is set once Shutdown is called, and isServing while Serve accepts connections.
	isClosing, isServing bool
}

// connState is the state of a connection and the time at which it entered this state.
type connState struct {
	state http.ConnState
	since time.Time
}

// New returns a Server that accepts connections from listener. It sets server.ConnState.
func New(server *http.Server, listener net.Listener) *Server {
	s := &Server{http: server, listener: &queueListener{Listener: listener}, conns: make(map[net.Conn]connState)}
	server.ConnState = s.trackState
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves requests until Shutdown is called. It returns an error if the server stops for
// another reason.
func (s *Server) Serve() error {
	s.mu.Lock()
	s.isServing = true
	s.mu.Unlock()
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isServing = false
	if s.isClosing && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}
	return fmt.Errorf("serve HTTP: %w", err)
}

func (s *Server) trackState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	case http.StateNew, http.StateActive, http.StateIdle:
		s.conns[conn] = connState{state: state, since: time.Now()}
	}
}

// Shutdown closes the listener, waits for the requests on open connections, and closes the
// connections. It returns an error if ctx ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.isClosing = true
	s.mu.Unlock()
	if err := s.listener.drain(ctx); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close the listener: %w", err)
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.isBusy(time.Now()) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	// Once all connections are idle, http.Server.Shutdown returns net.ErrClosed for the listener
	// closed above if Serve has not returned yet.
	if err := s.http.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// isBusy reports whether queued connections are still being accepted, or a connection has an open
// request or is so new that a first request is expected.
func (s *Server) isBusy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isServing {
		return true
	}
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && now.Sub(c.since) < newConnGrace {
			return true
		}
	}
	return false
}
