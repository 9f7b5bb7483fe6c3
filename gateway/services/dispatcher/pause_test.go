package dispatcher

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// returnedSlots records the result with which a slot is returned.
type returnedSlots struct {
	Slots
	result leaseholder.Result
}

func (s *returnedSlots) Return(_ leaseholder.Slot, result leaseholder.Result, _ time.Duration) {
	s.result = result
}

// Guards against a request that is refused, and a backend server that counts as failed, because
// the gateway did not run while it connected; and against a backend server that does not count as
// failed although it did not answer a running gateway in time.
func TestPauseWhileConnectingIsNoFailure(t *testing.T) {
	t.Parallel()
	refused := recorder.RefusedNotRun{Reason: recorder.ReasonConnectFailed, RetryAfter: time.Second}
	failed := attempt{outcome: refused, retryable: true}
	tests := map[string]struct {
		elapsed   time.Duration
		connected bool
		err       error
		want      attempt
		result    leaseholder.Result
	}{
		"refused at once":        {want: failed, result: leaseholder.ResultFailed},
		"no answer":              {elapsed: dialTimeout, want: failed, result: leaseholder.ResultFailed},
		"no answer while it ran": {elapsed: 5 * time.Second, err: errDialTimeout, want: failed, result: leaseholder.ResultFailed},
		"late timer":             {elapsed: dialTimeout + maxDialDelay, want: failed, result: leaseholder.ResultFailed},
		"paused":                 {elapsed: 1200 * time.Millisecond, want: attempt{slotExpired: true}, result: leaseholder.ResultUnused},
		"paused after it": {
			elapsed: 1200 * time.Millisecond, connected: true,
			want: attempt{outcome: recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed}}, result: leaseholder.ResultFailed,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock, slots := timer.NewFake(time.Unix(0, 0)), new(returnedSlots)
			d := New(slots, Settings{}, clock, reporter.NewCounters(), log.Discard())
			started := clock.Now()
			clock.Advance(test.elapsed)
			got := d.handleFailure(context.Background(), Request{}, leaseholder.Slot{}, started, test.err, test.connected)
			require.Equal(t, test.want, got)
			require.Equal(t, test.result, slots.result)
		})
	}
}

// pausedClock is a clock whose ticks are late because the process runs for only a fifth of the time.
type pausedClock struct{ *timer.Fake }

func (c pausedClock) Subscribe(name string, period time.Duration) *timer.Subscription {
	return c.Fake.Subscribe(name, 5*period)
}

// Guards against an attempt to connect that ends because of pauses of this process, and against one that
// never ends.
func TestDialTimeoutDoesNotCountPauses(t *testing.T) {
	t.Parallel()
	clock := pausedClock{timer.NewFake(time.Unix(0, 0))}
	ctx, cancel := withDialTimeout(t.Context(), clock)
	defer cancel()
	for range dialTicks - 1 {
		clock.Advance(5 * dialTimeout / dialTicks)
		require.Never(t, func() bool { return ctx.Err() != nil }, 5*time.Millisecond, time.Millisecond)
	}
	require.Eventually(t, func() bool {
		clock.Advance(5 * dialTimeout / dialTicks)
		return errors.Is(context.Cause(ctx), errDialTimeout)
	}, 5*time.Second, time.Millisecond)
}

// Guards against a backend server that accepts no connection and is waited for until the deadline of the
// request: its queue of connections is full.
func TestDialTimeout(t *testing.T) {
	t.Parallel()
	clock := timer.NewFake(time.Unix(0, 0))
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(socket, 0))
	name, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	first, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = first.Close() })
	result := make(chan error, 1)
	go func() {
		_, err := newTransport(clock, address).DialContext(t.Context(), "tcp", "")
		result <- err
	}()
	require.Eventually(t, func() bool {
		clock.Advance(dialTimeout / dialTicks)
		select {
		case err := <-result:
			return errors.Is(err, errDialTimeout)
		default:
			return false
		}
	}, 5*time.Second, 2*time.Millisecond)
}
