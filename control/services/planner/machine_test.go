package planner

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

func assertRefused(t *testing.T, answer operator.PlanResponse, reason operator.Reason, message string) {
	t.Helper()
	require.NotNil(t, answer.Refusal)
	require.Equal(t, reason, answer.Refusal.Reason, answer.Refusal.Message)
	require.Contains(t, answer.Refusal.Message, message)
}

func lastLine(t *testing.T, m *Machine) auditor.Line {
	t.Helper()
	_, head, err := m.ListAudit(0, 0)
	require.NoError(t, err)
	lines, _, err := m.ListAudit(head.Sequence-1, 1)
	require.NoError(t, err)
	return lines[0]
}

// Guards against operators who exceed their role, and against refusals that are
// missing from the audit trail.
func TestRoles(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	plan := f.plan(bello, drainHost1)
	tests := map[string]struct {
		answer func() operator.PlanResponse
		want   string
	}{
		"viewer plans":                        {func() operator.PlanResponse { return f.create(dayo, drainHost1) }, "dayo has the role viewer"},
		"planner confirms":                    {func() operator.PlanResponse { return f.confirm(bello, plan.ID) }, "bello has the role planner"},
		"unknown operator":                    {func() operator.PlanResponse { return f.confirm(Identity{Name: "eve"}, plan.ID) }, `"eve" does not exist`},
		"bootstrap token after the bootstrap": {func() operator.PlanResponse { return f.confirm(Identity{Name: "amina", Bootstrap: true}, plan.ID) }, "no longer valid"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			answer := tt.answer()
			assertRefused(t, answer, operator.ReasonRole, tt.want)
			require.Equal(t, uint64(1), answer.Version)
			line := lastLine(t, f.Machine())
			require.Equal(t, auditor.EventRefusal, line.Event)
			require.Contains(t, line.Text, tt.want)
		})
	}
	require.Nil(t, f.confirm(amina, plan.ID).Refusal)
}

// Guards against an operator who confirms their own plan under the policy
// forbid_self_confirm, and against a replacement plan that the operator who tried to
// confirm the stale one may not confirm.
func TestForbidSelfConfirm(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	text := append(readDeclaration(t), "policies: {forbid_self_confirm: true}\n"...)
	require.Nil(t, f.confirm(amina, f.plan(amina, operator.Apply{Declaration: text}).ID).Refusal)
	plan := f.plan(amina, drainHost1)
	assertRefused(t, f.confirm(amina, plan.ID), operator.ReasonSelfConfirm, "another operator")
	f.report(600)
	answer := f.confirm(chidi, plan.ID)
	assertRefused(t, answer, operator.ReasonStale, "no longer holds")
	require.Equal(t, []string{"load figures: not known in the plan, known now"}, answer.Refusal.Differences)
	assertRefused(t, f.confirm(amina, answer.Plan.ID), operator.ReasonSelfConfirm, "another operator")
	require.Nil(t, f.confirm(chidi, answer.Plan.ID).Refusal)
}

// Guards against plans that are confirmed twice or after their expiry.
func TestPlanIsConfirmedOnceAndInTime(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	late := f.plan(bello, drainHost1)
	f.clock.Advance(PlanLifetime)
	assertRefused(t, f.confirm(amina, late.ID), operator.ReasonExpired, "expired")
	plan := f.plan(bello, drainHost1)
	f.clock.Advance(PlanLifetime - time.Millisecond)
	require.NoError(t, f.ExpirePlans(t.Context()))
	require.Nil(t, f.confirm(amina, plan.ID).Refusal)
	assertRefused(t, f.confirm(chidi, plan.ID), operator.ReasonClosed, "already confirmed by amina")
	assertRefused(t, f.confirm(chidi, "nothing"), operator.ReasonNoPlan, "does not exist")
	f.plan(bello, operator.Undrain{ID: drainHost1.ID})
	f.clock.Advance(PlanLifetime)
	require.NoError(t, f.ExpirePlans(t.Context()))
	require.Empty(t, f.Machine().Plans(false, 10))
	require.Contains(t, lastLine(t, f.Machine()).Text, "expired unconfirmed")
}

