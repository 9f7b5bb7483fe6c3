package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// Guards against a command line with which an operator cannot bootstrap the system, drain a
// backend server, take a data centre out, replace a replica and undo the drain.
func TestBootstrapDrainAndUndrain(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	require.Contains(t, f.runSuccessfully("drain", "manifest-desk/h1"), "rwctl confirm "+f.openPlan())
	require.Contains(t, f.runSuccessfully("plans"), "drain manifest-desk/h1")
	require.Contains(t, f.runSuccessfully("confirm", f.openPlan()), "Version 2 is in force")
	require.Contains(t, f.runSuccessfully("status"), "manifest-desk/h1")
	require.Contains(t, f.runSuccessfully("take-out", "kano-b"), "Flows that are given up")
	f.runSuccessfully("confirm", f.openPlan())
	f.runSuccessfully("bring-back", "kano-b")
	f.runSuccessfully("confirm", f.openPlan())
	f.runSuccessfully("undrain", "manifest-desk/h1")
	f.runSuccessfully("confirm", f.openPlan())
	f.runSuccessfully("replace-replica", "control-x", "control-y", "--address", "127.0.0.1:3", "--operator-address", "127.0.0.1:4", "--data-centre", "kano-b")
	f.runSuccessfully("confirm", f.openPlan())
	require.Contains(t, f.runSuccessfully("plans", "--all"), "confirmed")
	require.Contains(t, f.runSuccessfully("audit"), "24 ")
	require.Equal(t, "3 ", f.runSuccessfully("audit", "--after", "2", "--limit", "1")[:2])

	var status operator.Status
	require.NoError(t, json.Unmarshal([]byte(f.runSuccessfully("status", "--output", "json")), &status))
	require.Equal(t, uint64(6), status.Version)
	require.Empty(t, status.Drained)
	require.Equal(t, "control-y", status.Control[0].Name)
}

// Guards against running a request twice after a lost answer, and against not printing the
// request id.
func TestResendAfterLostAnswers(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	f.cluster.configure(0, 2)
	f.runSuccessfully("drain", "manifest-desk/h1")
	require.Len(t, f.cluster.machine.Plans(false, 10), 1, "three attempts must make one plan")
	plan := f.openPlan()

	f.cluster.configure(0, 1000)
	r := f.run("confirm", plan, "--timeout", "300ms")
	require.Equal(t, ExitNoAnswer, r.code)
	require.Contains(t, r.stderr, "may have been carried out")
	_, id, found := strings.Cut(strings.SplitN(r.stderr, "\n", 2)[0], "request id: ")
	require.True(t, found, r.stderr)

	f.cluster.configure(0, 0)
	var answer struct {
		RequestID string `json:"request_id"`
		operator.PlanResponse
	}
	require.NoError(t, json.Unmarshal([]byte(f.runSuccessfully("confirm", plan, "--request-id", id, "-o", "json")), &answer))
	require.Equal(t, id, answer.RequestID)
	require.Equal(t, uint64(2), answer.Version)
	require.Equal(t, uint64(2), f.cluster.machine.Catalog().Version)
	r = f.run("confirm", plan)
	require.Equal(t, ExitRefused, r.code)
	require.Contains(t, r.stdout, "already confirmed by amina")
}

// Guards against reporting "refused" for a change that was carried out. The change revokes the
// operator's own token and its answer is lost, so the retry is not admitted.
func TestLostAnswerOfOwnRemoval(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	text := strings.NewReplacer("name: amina", "name: chidi", hashOf("amina"), hashOf("chidi")).Replace(declaration("kano-a", "kano-b"))
	f.runSuccessfully("apply", f.write("next.yaml", text))
	f.cluster.configure(0, 1)
	r := f.run("confirm", f.openPlan(), "--request-id", "r1")
	require.Equal(t, uint64(2), f.cluster.machine.Catalog().Version)
	require.Equal(t, ExitNoAnswer, r.code)
	require.Contains(t, r.stderr, "may have been carried out")
	r = f.run("confirm", "any", "--request-id", "r1")
	require.Equal(t, ExitNoAnswer, r.code)
}

