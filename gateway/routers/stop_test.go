package routers_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// errNoResponse reports a connection that was closed after a request was sent, without an answer.
var errNoResponse = errors.New("the connection was closed without an answer")

// caller sends requests over connections that it reuses until the gateway closes them. It
// ignores the readiness probe.
type caller struct {
	gateway netip.AddrPort
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends a request and reads the answer. It returns errNoResponse if the connection is
// closed without an answer, and syscall.ECONNREFUSED if the gateway no longer accepts connections.
func (c *caller) send() error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.gateway.String(), 5*time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	request := "GET /orders/x HTTP/1.1\r\nHost: a\r\n\r\n"
	if _, err := io.WriteString(c.conn, request); err != nil {
		return fmt.Errorf("%w: %w", errNoResponse, err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoResponse, err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return fmt.Errorf("%w: %w", errNoResponse, err)
	}
	if resp.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
	return nil
}

// Load: 48 callers send without a pause while the gateway stops. Each request on an accepted
// connection must be answered; after the stop, new connections are refused.
func TestStopCutsNoRequestUnderLoad(t *testing.T) {
	t.Parallel()
	b := newBackend(t)
	b.slots.Store(64)
	c := newCluster(t, 2, b)
	var done sync.WaitGroup
	var answered, unanswered atomic.Int64
	for i := range 48 {
		done.Go(func() {
			caller := &caller{gateway: c.gateways[0].HTTPAddr()}
			for {
				err := caller.send()
				switch {
				case errors.Is(err, syscall.ECONNREFUSED):
					return
				case errors.Is(err, errNoResponse):
					unanswered.Add(1)
					t.Logf("caller %d: %v", i, err)
					caller.conn = nil
				case err != nil:
					t.Errorf("caller %d: %v", i, err)
					return
				default:
					answered.Add(1)
				}
			}
		})
	}
	require.Eventually(t, func() bool { return answered.Load() > 200 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	require.NoError(t, c.gateways[0].Stop(ctx))
	done.Wait()
	require.Zero(t, unanswered.Load(), "of %d requests", unanswered.Load()+answered.Load())
}
