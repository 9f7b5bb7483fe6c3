package advertiser_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/services/advertiser"
)

// Guards against a backend server that does not try the other entries when one is
// unreachable, and against a repeated sequence, which entries refuse.
func TestAnnounceTriesAllEntries(t *testing.T) {
	t.Parallel()
	var got []announcer.Announcement
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcer.Announcement
		if r.Header.Get("Authorization") != "Bearer secret" || json.NewDecoder(r.Body).Decode(&a) != nil {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		got = append(got, a)
	}))
	defer entry.Close()
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	options := advertiser.Options{
		Announcement: announcer.Announcement{ID: announcer.ID{Service: "s", Host: "h"}, State: announcer.StateReady},
		Token:        "secret",
		Entries: func() []netip.AddrPort {
			return []netip.AddrPort{unreachable, netip.MustParseAddrPort(strings.TrimPrefix(entry.URL, "http://")), unreachable}
		},
		Timer: timer.NewSystem(),
	}
	adv := advertiser.New(options)
	require.NoError(t, adv.Announce(t.Context()))
	require.NoError(t, adv.SetState(t.Context(), announcer.StateDraining))
	require.Len(t, got, 2)
	require.Less(t, got[0].Sequence, got[1].Sequence)
	require.Equal(t, announcer.StateDraining, got[1].State)

	options.Token = "wrong"
	require.ErrorContains(t, advertiser.New(options).Announce(t.Context()), "403")
}

// Guards against a renewal that overtakes an earlier announcement, which entries
// then refuse as stale.
func TestConcurrentAnnouncementsStayInOrder(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var last uint64
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcer.Announcement
		if json.NewDecoder(r.Body).Decode(&a) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(time.Duration(a.Sequence%3) * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		if a.Sequence <= last {
			w.WriteHeader(http.StatusConflict)
		}
		last = max(last, a.Sequence)
	}))
	defer entry.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(entry.URL, "http://"))
	adv := advertiser.New(advertiser.Options{
		Announcement: announcer.Announcement{ID: announcer.ID{Service: "s", Host: "h"}},
		Entries:      func() []netip.AddrPort { return []netip.AddrPort{address} },
		Timer:        timer.NewSystem(),
	})
	errs := make(chan error, 50)
	for range cap(errs) {
		go func() { errs <- adv.Announce(t.Context()) }()
	}
	for range cap(errs) {
		require.NoError(t, <-errs)
	}
}
