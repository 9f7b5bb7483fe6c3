package planner

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// Guards against plan texts that are missing after a restore, that do not match the
// hash in the audit trail, or that grow without bound.
func TestPlanTextsAreKept(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	var hashes []auditor.Hash
	var texts []string
	for i := range maxTexts + 1 {
		plan := f.plan(bello, drainHost1)
		hash, ok := auditor.ParsePlanShown(lastLine(t, f.Machine()))
		require.True(t, ok)
		hashes, texts = append(hashes, hash), append(texts, plan.Text())
		if i%(maxOpenPlans/2) == 0 {
			f.clock.Advance(PlanLifetime)
			require.NoError(t, f.ExpirePlans(t.Context()))
		}
	}
	snapshot, err := f.Machine().Snapshot()
	require.NoError(t, err)
	replica := NewMachine()
	require.NoError(t, replica.Restore(snapshot))
	for i, hash := range hashes {
		text, kept, err := replica.PlanText(hash)
		require.NoError(t, err)
		require.Equal(t, i > 0, kept, i)
		if kept {
			require.Equal(t, texts[i], text)
			require.Equal(t, hash, auditor.HashPlanText(text))
		}
	}
	require.Len(t, replica.state.Texts, maxTexts)
}

// Guards against overlong request fields that make an audit segment too large to be
// restored from a snapshot, and against truncation within a hash or a character.
func TestOverlongRequestsCanBeRestored(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	long := "x" + strings.Repeat("é", 5000)
	const segmentLines = 1024
	for i := range segmentLines + 1 {
		command, err := Encode(RecordRefusal{Operator: "dayo", Request: long, Text: long})
		if i%2 == 0 {
			command, err = Encode(ConfirmPlan{Request: Request{ID: requestID(), Operator: "amina"}, PlanID: long})
		}
		require.NoError(t, err)
		_, err = f.node.Propose(t.Context(), command)
		require.NoError(t, err)
	}
	snapshot, err := f.Machine().Snapshot()
	require.NoError(t, err)
	require.NoError(t, NewMachine().Restore(snapshot))
	line := auditor.Line{Event: auditor.EventPlanShown, Text: auditor.FormatPlanShown(long, auditor.Hash{7}, 100)}
	hash, ok := auditor.ParsePlanShown(line)
	require.True(t, ok)
	require.Equal(t, auditor.Hash{7}, hash)
	require.LessOrEqual(t, len(line.Text), 100)

	_, err = f.CreatePlan(t.Context(), dayo, operator.CreatePlanRequest{RequestID: long})
	require.ErrorIs(t, err, ErrRequestID)
	assertRefused(t, f.confirm(amina, long), operator.ReasonNoPlan, "at most 64 bytes")
}