// Guards against executing a request again when it is resent after a lost answer,
// also after a restore from a snapshot, and against accepting a different request
// with a used id.
func TestResendReturnsStoredAnswer(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	create := operator.CreatePlanRequest{RequestID: "c1", Intent: operator.Wrap(drainHost1)}
	f.node.loseAnswers = true
	_, err := f.CreatePlan(t.Context(), bello, create)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	f.node.loseAnswers = false
	first, err := f.CreatePlan(t.Context(), bello, create)
	require.NoError(t, err)
	require.Len(t, f.Machine().Plans(true, 10), 2, "the bootstrap plan and one drain")

	confirm := operator.ConfirmPlanRequest{RequestID: "c1", PlanID: first.Plan.ID}
	f.node.loseAnswers = true
	_, err = f.ConfirmPlan(t.Context(), amina, confirm)
	require.Error(t, err)
	f.node.loseAnswers = false
	snapshot, err := f.Machine().Snapshot()
	require.NoError(t, err)
	require.NoError(t, f.Machine().Restore(snapshot))
	f.clock.Advance(time.Hour)
	for range 3 {
		answer, err := f.ConfirmPlan(t.Context(), amina, confirm)
		require.NoError(t, err)
		require.Nil(t, answer.Refusal)
		require.Equal(t, uint64(2), answer.Version)
	}
	require.Equal(t, uint64(2), f.Machine().Catalog().Version)
	answer, err := f.ConfirmPlan(t.Context(), amina, operator.ConfirmPlanRequest{RequestID: "c1", PlanID: "other"})
	require.NoError(t, err)
	assertRefused(t, answer, operator.ReasonRequestID, "already used")
	answer, err = f.CreatePlan(t.Context(), amina, operator.CreatePlanRequest{RequestID: "c1", Intent: operator.Wrap(drainHost1)})
	require.NoError(t, err)
	assertRefused(t, answer, operator.ReasonRequestID, "already used")
}

// Guards against two concurrent confirmations that both succeed on the same base
// version, and against a refusal that does not name the change that succeeded.
func TestOnlyOneConcurrentConfirmationSucceeds(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	const operators = 8
	plans := make([]operator.Plan, operators)
	for i := range plans {
		plans[i] = f.plan(bello, operator.Drain{ID: announcer.ID{Service: "manifest-desk", Host: fmt.Sprintf("host-%d", i)}})
	}
	answers := make([]operator.PlanResponse, operators)
	errs := make([]error, operators)
	var group sync.WaitGroup
	for i := range plans {
		group.Go(func() {
			identity := []Identity{amina, chidi}[i%2]
			answers[i], errs[i] = f.ConfirmPlan(t.Context(), identity, operator.ConfirmPlanRequest{RequestID: fmt.Sprint("race-", i), PlanID: plans[i].ID})
		})
	}
	group.Wait()
	succeeded := 0
	change, _ := f.Machine().LastChange()
	for i, answer := range answers {
		require.NoError(t, errs[i])
		if answer.Refusal == nil {
			succeeded++
			require.Equal(t, plans[i].ID, change.Plan)
			continue
		}
		assertRefused(t, answer, operator.ReasonStale, "no longer holds")
		require.Equal(t, []operator.Change{change}, answer.Refusal.Changes)
		require.Equal(t, uint64(2), answer.Plan.BaseVersion)
	}
	require.Equal(t, 1, succeeded)
	answer, err := f.CreatePlan(t.Context(), bello, operator.CreatePlanRequest{RequestID: "old-base", BaseVersion: 1, Intent: operator.Wrap(drainHost1)})
	require.NoError(t, err)
	assertRefused(t, answer, operator.ReasonStale, "version 2 is in force")
	require.Equal(t, []operator.Change{change}, answer.Refusal.Changes)
}

// Guards against changes, answers or audit lines that are lost when a replica is
// restored, and against replicas that diverge: one replica applies every command,
// another is restored from a snapshot at many random points.
func TestRestorePreservesState(t *testing.T) {
	t.Parallel()
	const changes, seed = 250, 7
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFixture(t)
	var log [][]byte
	f.proposer = recordingProposer{singleNode: f.node, log: &log}
	replica := NewMachine()
	snapshot, err := f.Machine().Snapshot()
	require.NoError(t, err)
	require.NoError(t, replica.Restore(snapshot))
	first := f.node.index
	drained := make(map[announcer.ID]bool)
	for i := range changes {
		id := announcer.ID{Service: "manifest-desk", Host: fmt.Sprintf("host-%d", random.IntN(300))}
		var intent operator.Intent = operator.Drain{ID: id}
		if drained[id] {
			intent = operator.Undrain{ID: id}
		}
		drained[id] = !drained[id]
		plan := f.plan(bello, intent)
		require.Nil(t, f.confirm(amina, plan.ID).Refusal)
		f.clock.Advance(time.Duration(random.IntN(int(PlanLifetime))))
		for n, command := range log {
			replica.Apply(first+uint64(n)+1, command)
		}
		first, log = first+uint64(len(log)), nil
		if random.IntN(10) == 0 {
			snapshot, err = replica.Snapshot()
			require.NoError(t, err)
			replica = NewMachine()
			require.NoError(t, replica.Restore(snapshot))
			require.Equal(t, uint64(i+2), replica.Catalog().Version)
		}
	}
	for id, isDrained := range drained {
		require.Equal(t, isDrained, replica.Catalog().IsDrained(id), id)
	}
	require.NoError(t, replica.VerifyAudit())
	_, head, err := replica.ListAudit(0, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(4*(changes+1)), head.Sequence, "each change has an intent, a plan, a confirmation and an outcome")
	want, err := f.Machine().Snapshot()
	require.NoError(t, err)
	got, err := replica.Snapshot()
	require.NoError(t, err)
	require.Equal(t, want, got)
}

