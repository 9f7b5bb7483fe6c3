package operators

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// bootstrapName is the operator name of the bootstrap token in the audit trail.
const bootstrapName = "bootstrap"

// admit returns the authenticated operator, or a redirect if this replica is not
// the leader. On success, the local state includes all commands committed before
// the call. A refusal is recorded in the audit trail.
func (r *Router) admit(ctx context.Context) (planner.Identity, *operator.Redirect, error) {
	r.counters.Int("operator_requests").Add(1)
	barrierCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.planner.ReadBarrier(barrierCtx); planner.IsErrNotLeader(err) {
		return planner.Identity{}, r.redirect(), nil
	} else if err != nil {
		return planner.Identity{}, nil, r.callError(err)
	}
	identity, reason := r.authenticate(ctx)
	if reason != "" {
		return planner.Identity{}, nil, r.refuse(barrierCtx, identity, "an operator request: "+reason)
	}
	return identity, nil, nil
}

// authenticate returns the operator, or the reason of the refusal. A token
// takes precedence over a certificate, so that a person can use the certificate of
// a machine.
func (r *Router) authenticate(ctx context.Context) (planner.Identity, string) {
	catalog := r.planner.Machine().Catalog()
	if token := transporter.BearerToken(ctx); token != "" {
		sum := sha256.Sum256([]byte(token))
		for _, o := range catalog.Operators {
			if matchesHash(o.TokenSHA256, sum) {
				return planner.Identity{Name: o.Name}, ""
			}
		}
		// The bootstrap token is accepted here even if it is no longer valid,
		// because the resend of its last request must get the first answer.
		if matchesHash(r.settings.BootstrapTokenSHA256, sum) {
			return planner.Identity{Name: bootstrapName, Bootstrap: true}, ""
		}
		return planner.Identity{}, "the bearer token belongs to no operator"
	}
	name := transporter.PeerCommonName(ctx)
	if name == "" {
		return planner.Identity{}, "there is neither a bearer token nor a client certificate"
	}
	if _, err := catalog.GetOperator(name); err != nil {
		return planner.Identity{Name: name}, fmt.Sprintf("the client certificate of %q belongs to no operator", name)
	}
	return planner.Identity{Name: name}, ""
}

func matchesHash(hash string, sum [sha256.Size]byte) bool {
	decoded, err := hex.DecodeString(hash)
	return err == nil && len(decoded) == len(sum) && subtle.ConstantTimeCompare(decoded, sum[:]) == 1
}

// authenticateMember returns an error with a gRPC status unless the caller is a declared
// entry, gateway or control replica.
func (r *Router) authenticateMember(ctx context.Context, operation string) error {
	catalog := r.planner.Machine().Catalog()
	if !r.hasCertificates || catalog.Version == 0 {
		return nil
	}
	name := transporter.PeerCommonName(ctx)
	isMember := func(m cataloger.Member) bool { return m.Name == name }
	isReplica := func(c cataloger.Replica) bool { return c.Name == name }
	if name != "" && (slices.ContainsFunc(catalog.Entries, isMember) || slices.ContainsFunc(catalog.Gateways, isMember) || slices.ContainsFunc(catalog.Control, isReplica)) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.refuse(ctx, planner.Identity{Name: name}, operation+": the caller has no certificate of a declared entry, gateway or control replica")
}

// refuse records a refusal in the audit trail and returns a gRPC status for the caller.
func (r *Router) refuse(ctx context.Context, identity planner.Identity, reason string) error {
	r.counters.Int("unauthenticated").Add(1)
	suppressed, ok := r.refusals.admit(r.planner.Now())
	if !ok {
		r.counters.Int("refusals_not_recorded").Add(1)
		return status.Error(codes.Unauthenticated, "refused: "+reason)
	}
	text := "unauthenticated: " + reason
	if suppressed > 0 {
		text += fmt.Sprintf(" (%d earlier refusals are only counted)", suppressed)
	}
	if err := r.planner.RecordRefusal(ctx, identity, "", text); err != nil {
		r.refusals.restore(suppressed + 1)
		r.counters.Int("refusals_not_recorded").Add(1)
	}
	return status.Error(codes.Unauthenticated, "refused: "+reason)
}

// Rate limit of audit lines for callers that are not authenticated, so that they
// cannot fill the disks of the control replicas.
const (
	refusalsPerSecond = 1
	refusalBurst      = 60
)

// refusalLimiter limits the rate of audit lines for refusals. It counts the refusals
// that get no line of their own.
type refusalLimiter struct {
	mu         sync.Mutex
	limiter    *rate.Limiter
	suppressed int
}

func newRefusalLimiter() *refusalLimiter {
	return &refusalLimiter{limiter: rate.NewLimiter(refusalsPerSecond, refusalBurst)}
}

// admit reports whether a refusal gets an audit line, and returns the number of
// suppressed refusals that the line must mention.
func (l *refusalLimiter) admit(now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limiter.AllowN(now, 1) {
		l.suppressed++
		return 0, false
	}
	suppressed := l.suppressed
	l.suppressed = 0
	return suppressed, true
}

// restore adds refusals whose audit line could not be recorded to the suppressed ones.
func (l *refusalLimiter) restore(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suppressed += count
}
