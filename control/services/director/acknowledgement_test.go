package director

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/services/replicator"
)

// Guards against declarations and data centres taken out that are acknowledged while the vote of a replica that is gone has
// not passed to another one: two lost disks then lost them.
func TestAcknowledgementWaitsForReplacement(t *testing.T) {
	t.Parallel()
	version := declaration(1, route(routeA, "orders")).Declaration
	for name, call := range map[string]func(*Service, context.Context) error{
		"declaration":             func(s *Service, ctx context.Context) error { return s.Declare(ctx, version) },
		"data centre taken out":   func(s *Service, ctx context.Context) error { return s.TakeOut(ctx, "dc-a", true) },
		"data centre taken back":  func(s *Service, ctx context.Context) error { return s.TakeOut(ctx, "dc-a", false) },
		"declaration sent before": func(s *Service, ctx context.Context) error { return s.Declare(ctx, version) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			if name == "declaration sent before" {
				f.declare()
			}
			setPending := func(isPending bool) {
				f.replica.mu.Lock()
				defer f.replica.mu.Unlock()
				f.replica.status.IsReplacementPending = isPending
			}
			setPending(true)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			require.True(t, replicator.IsErrOutcomeUnknown(call(f.service, ctx)))

			outcome := make(chan error, 1)
			go func() { outcome <- call(f.service, t.Context()) }()
			assert.Never(t, func() bool {
				f.clock.Advance(replacementCheckPeriod)
				return len(outcome) > 0
			}, 50*time.Millisecond, 5*time.Millisecond)
			setPending(false)
			require.Eventually(t, func() bool {
				f.clock.Advance(replacementCheckPeriod)
				return len(outcome) > 0
			}, 5*time.Second, time.Millisecond)
			require.NoError(t, <-outcome)
		})
	}
}

// Guards against an acknowledgement by a replica that leads no longer.
func TestFormerLeaderDoesNotAcknowledge(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.replica.status.IsReplacementPending = true
	outcome := make(chan error, 1)
	go func() {
		outcome <- f.service.Declare(t.Context(), declaration(1, route(routeA, "orders")).Declaration)
	}()
	require.Eventually(t, func() bool {
		f.replica.mu.Lock()
		isApplied := f.replica.index > 0
		f.replica.mu.Unlock()
		return isApplied
	}, 5*time.Second, time.Millisecond)
	f.replica.mu.Lock()
	f.replica.status.Role, f.replica.status.IsReplacementPending = replicator.RoleFollower, false
	f.replica.mu.Unlock()
	require.Eventually(t, func() bool {
		f.clock.Advance(replacementCheckPeriod)
		return len(outcome) > 0
	}, 5*time.Second, time.Millisecond)
	require.True(t, replicator.IsErrOutcomeUnknown(<-outcome))
}
