// Package drainer stops HTTP servers without cutting off requests whose connections were
// accepted just before.
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
	// newGrace is how long a connection without a request is waited for after the listener
	// has closed: its caller has connected and is about to send.
	newGrace = time.Second
	// checkPeriod is the time between two looks at the open connections.
	checkPeriod = 10 * time.Millisecond
)

// Server is an HTTP server that answers what has arrived before it stops. http.Server closes
// a connection whose first request arrives after Shutdown has begun.
type Server struct {
	http     *http.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]connState
	// isClosing is set once the listener is closed on purpose.
	isClosing bool
}

// connState is what a connection does, and since when.
type connState struct {
	state http.ConnState
	since time.Time
}

// New returns a Server on a listener. It takes over server.ConnState.
func New(server *http.Server, listener net.Listener) *Server {
	s := &Server{http: server, listener: listener, conns: make(map[net.Conn]connState)}
	server.ConnState = s.note
	return s
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve serves until Shutdown is called. It returns an error if the server ends otherwise.
func (s *Server) Serve() error {
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing && (errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed)) {
		return nil
	}
	return fmt.Errorf("serve HTTP: %w", err)
}

func (s *Server) note(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	case http.StateNew, http.StateActive, http.StateIdle:
		s.conns[conn] = connState{state: state, since: time.Now()}
	}
}

// Shutdown refuses new connections, waits for the requests of those that are open, and closes
// them. It returns an error if ctx ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.isClosing = true
	s.mu.Unlock()
	if err := s.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close the listener: %w", err)
	}
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for s.isBusy(time.Now()) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	// http.Server reports the closed listener, once all connections are idle, if Serve has
	// not noticed it yet.
	if err := s.http.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// isBusy reports whether a connection has a request, or is so new that one is to be expected.
func (s *Server) isBusy(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && now.Sub(c.since) < newGrace {
			return true
		}
	}
	return false
}
