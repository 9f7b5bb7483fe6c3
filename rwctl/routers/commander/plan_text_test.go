package commander

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/services/auditor"
)

// replacePlanTexts replaces the plan texts in the state machine.
func (f *fixture) replacePlanTexts(texts any) {
	f.t.Helper()
	snapshot, err := f.cluster.machine.Snapshot()
	require.NoError(f.t, err)
	var fields map[string]cbor.RawMessage
	require.NoError(f.t, cbor.Unmarshal(snapshot, &fields))
	fields["texts"], err = cbor.Marshal(texts)
	require.NoError(f.t, err)
	snapshot, err = cbor.Marshal(fields)
	require.NoError(f.t, err)
	require.NoError(f.t, f.cluster.machine.Restore(snapshot))
}

// Guards against showing another plan than the operator saw, and against showing a text whose hash
// does not match the audit trail.
func TestAuditShowsThePlan(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	f.runSuccessfully("drain", "manifest-desk/h1")
	plan := f.cluster.machine.Plans(false, 1)[0]
	hash := sha256.Sum256([]byte(plan.Text()))
	text := f.runSuccessfully("audit", "--plan", plan.ID)
	require.Contains(t, text, plan.Text())
	require.Contains(t, text, fmt.Sprintf("Its SHA-256 %x is the one in line 6", hash))
	var shown struct {
		Plan, Text, SHA256 string
		Kept, Matches      bool
	}
	require.NoError(t, json.Unmarshal([]byte(f.runSuccessfully("audit", "--plan", plan.ID, "-o", "json")), &shown))
	require.Equal(t, plan.Text(), shown.Text)
	require.Equal(t, fmt.Sprintf("%x", hash), shown.SHA256)
	require.True(t, shown.Kept && shown.Matches)

	r := f.run("audit", "--plan", "missing")
	require.Equal(t, ExitError, r.code)
	require.Contains(t, r.stderr, `the audit trail has no plan "missing"`)

	other := auditor.Compress([]byte("another text"))
	f.replacePlanTexts([]map[string]any{{"hash": hash, "data": other}})
	r = f.run("audit", "--plan", plan.ID)
	require.Equal(t, ExitTampered, r.code)
	require.Contains(t, r.stderr, "was changed")
	require.NotContains(t, r.stdout, "another text")

	f.replacePlanTexts(nil)
	r = f.run("audit", "--plan", plan.ID)
	require.Equal(t, ExitError, r.code)
	require.Contains(t, r.stdout, "is no longer kept")
	r = f.run("audit", "--plan", plan.ID, "-o", "json")
	require.Contains(t, r.stdout, `"kept": false`)
}

// Guards against null in JSON output where scripts expect a list.
func TestEmptyListsAreNotNull(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	require.JSONEq(t, "[]", f.runSuccessfully("plans", "-o", "json"))
	require.NotContains(t, f.runSuccessfully("status", "-o", "json"), "null")
	f.bootstrap()
	for _, args := range [][]string{
		{"status"},
		{"drain", "manifest-desk/h1"},
		{"replace-replica", "control-x", "control-y", "--address", "127.0.0.1:3", "--operator-address", "127.0.0.1:4", "--data-centre", "kano-b"},
		{"confirm", "@"},
		{"plans", "--all"},
		{"status"},
		{"audit"},
		{"audit", "--check"},
	} {
		if args[len(args)-1] == "@" {
			args[len(args)-1] = f.openPlan()
		}
		output := f.runSuccessfully(append(args, "-o", "json")...)
		require.NotContains(t, output, "null", args)
	}
	require.Contains(t, f.runSuccessfully("plans", "--all", "-o", "json"), `"facts": []`)
}
