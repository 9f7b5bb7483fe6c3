// Package requester sends the requests of rwctl to control. It follows the
// leader and resends after lost answers with the same request id.
package requester

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Pace of attempts.
const (
	// attemptTimeout is longer than the time in which control answers (10 s).
	attemptTimeout = 12 * time.Second
	// leastAttempt is the time that the last attempt gets even if it ends after
	// the timeout: an attempt cut short leaves it open whether it was carried out.
	leastAttempt = 2 * time.Second
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
	// maxHops bounds the redirects in a row without a pause.
	maxHops = 3
)

// ErrNoAnswer reports that no leader answered in time.
type ErrNoAnswer struct {
	Attempts int
	// MayHaveRun is false if every attempt reached a replica that did not lead.
	MayHaveRun bool
	Last       error
}

// Error returns the message of the error.
func (e ErrNoAnswer) Error() string {
	outcome := "was not carried out"
	if e.MayHaveRun {
		outcome = "may have been carried out"
	}
	return fmt.Sprintf("no answer after %d attempts; the request %s: %v", e.Attempts, outcome, e.Last)
}

// Unwrap returns the error of the last attempt.
func (e ErrNoAnswer) Unwrap() error { return e.Last }

// IsErrNoAnswer reports whether err is an ErrNoAnswer.
func IsErrNoAnswer(err error) bool {
	var target ErrNoAnswer
	return errors.As(err, &target)
}

// ErrNotAdmitted reports that control did not admit the caller or the request.
type ErrNotAdmitted struct {
	Message string
}

// Error returns the message of the error.
func (e ErrNotAdmitted) Error() string { return e.Message }

// IsErrNotAdmitted reports whether err is an ErrNotAdmitted.
func IsErrNotAdmitted(err error) bool {
	var target ErrNotAdmitted
	return errors.As(err, &target)
}

// errNoLeader is the outcome of an attempt at a replica that knows no leader.
var errNoLeader = errors.New("the replica does not lead and knows no leader")

// Requester sends requests. It is not safe for concurrent use.
type Requester struct {
	pool      *transporter.Pool
	addresses []netip.AddrPort
	current   netip.AddrPort
	token     string
	encrypted bool
	timeout   time.Duration
}

// New returns a Requester that tries the addresses in turn. A nil config connects
// without TLS; then the token is only sent to loopback addresses. Requests fail
// with ErrNoAnswer after the timeout, or up to 2 s later if an attempt is under
// way.
func New(addresses []netip.AddrPort, config *tls.Config, token string, timeout time.Duration) *Requester {
	return &Requester{
		pool: transporter.NewPool(config), addresses: addresses, current: addresses[0],
		token: token, encrypted: config != nil, timeout: timeout,
	}
}

// Close closes all connections.
func (r *Requester) Close() { r.pool.Close() }

// redirecting is implemented by all answers of control to operators.
type redirecting interface{ GetRedirect() operator.Redirect }

// Call sends the request until the leader answers. The wait is the time that
// control may hold the request on purpose. Errors are ErrNoAnswer and
// ErrNotAdmitted.
func Call[Req any, Resp redirecting](ctx context.Context, r *Requester, method string, req Req, wait time.Duration) (Resp, error) {
	limit, cancel := context.WithTimeout(ctx, r.timeout+wait)
	defer cancel()
	var zero Resp
	hops, pause, mayHaveRun := 0, firstPause, false
	for attempts := 1; ; attempts++ {
		resp, err := attempt[Req, Resp](ctx, r, method, req, attemptTime(limit, wait))
		if err == nil {
			redirect := (*resp).GetRedirect()
			if !redirect.NotLeader {
				return *resp, nil
			}
			err = errNoLeader
			if redirect.Leader.IsValid() && redirect.Leader != r.current && hops < maxHops {
				r.current = redirect.Leader
				hops++
				continue
			}
		}
		if final := finalError(err); final != nil {
			if mayHaveRun {
				// An earlier attempt may have been carried out and be the very reason
				// why this one is not admitted, such as a change of the own token.
				return zero, ErrNoAnswer{Attempts: attempts, MayHaveRun: true, Last: final}
			}
			return zero, final
		}
		mayHaveRun = mayHaveRun || !errors.Is(err, errNoLeader)
		hops = 0
		r.current = r.next()
		if !sleep(limit, pause) {
			return zero, ErrNoAnswer{Attempts: attempts, MayHaveRun: mayHaveRun, Last: err}
		}
		pause = min(2*pause, longestPause)
	}
}

// attemptTime returns the time that an attempt gets before the limit.
func attemptTime(limit context.Context, wait time.Duration) time.Duration {
	left := attemptTimeout + wait
	if deadline, ok := limit.Deadline(); ok {
		left = min(left, time.Until(deadline))
	}
	return max(left, leastAttempt)
}

func attempt[Req, Resp any](ctx context.Context, r *Requester, method string, req Req, duration time.Duration) (*Resp, error) {
	if r.token != "" && !r.encrypted && !r.current.Addr().IsLoopback() {
		return nil, ErrNotAdmitted{Message: fmt.Sprintf("the token is not sent to %s without TLS; set --tls-ca", r.current)}
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	if r.token != "" {
		ctx = transporter.WithBearerToken(ctx, r.token)
	}
	return transporter.Call[Req, Resp](ctx, r.pool, r.current, method, &req)
}

// finalError returns an error that a resend would not change, or nil.
func finalError(err error) error {
	if IsErrNotAdmitted(err) {
		return err
	}
	switch s := status.Convert(err); s.Code() {
	case codes.Unauthenticated, codes.PermissionDenied, codes.InvalidArgument, codes.DataLoss, codes.Unimplemented:
		return ErrNotAdmitted{Message: s.Message()}
	default:
		return nil
	}
}

// next returns the address after the current one, or the first if the current
// one came from a redirect.
func (r *Requester) next() netip.AddrPort {
	return r.addresses[(slices.Index(r.addresses, r.current)+1)%len(r.addresses)]
}

// sleep waits for a random half to the whole of d, and returns false if ctx ends
// first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
