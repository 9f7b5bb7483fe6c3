package commander

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/explainer"
)

func explanation() explainer.Explanation {
	level := 1.5
	return explainer.Explanation{
		Entry: "entry-1", DataCentre: "kano-a", Route: netip.MustParseAddrPort("192.0.2.10:443"), Source: netip.MustParseAddrPort("100.64.0.7:40001"),
		View: explainer.View{IsKnown: true, Version: 7, AgeMilliseconds: 120}, SharedFigures: explainer.SharedFigures{IsKnown: true, AgeMilliseconds: 250},
		Outcomes: []explainer.Outcome{{
			Probability: 1, Chosen: "loans", Service: "catalogue", Action: explainer.ActionForward, SpillProbability: 0.75,
			Limits: &explainer.Limits{Rank: 1, IsExhausted: true, OwnRequests: 9, OwnLimit: 12, ShareUsed: 0.75, IsLinkLimiting: true, LinkFill: 0.6},
			DataCentres: []explainer.Target{
				{Name: "kano-b", Probability: 0.75, Candidates: 3},
				{Name: "kano-a", Probability: 0.25, Candidates: 1, Server: netip.MustParseAddrPort("10.0.0.1:80")},
			},
		}},
		Services: []explainer.Service{{Name: "catalogue", Weight: 1, DataCentres: []explainer.DataCentre{
			{Name: "kano-a", IsLocal: true, IsDown: true, Servers: 2, Full: 1, Slots: 4, Requests: 16, OwnRequests: 9, LoadLevel: &level},
			{Name: "kano-b", Servers: 3, Cold: 3, Slots: 6},
		}}},
		Chances: []string{"catalogue: one of 3 equally loaded backend servers in kano-b is drawn"},
	}
}

const placementText = `entry entry-1 in kano-a: view of version 7, 120ms old; shared figures 250ms old
new flow to 192.0.2.10:443 from 100.64.0.7:40001
  forward, service catalogue in place of loans
    75% in kano-b: one of 3 backend servers
    25% in kano-a: backend server 10.0.0.1:80
    limits for rank 1: 9 requests in progress through this entry, 75% of its share; no slot is free; the link limits new flows, burst used 60%
  chance: catalogue: one of 3 equally loaded backend servers in kano-b is drawn

SERVICE    WEIGHT  DATA CENTRE  STATE        SERVERS  FULL  SILENT  COLD  SLOTS  REQUESTS  OWN  LEVEL
catalogue  1       kano-a       local, down  2        1     0       0     4      16        9    1.50
catalogue  1       kano-b       remote       3        0     0       3     6      0         0    -
`

// runWhere asks an entry that gives one answer.
func runWhere(t *testing.T, status int, answer string, args ...string) (result, string) {
	t.Helper()
	asked := ""
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.String()
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answer))
	}))
	defer entry.Close()
	var stdout, stderr bytes.Buffer
	code := Run(t.Context(), append([]string{"where", "--entry", entry.Listener.Addr().String(), "--route", "192.0.2.10:443"}, args...), &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}, asked
}

// Guards against a text that hides the reason or the probabilities of a placement, and against JSON that
// programs cannot read back.
func TestWhere(t *testing.T) {
	t.Parallel()
	answer, err := json.Marshal(explanation())
	require.NoError(t, err)
	r, asked := runWhere(t, http.StatusOK, string(answer), "--source", "100.64.0.7:40001")
	require.Equal(t, ExitSuccess, r.code, r.stderr)
	require.Equal(t, placementText, r.stdout)
	require.Equal(t, "/placement?route=192.0.2.10%3A443&source=100.64.0.7%3A40001", asked)

	r, asked = runWhere(t, http.StatusOK, string(answer), "--output", "json")
	require.Equal(t, "/placement?route=192.0.2.10%3A443", asked)
	var got explainer.Explanation
	require.NoError(t, json.Unmarshal([]byte(r.stdout), &got))
	require.Equal(t, explanation(), got)
}

// Guards against failures of the entry that look like an answer.
func TestWhereReportsFailures(t *testing.T) {
	t.Parallel()
	r, _ := runWhere(t, http.StatusTooManyRequests, "try again in 1 s")
	require.Equal(t, ExitRefused, r.code)
	require.Contains(t, r.stderr, "429 Too Many Requests: try again in 1 s")
	r, _ = runWhere(t, http.StatusOK, "{")
	require.Equal(t, ExitError, r.code)
	require.Contains(t, r.stderr, "read the answer")
	r, _ = runWhere(t, http.StatusOK, "{}", "--source", "nowhere")
	require.Equal(t, ExitError, r.code)
	// Port 0 takes no connections.
	var stdout, stderr bytes.Buffer
	require.Equal(t, ExitNoAnswer, Run(t.Context(), []string{"where", "--entry", "127.0.0.1:0", "--route", "192.0.2.10:443"}, &stdout, &stderr))
}
