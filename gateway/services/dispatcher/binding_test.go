package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/dispatcher"
	"github.com/redwingledge/redwingledge/gateway/services/leaser"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// fixedSlots give out a slot of one backend server to everybody.
type fixedSlots struct{ address netip.AddrPort }

func (s fixedSlots) Acquire(context.Context, string, string, time.Time, time.Time, bool) (leaser.Slot, error) {
	return leaser.Slot{Address: s.address, Until: time.Now().Add(time.Minute)}, nil
}

func (fixedSlots) Return(leaser.Slot, leaser.Result, time.Duration) {}

// answerer serves connections by hand, so that it can say more than HTTP servers do.
type answerer struct {
	listener net.Listener
	// answer returns the bytes for the request with a position on its connection.
	answer func(position int, r *http.Request) string
	opened atomic.Int64
}

func newAnswerer(t *testing.T, answer func(position int, r *http.Request) string) *answerer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &answerer{listener: listener, answer: answer}
	go a.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return a
}

func (a *answerer) accept() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.opened.Add(1)
		go a.serve(conn)
	}
}

func (a *answerer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for position := 0; ; position++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := conn.Write([]byte(a.answer(position, r))); err != nil || r.Close {
			return
		}
	}
}

// answer is the response to a request, whose path is its body.
func answer(r *http.Request, echoes bool) string {
	echo := ""
	if echoes {
		echo = fmt.Sprintf("%s: %s\r\n", dispatcher.HeaderDispatchID, r.Header.Get(dispatcher.HeaderDispatchID))
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(r.URL.Path), r.URL.Path)
}

// repeating answers like answer, and sends the previous answer of a connection once more
// before the next one.
func repeating(echoes bool) func(int, *http.Request) string {
	var previous atomic.Value
	return func(position int, r *http.Request) string {
		text := answer(r, echoes)
		if last, ok := previous.Swap(text).(string); ok && position > 0 {
			return last + text
		}
		return text
	}
}

// dispatch sends requests one after the other, and returns the outcomes and bodies.
func dispatch(t *testing.T, a *answerer, method string, count int) (outcomes []recorder.Outcome, bodies []string) {
	t.Helper()
	slots := fixedSlots{address: netip.MustParseAddrPort(a.listener.Addr().String())}
	d := dispatcher.New(slots, timer.NewSystem(), reporter.NewCounters(), 1)
	t.Cleanup(d.Close)
	for i := range count {
		now, w := time.Now(), httptest.NewRecorder()
		outcome := d.Run(t.Context(), w, dispatcher.Request{
			Method: method, Path: fmt.Sprintf("/request-%d", i), Header: make(http.Header),
			Arrived: now, Deadline: now.Add(5 * time.Second), Repeatable: method == http.MethodGet,
		}, 0, func(recorder.Outcome) {})
		require.Empty(t, w.Header().Get(dispatcher.HeaderDispatchID), "callers do not see the identifier")
		outcomes, bodies = append(outcomes, outcome), append(bodies, w.Body.String())
		// A connection is idle again once its response has been read to the end.
		time.Sleep(2 * time.Millisecond)
	}
	return outcomes, bodies
}

// requireOwnAnswers checks that no caller got the answer to another request.
func requireOwnAnswers(t *testing.T, outcomes []recorder.Outcome, bodies []string) {
	t.Helper()
	for i, body := range bodies {
		if _, ok := outcomes[i].(recorder.Completed); ok {
			require.Equal(t, fmt.Sprintf("/request-%d", i), body)
		}
	}
}

// Guards against a second copy of an answer that arrives on a connection in use again,
// which the next caller would take for its own.
func TestSecondCopyReachesNoOtherCaller(t *testing.T) {
	t.Parallel()
	for name, echoes := range map[string]bool{"a backend server that echoes": true, "one that does not": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outcomes, bodies := dispatch(t, newAnswerer(t, repeating(echoes)), http.MethodGet, 20)
			requireOwnAnswers(t, outcomes, bodies)
			for _, outcome := range outcomes {
				require.IsType(t, recorder.Completed{}, outcome, "requests that may be repeated are")
			}
		})
	}
	t.Run("a request that must not be repeated may have run", func(t *testing.T) {
		t.Parallel()
		outcomes, bodies := dispatch(t, newAnswerer(t, repeating(true)), http.MethodPost, 20)
		requireOwnAnswers(t, outcomes, bodies)
		require.Contains(t, outcomes, recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed})
	})
}

// Guards against a refusal of an earlier request that makes a later one, which ran, look
// as if it had not.
func TestSecondCopyOfRefusalIsNotBelieved(t *testing.T) {
	t.Parallel()
	outcomes, _ := dispatch(t, newAnswerer(t, func(position int, r *http.Request) string {
		text := answer(r, true)
		if position > 0 {
			return "HTTP/1.1 503 Service Unavailable\r\nRequest-Outcome: not-run\r\nContent-Length: 0\r\n\r\n" + text
		}
		return text
	}), http.MethodPost, 10)
	for _, outcome := range outcomes {
		_, isRefused := outcome.(recorder.RefusedNotRun)
		require.False(t, isRefused, "%+v", outcome)
	}
}

// Guards against a connection for each request to backend servers that echo.
func TestConnectionsAreReused(t *testing.T) {
	t.Parallel()
	a := newAnswerer(t, func(_ int, r *http.Request) string { return answer(r, true) })
	outcomes, bodies := dispatch(t, a, http.MethodGet, 20)
	requireOwnAnswers(t, outcomes, bodies)
	require.Equal(t, int64(2), a.opened.Load(), "one until the echo is known, one after")
}
