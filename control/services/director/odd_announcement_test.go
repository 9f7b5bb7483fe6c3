package director

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an announcement that replicas can store but not read, so that all others of its
// batch are lost.
func TestInvalidAnnouncementSparesItsBatch(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.declare()
	odd := make(chan error)
	go func() { odd <- f.announce("\xff-2", addressB, 1) }()
	require.NoError(t, f.announce("h1", addressA, 1))
	require.True(t, IsErrInvalidAnnouncement(<-odd))
	require.Len(t, f.replica.machine.Servers(), 1)
}
