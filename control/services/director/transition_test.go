package director

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a backend server whose flows end while no log line tells why and by whom.
func TestTransitionsAreLogged(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	var lines bytes.Buffer
	f.service.logger = slog.New(slog.NewTextHandler(&lines, nil))
	f.declare()
	require.NoError(t, f.announce("h1", addressA, 1))
	require.NotContains(t, lines.String(), "backend server changed")
	require.NoError(t, f.service.Announce(t.Context(), announce("h2", addressA, 200, 1, false).Announcements[0]))
	require.Contains(t, lines.String(), `msg="backend server changed" host=h1 token=1 address=10.0.0.1:80 incarnation=100 from=ready`)
	require.Contains(t, lines.String(), `reason=superseded by_host=h2 by_token=2 by_incarnation=200`)
}
