// Package requester sends the requests of rwctl to control. It follows redirects to the leader and
// retries after lost responses with the same request id.
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

// Timeouts and limits of attempts.
const (
	// attemptTimeout is longer than the 10 s within which control answers.
	attemptTimeout = 12 * time.Second
	// minAttemptTimeout is granted to the last attempt even if it then ends after the timeout:
	// if an attempt is cut short, it is unknown whether the request was carried out.
	minAttemptTimeout = 2 * time.Second
	initialBackoff    = 100 * time.Millisecond
	maxBackoff        = 2 * time.Second
	// maxRedirects is the maximum number of consecutive redirects without backoff.
	maxRedirects = 3
)

// ErrNoAnswer reports that no leader answered before the timeout.
type ErrNoAnswer struct {
	Attempts int
	// MayHaveRun is false only if every attempt reached a replica that was not the leader.
	MayHaveRun bool
	Last       error
}

// Error implements error.
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

// ErrNotAdmitted reports that control rejected the caller's credentials or the request, or that the
// request was not sent because the token would have been sent without TLS.
type ErrNotAdmitted struct {
	Message string
}

// Error implements error.
func (e ErrNotAdmitted) Error() string { return e.Message }

// IsErrNotAdmitted reports whether err is an ErrNotAdmitted.
func IsErrNotAdmitted(err error) bool {
	var target ErrNotAdmitted
	return errors.As(err, &target)
}

// errNoLeader reports that a replica was not the leader and did not redirect to another one, or
// that there were already maxRedirects redirects in a row.
var errNoLeader = errors.New("the replica does not lead and knows no leader")

// Requester sends requests to control replicas. It is not safe for concurrent use.
type Requester struct {
	pool      *transporter.Pool
	addresses []netip.AddrPort
	current   netip.AddrPort
	token     string
	useTLS    bool
	timeout   time.Duration
}

// New returns a Requester that tries the addresses in turn. With a nil config it connects without
// TLS and sends the token to loopback addresses only. Requests fail with ErrNoAnswer after the
// timeout, or up to 2 s later if an attempt is in progress.
func New(addresses []netip.AddrPort, config *tls.Config, token string, timeout time.Duration) *Requester {
	return &Requester{
		pool: transporter.NewPool(config), addresses: addresses, current: addresses[0],
		token: token, useTLS: config != nil, timeout: timeout,
	}
}

// Close closes all connections.
func (r *Requester) Close() { r.pool.Close() }

// redirecting is implemented by all responses of control to operators.
type redirecting interface{ GetRedirect() operator.Redirect }

// Call sends the request until the leader answers. The wait is added to the timeouts; it is the
// time for which control may hold a long-polling request. Errors are ErrNoAnswer and
// ErrNotAdmitted.
func Call[Req any, Resp redirecting](ctx context.Context, r *Requester, method string, req Req, wait time.Duration) (Resp, error) {
	limit, cancel := context.WithTimeout(ctx, r.timeout+wait)
	defer cancel()
	var zero Resp
	redirects, backoff, mayHaveRun := 0, initialBackoff, false
	for attempts := 1; ; attempts++ {
		resp, err := attempt[Req, Resp](ctx, r, method, req, attemptTime(limit, wait))
		if err == nil {
			redirect := (*resp).GetRedirect()
			if !redirect.NotLeader {
				return *resp, nil
			}
			err = errNoLeader
			if redirect.Leader.IsValid() && redirect.Leader != r.current && redirects < maxRedirects {
				r.current = redirect.Leader
				redirects++
				continue
			}
		}
		if permanent := permanentError(err); permanent != nil {
			if mayHaveRun {
				// An earlier attempt may have been carried out and be the reason why this one
				// is not admitted, for example by revoking the caller's token.
				return zero, ErrNoAnswer{Attempts: attempts, MayHaveRun: true, Last: permanent}
			}
			return zero, permanent
		}
		mayHaveRun = mayHaveRun || !errors.Is(err, errNoLeader)
		redirects = 0
		r.current = r.next()
		if !sleep(limit, backoff) {
			return zero, ErrNoAnswer{Attempts: attempts, MayHaveRun: mayHaveRun, Last: err}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// attemptTime returns the timeout of an attempt: the time until the deadline of limit, within the
// bounds for one attempt.
func attemptTime(limit context.Context, wait time.Duration) time.Duration {
	remaining := attemptTimeout + wait
	if deadline, ok := limit.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	return max(remaining, minAttemptTimeout)
}

func attempt[Req, Resp any](ctx context.Context, r *Requester, method string, req Req, timeout time.Duration) (*Resp, error) {
	if r.token != "" && !r.useTLS && !r.current.Addr().IsLoopback() {
		return nil, ErrNotAdmitted{Message: fmt.Sprintf("the token is not sent to %s without TLS; set --tls-ca", r.current)}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if r.token != "" {
		ctx = transporter.WithBearerToken(ctx, r.token)
	}
	return transporter.Call[Req, Resp](ctx, r.pool, r.current, method, &req)
}

// permanentError returns an error if a retry would fail the same way, or nil.
func permanentError(err error) error {
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

// next returns the address after the current one, or the first if the current one came from a
// redirect.
func (r *Requester) next() netip.AddrPort {
	return r.addresses[(slices.Index(r.addresses, r.current)+1)%len(r.addresses)]
}

// sleep waits for a random time between d/2 and d. It returns false if ctx ends first.
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
