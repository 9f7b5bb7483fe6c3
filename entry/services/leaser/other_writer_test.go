package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Guards against a live backend server that one announcement of another writer shuts out for a day.
func TestLiveServerRenewsAfterOtherWriter(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*announcer.Announcement){
		"later start":   func(a *announcer.Announcement) { a.Incarnation++ },
		"high sequence": func(a *announcer.Announcement) { a.Sequence, a.Slots = 1<<40, 3 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarnessWithRecord(t)
			odd := announcement(2, announcer.StateReady)
			change(&odd)
			h.step(AnnouncementReceived{Announcement: odd})
			h.run(time.Minute, h.renewer(2))
			require.False(t, h.answered.Stale)
			require.True(t, h.published[odd.ID].AcceptsNewFlows())
		})
	}
}
