package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// oddChanges are those of the announcements of another writer.
var oddChanges = map[string]func(*announcer.Announcement){
	"later start":                    func(a *announcer.Announcement) { a.Incarnation++ },
	"high sequence":                  func(a *announcer.Announcement) { a.Sequence, a.Slots = 1<<40, 3 },
	"high sequence without a change": func(a *announcer.Announcement) { a.Sequence = 1 << 40 },
}

// Guards against a live backend server that one announcement of another writer shuts out for a day.
func TestLiveServerRenewsAfterOtherWriter(t *testing.T) {
	t.Parallel()
	for name, change := range oddChanges {
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

func laterStart(sequence uint64) announcer.Announcement {
	a := announcement(sequence, announcer.StateReady)
	a.Incarnation++
	return a
}

func (h *harness) requireStale(a announcer.Announcement) {
	h.t.Helper()
	h.changed = nil
	h.step(AnnouncementReceived{Announcement: a})
	require.True(h.t, h.answered.Stale)
	require.Empty(h.t, h.changed)
}

// Guards against new flows for a backend server that has ended, after one of its last announcements has arrived
// late.
func TestLateAnnouncementReinstatesNothing(t *testing.T) {
	t.Parallel()
	late := announcement(1000, announcer.StateReady)
	restart := func(t *testing.T) *harness {
		t.Helper()
		h := newHarnessWithRecord(t)
		h.step(AnnouncementReceived{Announcement: laterStart(1)})
		return h
	}
	t.Run("while the later start renews its lease", func(t *testing.T) {
		t.Parallel()
		h, sequence := restart(t), uint64(1)
		h.run(2*maxAnnouncementDelay, func() {
			sequence++
			h.step(AnnouncementReceived{Announcement: laterStart(sequence)})
		})
		h.requireStale(late)
	})
	t.Run("soon after the later start", func(t *testing.T) {
		t.Parallel()
		h := restart(t)
		h.run(maxAnnouncementDelay-time.Second, nil)
		require.True(t, h.published[late.ID].Lapsed)
		h.requireStale(late)
	})
	t.Run("soon after a later one of the same start", func(t *testing.T) {
		t.Parallel()
		h := newHarnessWithRecord(t)
		h.step(AnnouncementReceived{Announcement: announcement(1001, announcer.StateLeaving)})
		h.run(maxAnnouncementDelay-time.Second, nil)
		require.True(t, h.published[late.ID].Lapsed)
		h.requireStale(late)
	})
	t.Run("after a pause of the entry", func(t *testing.T) {
		t.Parallel()
		h := restart(t)
		h.run(maxAnnouncementDelay-time.Second, nil)
		h.now = h.now.Add(time.Minute)
		h.requireStale(late)
		h.step(Tick{})
		h.requireStale(late)
	})
}

// newReinstatedHarness returns a harness in which the entry has gone back to the live backend server after an
// announcement of another writer, and all records that it has gossiped.
func newReinstatedHarness(t *testing.T, odd announcer.Announcement) (*harness, []announcer.Record) {
	t.Helper()
	h := newHarnessWithRecord(t)
	h.step(AnnouncementReceived{Announcement: odd})
	h.run(maxAnnouncementDelay, nil)
	h.step(AnnouncementReceived{Announcement: announcement(2, announcer.StateReady)})
	require.False(t, h.answered.Stale)
	return h, h.changed
}

// Guards against entries that keep different records, and a holder that lets the lease of the live backend
// server expire.
func TestEntriesAgreeOnReinstatedServer(t *testing.T) {
	t.Parallel()
	for name, change := range oddChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			odd := announcement(2, announcer.StateReady)
			change(&odd)
			_, records := newReinstatedHarness(t, odd)
			for _, records := range permute(records) {
				h := newHarness(t, "e1", "a", member("e1", "a"))
				for _, record := range records {
					h.step(RecordUpdated{Record: record})
				}
				h.run(time.Minute, h.renewer(2))
				require.False(t, h.answered.Stale)
				require.Equal(t, announcement(2, announcer.StateReady), h.published[odd.ID].Announcement)
				require.True(t, h.published[odd.ID].AcceptsNewFlows())
			}
		})
	}
}

// Guards against a start that was only silent for a while and is then shut out itself.
func TestLaterStartReturnsAtOnce(t *testing.T) {
	t.Parallel()
	h, _ := newReinstatedHarness(t, laterStart(1))
	require.Equal(t, uint64(1), h.Counts().Reinstated)
	returned := laterStart(2)
	h.step(AnnouncementReceived{Announcement: returned})
	require.Equal(t, returned, h.published[returned.ID].Announcement)
	require.True(t, h.published[returned.ID].AcceptsNewFlows())
	h.requireStale(announcement(3, announcer.StateReady))
}
