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
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// fixedSlots is a Slots that always provides a slot of the first backend server, or of the second
// one for retries and second attempts.
type fixedSlots struct {
	addresses        [2]netip.AddrPort
	inUse, overtaken atomic.Int64
}

func (s *fixedSlots) Acquire(_ context.Context, _, _ string, _, _ time.Time, retry bool) (leaseholder.Slot, error) {
	if retry {
		return s.AcquireSecond(context.Background(), announcer.ID{})
	}
	s.inUse.Add(1)
	return leaseholder.Slot{Address: s.addresses[0], Until: time.Now().Add(time.Minute)}, nil
}

func (s *fixedSlots) AcquireSecond(context.Context, announcer.ID) (leaseholder.Slot, error) {
	s.inUse.Add(1)
	return leaseholder.Slot{Address: s.addresses[1], Until: time.Now().Add(time.Minute)}, nil
}

func (s *fixedSlots) Return(_ leaseholder.Slot, result leaseholder.Result, _ time.Duration) {
	if result == leaseholder.ResultOvertaken {
		s.overtaken.Add(1)
	}
	s.inUse.Add(-1)
}

// rawServer writes raw bytes to its connections, so that tests can send responses that net/http
// would not.
type rawServer struct {
	listener net.Listener
	// respond returns the bytes to send for a request, given its position on the connection.
	respond func(position int, r *http.Request) string
	opened  atomic.Int64
}

func newRawServer(t *testing.T, respond func(position int, r *http.Request) string) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{listener: listener, respond: respond}
	go s.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.opened.Add(1)
		go s.serve(conn)
	}
}

func (s *rawServer) serve(conn net.Conn) {
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
		if _, err := conn.Write([]byte(s.respond(position, r))); err != nil || r.Close {
			return
		}
	}
}

// formatResponse returns the response to a request, with the path of the request as its body.
func formatResponse(r *http.Request, echoesID bool) string {
	echo := ""
	if echoesID {
		echo = fmt.Sprintf("%s: %s\r\n", dispatcher.HeaderDispatchID, r.Header.Get(dispatcher.HeaderDispatchID))
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(r.URL.Path), r.URL.Path)
}

// duplicatePrevious responds like formatResponse, but repeats the previous response of a
// connection before the next one.
func duplicatePrevious(echoesID bool) func(int, *http.Request) string {
	var previous atomic.Value
	return func(position int, r *http.Request) string {
		text := formatResponse(r, echoesID)
		if last, ok := previous.Swap(text).(string); ok && position > 0 {
			return last + text
		}
		return text
	}
}

// dispatch sends requests one after the other and returns the outcomes and bodies.
func dispatch(t *testing.T, s *rawServer, method string, count int) (outcomes []recorder.Outcome, bodies []string) {
	t.Helper()
	address := netip.MustParseAddrPort(s.listener.Addr().String())
	slots := &fixedSlots{addresses: [2]netip.AddrPort{address, address}}
	d := dispatcher.New(slots, dispatcher.Settings{RetryShare: 1}, timer.NewSystem(), reporter.NewCounters(), log.Discard())
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

// requireOwnResponses checks that no caller got the response to another request.
func requireOwnResponses(t *testing.T, outcomes []recorder.Outcome, bodies []string) {
	t.Helper()
	for i, body := range bodies {
		if _, ok := outcomes[i].(recorder.Completed); ok {
			require.Equal(t, fmt.Sprintf("/request-%d", i), body)
		}
	}
}

// Guards against a duplicate response on a reused connection, which would be passed to the
// caller of the next request.
func TestDuplicateResponseReachesNoOtherCaller(t *testing.T) {
	t.Parallel()
	for name, echoesID := range map[string]bool{"a backend server that echoes": true, "one that does not": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outcomes, bodies := dispatch(t, newRawServer(t, duplicatePrevious(echoesID)), http.MethodGet, 20)
			requireOwnResponses(t, outcomes, bodies)
			for _, outcome := range outcomes {
				require.IsType(t, recorder.Completed{}, outcome, "repeatable requests are retried")
			}
		})
	}
	t.Run("a request that must not be repeated may have run", func(t *testing.T) {
		t.Parallel()
		outcomes, bodies := dispatch(t, newRawServer(t, duplicatePrevious(true)), http.MethodPost, 20)
		requireOwnResponses(t, outcomes, bodies)
		require.Contains(t, outcomes, recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed})
	})
}

// Guards against a duplicate refusal of an earlier request that makes a later request, which
// has run, look as if it had not run.
func TestDuplicateRefusalIsNotAttributedToLaterRequest(t *testing.T) {
	t.Parallel()
	outcomes, _ := dispatch(t, newRawServer(t, func(position int, r *http.Request) string {
		text := formatResponse(r, true)
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

// Guards against a new connection for each request to backend servers that echo the identifier.
func TestConnectionsAreReused(t *testing.T) {
	t.Parallel()
	s := newRawServer(t, func(_ int, r *http.Request) string { return formatResponse(r, true) })
	outcomes, bodies := dispatch(t, s, http.MethodGet, 20)
	requireOwnResponses(t, outcomes, bodies)
	require.Equal(t, int64(2), s.opened.Load(), "one until the server is known to echo the identifier, one after")
}