type recordingProposer struct {
	*singleNode
	log *[][]byte
}

func (r recordingProposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	*r.log = append(*r.log, command)
	return r.singleNode.Propose(ctx, command)
}

// Guards against accepting a snapshot with a modified audit trail, and against a
// failed restore that changes the state.
func TestRestoreRefusesTampering(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	snapshot, err := f.Machine().Snapshot()
	require.NoError(t, err)
	for i := range 3 {
		changed, err := decodeState(snapshot)
		require.NoError(t, err)
		changed.Trail = changed.trail.Store()
		changed.Trail.Open[i].Operator = "eve"
		data, err := cbor.Marshal(changed)
		require.NoError(t, err)
		var broken auditor.ErrChainBroken
		require.ErrorAs(t, f.Machine().Restore(data), &broken)
	}
	require.Error(t, f.Machine().Restore(snapshot[:len(snapshot)/2]))
	require.Equal(t, uint64(1), f.Machine().Catalog().Version)
}

// Guards against unbounded growth of the state, and against a resend of one of the newest
// maxAnswers requests that is not recognised.
func TestStateIsBounded(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	for i := range maxAnswers + 10 {
		answer, err := f.CreatePlan(t.Context(), bello, operator.CreatePlanRequest{RequestID: fmt.Sprint("r", i), Intent: operator.Wrap(operator.BringBack{DataCentre: "kano-a"})})
		require.NoError(t, err)
		assertRefused(t, answer, operator.ReasonNoChange, "not taken out")
	}
	require.Len(t, f.machine.state.Answers, maxAnswers)
	require.Len(t, f.machine.state.answersByKey, maxAnswers)
	lines := f.machine.state.trail.Head().Sequence
	_, err := f.CreatePlan(t.Context(), bello, operator.CreatePlanRequest{RequestID: "r10", Intent: operator.Wrap(operator.BringBack{DataCentre: "kano-a"})})
	require.NoError(t, err)
	require.Equal(t, lines, f.machine.state.trail.Head().Sequence, "a known request adds no line")
	for range maxOpenPlans {
		f.plan(bello, drainHost1)
	}
	assertRefused(t, f.create(bello, drainHost1), operator.ReasonBusy, "plans are open")
	for range maxClosedPlans/maxOpenPlans + 1 {
		f.clock.Advance(PlanLifetime)
		require.NoError(t, f.ExpirePlans(t.Context()))
		for range maxOpenPlans {
			f.plan(bello, drainHost1)
		}
	}
	require.LessOrEqual(t, len(f.machine.state.Plans), maxClosedPlans+maxOpenPlans)
}

// Guards against panics on damaged snapshots or commands, and against damaged ones that
// change the state: a failed restore must leave it as it was, and the audit trail must
// verify after any command.
func FuzzRestoreAndApply(f *testing.F) {
	m := NewMachine()
	snapshot, err := m.Snapshot()
	require.NoError(f, err)
	command, err := Encode(CreatePlan{Request: Request{Bootstrap: true}, Intent: operator.Wrap(operator.Apply{})})
	require.NoError(f, err)
	f.Add(snapshot, command)
	f.Fuzz(func(t *testing.T, snapshot, command []byte) {
		m := NewMachine()
		if err := m.Restore(snapshot); err != nil {
			require.Zero(t, m.Catalog().Version)
		}
		m.Apply(math.MaxUint64, command)
		require.NoError(t, m.VerifyAudit())
	})
}
