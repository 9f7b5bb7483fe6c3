package drainer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/drainer"
)

// startServer returns a running server that responds after delay, and an open connection to it.
func startServer(t *testing.T, delay time.Duration) (*drainer.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := drainer.New(&http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(delay)
		w.WriteHeader(http.StatusNoContent)
	})}, listener)
	go func() { _ = s.Serve() }()
	conn, err := net.Dial("tcp", s.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return s, conn
}

func requireAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against a first request that is not answered because its connection was accepted just
// before the shutdown.
func TestFirstRequestAfterStopIsAnswered(t *testing.T) {
	t.Parallel()
	s, conn := startServer(t, 0)
	time.Sleep(20 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	requireAnswer(t, conn)
	require.NoError(t, <-stopped)
}

func TestOpenRequestIsAnswered(t *testing.T) {
	t.Parallel()
	s, conn := startServer(t, 200*time.Millisecond)
	_, err := io.WriteString(conn, request)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, s.Shutdown(t.Context()))
	requireAnswer(t, conn)
}

// Guards against a shutdown that waits for ever for a caller that never sends a request.
func TestShutdownDoesNotWaitForSilentConnections(t *testing.T) {
	t.Parallel()
	s, _ := startServer(t, 0)
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	ctx := t.Context()
	go func() { _ = s.Shutdown(ctx) }()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", s.Addr().String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, time.Second, time.Millisecond, "new connections must be refused immediately")
	require.Less(t, time.Since(began), time.Second)
}

// Guards against a race in which Shutdown fails: the listener is closed twice if Serve has not
// returned yet.
func TestShutdownReportsNoError(t *testing.T) {
	t.Parallel()
	for range 10 {
		errs := make(chan error, 30)
		for range cap(errs) {
			s, conn := startServer(t, 0)
			go func() { errs <- errors.Join(conn.Close(), s.Shutdown(t.Context())) }()
		}
		for range cap(errs) {
			require.NoError(t, <-errs)
		}
	}
}

// Guards against connections that are reset because they are opened at the moment of the shutdown: each caller that
// connects must be answered, and is refused afterwards.
func TestNoConnectionIsResetAtShutdown(t *testing.T) {
	t.Parallel()
	const rounds, callers = 20, 48
	for range rounds {
		s, conn := startServer(t, 0)
		require.NoError(t, conn.Close())
		errs := make(chan error, callers)
		for range callers {
			go func() {
				var err error
				for err == nil {
					err = callOnce(s.Addr().String())
				}
				errs <- err
			}()
		}
		time.Sleep(30 * time.Millisecond)
		require.NoError(t, s.Shutdown(t.Context()))
		for range callers {
			require.ErrorIs(t, <-errs, syscall.ECONNREFUSED)
		}
	}
}

// callOnce sends a request on a new connection and returns an error unless it is answered.
func callOnce(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// Guards against connections that are reset because they waited in the kernel's accept queue when
// the listener was closed: their callers were connected and had sent a request.
func TestQueuedConnectionsAreAnswered(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepting := make(chan struct{})
	s := drainer.New(&http.Server{
		ReadHeaderTimeout: time.Second,
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		// Delays the goroutine that accepts connections, so that all but the first one are queued.
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context { <-accepting; return ctx },
	}, listener)
	served, stopped := make(chan error, 1), make(chan error, 1)
	go func() { served <- s.Serve() }()
	var conns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", s.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	time.Sleep(20 * time.Millisecond)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(accepting)
	for _, conn := range conns {
		requireAnswer(t, conn)
	}
	require.NoError(t, <-stopped)
	require.NoError(t, <-served)
}
