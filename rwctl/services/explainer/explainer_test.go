package explainer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/rwctl/services/explainer"
)

// collected is a log of two VMs whose clocks differ by an hour. The leading times are common.
const collected = `built in 0.1 s
   1.0000 core-1 time=2026-08-13T14:00:01.000Z level=INFO msg="announcement received" host=i-1 token=4 address=10.0.0.1:80 draining=false error=<nil>
   2.0000 edge-1 time=2026-08-13T15:00:02.000Z level=INFO msg="view changed" replica=10.1.0.1:7 from=3 index=4 changes=1
   3.0000 edge-1 time=2026-08-13T15:00:03.000Z level=INFO msg="flow placed" caller=100.64.0.7:4001 route=198.18.0.1:443 token=4 host=i-1 index=4 age=1s
   3.5000 edge-1 time=2026-08-13T15:00:03.500Z level=INFO msg="flow placed" caller=100.64.0.9:4001 route=198.18.0.1:443 token=5 host=i-2 index=4 age=1s
   4.0000 core-1 time=2026-08-13T14:00:04.000Z level=INFO msg="announcement received" host=i-9 token=8 address=10.0.0.1:80 draining=false error=<nil>
   4.5000 edge-1 time=2026-08-13T15:00:04.500Z level=INFO msg="view changed" replica=10.1.0.1:7 from=4 index=5 changes=2
   5.0000 edge-1 time=2026-08-13T15:00:05.000Z level=INFO msg="packet not forwarded" caller=100.64.0.7:4001 route=198.18.0.1:443 token=4 reason=server_gone outcome=reset index=5
`

func read(t *testing.T, text string) []explainer.Line {
	t.Helper()
	lines, err := explainer.Read(strings.NewReader(text), "file")
	require.NoError(t, err)
	return lines
}

func requireCommonTimes(t *testing.T, lines []explainer.Line, want ...float64) {
	t.Helper()
	got := make([]float64, 0, len(lines))
	for _, line := range lines {
		got = append(got, line.CommonTime.Seconds())
	}
	require.Equal(t, want, got)
}

func TestExplain(t *testing.T) {
	t.Parallel()
	t.Run("a flow that was reset when the address of its backend server was reused", func(t *testing.T) {
		t.Parallel()
		explained := explainer.Explain(read(t, collected), explainer.Query{Caller: "100.64.0.7:4001"})
		requireCommonTimes(t, explained, 1, 2, 3, 4, 4.5, 5)
	})
	t.Run("all flows of a caller", func(t *testing.T) {
		t.Parallel()
		require.Len(t, explainer.Explain(read(t, collected), explainer.Query{Caller: "100.64.0.7"}), 6)
	})
	t.Run("a backend server", func(t *testing.T) {
		t.Parallel()
		requireCommonTimes(t, explainer.Explain(read(t, collected), explainer.Query{Host: "i-9"}), 1, 4)
	})
	t.Run("a caller that no line names", func(t *testing.T) {
		t.Parallel()
		require.Empty(t, explainer.Explain(read(t, collected), explainer.Query{Caller: "100.64.0.70"}))
	})
}

func TestRead(t *testing.T) {
	t.Parallel()
	t.Run("plain files are sorted by the clocks of their VMs", func(t *testing.T) {
		t.Parallel()
		lines := append(read(t, `time=2026-08-13T15:00:02Z level=INFO msg="b b" error="a \"quoted\" text" x=1`), read(t, `time=2026-08-13T15:00:01Z level=INFO msg=a`)...)
		explainer.Sort(lines)
		require.Equal(t, "a", lines[0].Message)
		require.Equal(t, "b b", lines[1].Message)
		require.Equal(t, map[string]string{"level": "INFO", "error": `a "quoted" text`, "x": "1"}, lines[1].Fields)
		require.Equal(t, time.Second, lines[1].Clock.Sub(lines[0].Clock))
	})
	t.Run("other lines are left out", func(t *testing.T) {
		t.Parallel()
		require.Empty(t, read(t, "day  score\nquiet-1 0.82\n"))
	})
}