// Guards against giving up at a follower, at a replica that is down, or when the leader changes
// between commands.
func TestFollowsTheLeader(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	f.cluster.configure(1, 0)
	f.runSuccessfully("drain", "manifest-desk/h1")
	f.control = "127.0.0.1:1," + f.cluster.addresses[0].String()
	f.runSuccessfully("confirm", f.openPlan())
	f.control = f.cluster.addresses[0].String()
	f.cluster.configure(-1, 0)
	r := f.run("undrain", "manifest-desk/h1", "--timeout", "300ms")
	require.Equal(t, ExitNoAnswer, r.code)
	require.Contains(t, r.stderr, "was not carried out")
}

// Guards against changed exit codes and messages, on which scripts rely.
func TestExitCodes(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	wrong := f.write("wrong.yaml", "services: 1\nunknown: 2\n")
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"unknown command":   {[]string{"destroy"}, ExitError, "unexpected argument"},
		"wrong server":      {[]string{"drain", "manifest-desk"}, ExitError, "SERVICE/HOST"},
		"missing file":      {[]string{"apply", "missing.yaml"}, ExitError, "no such file"},
		"wrong declaration": {[]string{"apply", wrong}, ExitError, "wrong.yaml: line 2: unknown"},
		"long request id":   {[]string{"confirm", "x", "--request-id", strings.Repeat("x", 65)}, ExitError, "at most 64 bytes"},
		"unknown plan":      {[]string{"confirm", "x"}, ExitRefused, "does not exist"},
		"old base version":  {[]string{"drain", "manifest-desk/h1", "--base-version", "9"}, ExitStale, "version 1 is in force"},
		"wrong expectation": {[]string{"audit", "--expect", "1:00"}, ExitError, "needs --check"},
		"help":              {[]string{"--help"}, ExitSuccess, "Exit codes"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := f.run(tt.args...)
			require.Equal(t, tt.code, r.code, r.stdout+r.stderr)
			require.Contains(t, r.stdout+r.stderr, tt.want)
		})
	}
	validControl := f.control
	f.control = "192.0.2.1:1"
	r := f.run("status")
	require.Equal(t, ExitRefused, r.code)
	require.Contains(t, r.stderr, "the token is not sent to 192.0.2.1:1 without TLS")
	f.control, f.token = validControl, "nobody"
	r = f.run("status")
	require.Equal(t, ExitRefused, r.code)
	require.Contains(t, r.stderr, "belongs to no operator")
}

// Guards against an audit check that does not detect a changed or truncated trail.
func TestAuditCheck(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	var first struct {
		Head struct {
			Sequence uint64
			Hash     string
		}
	}
	require.NoError(t, json.Unmarshal([]byte(f.runSuccessfully("audit", "--check", "-o", "json")), &first))
	require.Equal(t, uint64(4), first.Head.Sequence)
	f.runSuccessfully("drain", "manifest-desk/h1")
	head := "4:" + first.Head.Hash
	f.runSuccessfully("audit", "--check", "--expect", head)
	flipped := "4:" + strings.Map(func(r rune) rune { return map[bool]rune{true: '1', false: '0'}[r == '0'] }, first.Head.Hash)
	for _, expect := range []string{flipped, "99:" + first.Head.Hash} {
		r := f.run("audit", "--check", "--expect", expect)
		require.Equal(t, ExitTampered, r.code)
		require.Contains(t, r.stderr, "the audit trail was changed")
	}
}

// Guards against a watch command that misses lines or does not stop when it is interrupted.
func TestWatch(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	ctx, cancel := context.WithCancel(t.Context())
	output := &lineWriter{lines: make(chan string, 100)}
	done := make(chan int, 1)
	token := f.write("watch-token", "bello")
	go func() {
		done <- Run(ctx, []string{"--control", f.control, "--token-file", token, "watch", "--after", "4", "-o", "json"}, output, new(bytes.Buffer))
	}()
	f.runSuccessfully("drain", "manifest-desk/h1")
	f.runSuccessfully("confirm", f.openPlan())
	for _, event := range []string{"intent", "plan_shown", "confirmation", "outcome"} {
		select {
		case line := <-output.lines:
			require.Contains(t, line, `"event":"`+event+`"`)
		case <-time.After(20 * time.Second):
			t.Fatal("no line for " + event)
		}
	}
	cancel()
	require.Equal(t, ExitSuccess, <-done)
}

type lineWriter struct{ lines chan string }

func (w *lineWriter) Write(p []byte) (int, error) {
	w.lines <- string(p)
	return len(p), nil
}
